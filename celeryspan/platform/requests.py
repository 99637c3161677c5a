"""Reads what callers ask and writes it for backend servers; reads their answers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from celeryspan import errors, ids
from celeryspan.platform import names
from celeryspan.wire import messages

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that concern one connection only (RFC 9110)."""

OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.KEY,
        names.ACCOUNT,
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.HOLD,
        names.PIN_MS,
        names.BACKUP,
        names.MOVED_FROM,
        names.FETCHED_FROM,
        "Content-Length",
    )
)
"""Headers that this system sets; a caller's own are dropped."""


class Incoming(msgspec.Struct, frozen=True):
    """What a caller's headers say.

    Attributes
    ----------
    patience : float or None
        Seconds that the caller waits.
    output_tokens : int
        The caller's estimate if there is one, else the greatest length it allows.
    headers : tuple of (name, value)
        To be passed on.
    """

    request: ids.RequestId
    key: str
    patience: float | None
    parts: tuple[messages.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    headers: tuple[tuple[str, str], ...]


def read(headers: Mapping[str, str]) -> Incoming:
    """Read the headers of a request.

    Raises
    ------
    errors.InputError
        If one of them is malformed.
    """
    values = {name.lower(): value for name, value in headers.items()}
    prompt, output = _read_counts(values.get(names.TOKEN_COUNT.lower(), ""))
    hint = values.get(names.LENGTH_HINT.lower(), "")
    return Incoming(
        request=ids.RequestId(values.get(names.REQUEST_ID.lower(), "")),
        key=values.get(names.KEY.lower(), ""),
        patience=_read_patience(values.get(names.DEADLINE_MS.lower(), "")),
        parts=_read_parts(values.get(names.PROMPT_PARTS.lower(), "")),
        prompt_tokens=prompt,
        output_tokens=min(int(hint), output) if hint.isdecimal() else output,
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in HOP_HEADERS and name.lower() not in OWN_HEADERS
        ),
    )


def write_headers(
    incoming: Incoming,
    *,
    server: ids.ServerId,
    account: ids.AccountId | None,
    left: float,
    last_event: str = "",
    moved_from: str = "",
    fetched_from: str = "",
) -> list[tuple[str, str]]:
    """Return the headers for a backend server.

    Parameters
    ----------
    left : float
        Seconds that are left for the answer.
    last_event : str
        Id of the last event that was passed on, to go on behind it.
    moved_from : str
        Names the copy of a run that this server is to go on with.
    fetched_from : str
        Address of a server that keeps parts of the prompt, to be copied first.
    """
    found = [
        (name, value)
        for name, value in incoming.headers
        if not (last_event and name.lower() == names.LAST_EVENT.lower())
    ]
    found.append((names.DEADLINE_MS, str(max(1, int(left * 1000)))))
    found.append((names.EXPECTED_SERVER, server))
    if account is not None:
        found.append((names.ACCOUNT, account))
    if last_event:
        found.append((names.LAST_EVENT, last_event))
    if moved_from:
        found.append((names.MOVED_FROM, moved_from))
    if fetched_from:
        found.append((names.FETCHED_FROM, fetched_from))
    return found


def filter_answer(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a backend server's answer that a caller gets."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_HEADERS]


def _read_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        return max(0, int(prompt)), max(0, int(output or 0))
    except ValueError:
        raise _malformed(names.TOKEN_COUNT, "two numbers", text) from None


def _read_patience(text: str) -> float | None:
    if not text:
        return None
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise _malformed(names.DEADLINE_MS, "a number", text) from None


def _read_parts(text: str) -> tuple[messages.PromptPart, ...]:
    parts = []
    for item in filter(None, text.split(",")):
        name, _, tokens = item.strip().partition(":")
        if not tokens.isdecimal():
            raise _malformed(names.PROMPT_PARTS, "entries ID:TOKENS", text)
        parts.append(messages.PromptPart(name, int(tokens)))
    return tuple(parts)


def _malformed(name: str, expected: str, found: str) -> errors.InputError:
    return errors.InputError(f"expected {expected}, found {found[:60]!r}", key=name)
