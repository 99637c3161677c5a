"""The stored record of requests that crash servers, shared by the routers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from celeryspan import storedobjects, untrusted
from celeryspan.decisions import fingerprints
from celeryspan.platform import names
from celeryspan.wire import messages


def write(suspects: Iterable[messages.Suspect]) -> dict[str, object]:
    """Return the spec of the stored object."""
    return {
        "requests": [
            {
                "fingerprint": fingerprints.format_fingerprint(suspect.whole),
                "scope": fingerprints.format_fingerprint(suspect.scope),
                "acquitted_ms": suspect.acquitted_ms,
                "kind": suspect.kind,
                "was_answered": suspect.was_answered,
                # Lists, because field names would take up most of the object.
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


def read(stored: storedobjects.StoredObject) -> list[messages.Suspect]:
    """Parse the stored object.

    Raises
    ------
    errors.InputError
        If the object is malformed, for example because another system wrote it.
    """
    key = f"{names.QUARANTINE_KIND}/{stored.name}"
    with untrusted.decode("record of requests that crash servers", key=key):
        return [_parse_suspect(entry) for entry in stored.spec["requests"]]


def _parse_suspect(entry: Mapping) -> messages.Suspect:
    strikes = tuple(_parse_strike(each) for each in entry["crashes"])
    if not strikes:
        raise ValueError("expected at least one crash, found none")
    return messages.Suspect(
        scope=_parse_fingerprint(entry, "scope"),
        whole=_parse_fingerprint(entry, "fingerprint"),
        acquitted_ms=_check_unsigned(entry["acquitted_ms"], "acquitted_ms", 64),
        strikes=strikes,
        # Routers of the previous version write neither of these.
        kind=_check_unsigned(entry.get("kind", 0), "kind", 8),
        was_answered=bool(entry.get("was_answered", False)),
    )


def _parse_strike(entry: object) -> messages.Strike:
    if not isinstance(entry, list):
        raise TypeError(f"expected a list for a crash, found {entry!r:.40}")
    crash, at_ms, trial, run_ms, is_prompt = entry
    if not isinstance(is_prompt, bool):
        raise TypeError(f"expected a boolean, found {is_prompt!r:.40}")
    return messages.Strike(
        crash=untrusted.parse_text(crash, "crash"),
        at_ms=_check_unsigned(at_ms, "at_ms", 64),
        trial=_check_unsigned(trial, "trial", 8),
        run_ms=_check_unsigned(run_ms, "run_ms", 32),
        is_prompt=is_prompt,
    )


def _parse_fingerprint(entry: Mapping, key: str) -> int:
    text = entry[key]
    if not isinstance(text, str) or len(text) != 2 * fingerprints.FINGERPRINT_BYTES:
        raise TypeError(f"expected 16 hexadecimal digits as {key}, found {text!r:.40}")
    return int(text, 16)


def _check_unsigned(value: object, key: str, bits: int) -> int:
    if type(value) is not int or not 0 <= value < 1 << bits:
        raise TypeError(
            f"expected an unsigned {bits}-bit integer as {key}, found {value!r}"
        )
    return value
