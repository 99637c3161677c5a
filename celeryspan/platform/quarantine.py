"""The object in which routers keep what they know of requests that crash servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from celeryspan import errors, storedobjects
from celeryspan.decisions import fingerprints
from celeryspan.platform import names
from celeryspan.wire import messages


def write(suspects: Iterable[messages.Suspect]) -> dict[str, object]:
    """Return the spec of the object."""
    return {
        "requests": [
            {
                "fingerprint": fingerprints.format_fingerprint(suspect.whole),
                "scope": fingerprints.format_fingerprint(suspect.scope),
                "acquitted_ms": suspect.acquitted_ms,
                # Lists, since the names of fields would be most of the object.
                "crashes": [
                    [
                        strike.crash,
                        strike.at_ms,
                        strike.trial,
                        strike.run_ms,
                        strike.is_prompt,
                    ]
                    for strike in suspect.strikes
                ],
            }
            for suspect in suspects
        ]
    }


def read(found: storedobjects.StoredObject) -> list[messages.Suspect]:
    """Return the requests in an object.

    Raises
    ------
    errors.InputError
        If another writer has left something else there.
    """
    try:
        return [_read_suspect(entry) for entry in found.spec["requests"]]
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed record of requests that crash servers: {error!r}",
            key=f"{names.QUARANTINE_KIND}/{found.name}",
        ) from error


def _read_suspect(entry: Mapping) -> messages.Suspect:
    strikes = tuple(_read_strike(each) for each in entry["crashes"])
    if not strikes:
        raise ValueError("expected a crash, found none")
    return messages.Suspect(
        scope=_read_hash(entry, "scope"),
        whole=_read_hash(entry, "fingerprint"),
        acquitted_ms=_check_whole(entry["acquitted_ms"], "acquitted_ms", 64),
        strikes=strikes,
    )


def _read_strike(entry: object) -> messages.Strike:
    if not isinstance(entry, list):
        raise TypeError(f"expected a list for a crash, found {entry!r:.40}")
    crash, at_ms, trial, run_ms, is_prompt = entry
    if not isinstance(crash, str) or not isinstance(is_prompt, bool):
        raise TypeError(f"expected a server's name and a truth value, found {entry!r}")
    return messages.Strike(
        crash=crash,
        at_ms=_check_whole(at_ms, "at_ms", 64),
        trial=_check_whole(trial, "trial", 8),
        run_ms=_check_whole(run_ms, "run_ms", 32),
        is_prompt=is_prompt,
    )


def _read_hash(entry: Mapping, key: str) -> int:
    text = entry[key]
    if not isinstance(text, str) or len(text) != 2 * fingerprints.FINGERPRINT_BYTES:
        raise TypeError(f"expected 16 hexadecimal digits as {key}, found {text!r:.40}")
    return int(text, 16)


def _check_whole(value: object, key: str, bits: int) -> int:
    if type(value) is not int or not 0 <= value < 1 << bits:
        raise TypeError(f"expected a number of {bits} bits as {key}, found {value!r}")
    return value
