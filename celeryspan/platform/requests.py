"""Translates headers between callers and backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from celeryspan import errors, ids, untrusted
from celeryspan.platform import names
from celeryspan.wire import messages

HOP_BY_HOP_HEADERS = frozenset(
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
"""Hop-by-hop headers, valid for a single connection (RFC 9110)."""

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        names.API_KEY,
        names.ACCOUNT,
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.HANDED_OVER,
        names.HANDED_OVER_ERA,
        names.HOLD,
        names.PIN_MS,
        names.BACKUP,
        names.MOVED_FROM,
        names.FETCHED_FROM,
        "Content-Length",
    )
)
"""Headers set by this system; removed from callers' requests."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that their request has not run and never will."""

TIMEOUT_SECONDS_MAX = 86_400.0
"""No route's timeout comes near it; waits for much longer raise an error."""

TOKENS_MAX = 2**31 - 1
"""No server's memory comes near it; the server gets the header as it is."""

PARTS_MAX = 4_096
"""Parts of a prompt that fit a head of 16 KiB."""

NO_REQUEST = ids.RequestId("")


class Incoming(msgspec.Struct, frozen=True):
    """The parsed headers of a caller's request.

    Attributes
    ----------
    request : RequestId
        Id under which routers know the request; a long one is abbreviated.
    sent_id : str
        Id as the caller sent it, which servers echo.
    timeout : float or None
        Time for which the caller waits, in seconds.
    output_tokens : int
        The caller's estimate of the output length, or its upper limit if it gives none.
    headers : tuple of (name, value)
        Headers to forward.
    last_event : str
        Id of the last event of a broken stream that the caller received; empty for a
        new request.
    origin : RequestId
        The request that brought the first event of that stream; empty if the caller
        names none.
    model : str
        The model that is asked for; empty if the request names none.
    expects_version : bool
        Whether the caller lets servers with another version of the weights reject it.
    """

    request: ids.RequestId
    sent_id: str
    key: str
    timeout: float | None
    parts: tuple[messages.PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    headers: tuple[tuple[str, str], ...]
    last_event: str = ""
    origin: ids.RequestId = NO_REQUEST
    model: str = ""
    expects_version: bool = False

    @property
    def is_take_up(self) -> bool:
        """Whether the caller asks for the rest of a broken stream."""
        return bool(self.last_event or self.origin)


def read(headers: Mapping[str, str], parts_max: int = PARTS_MAX) -> Incoming:
    """Parse the headers of a request.

    Parameters
    ----------
    parts_max : int
        Parts of a prompt that are considered; further ones are only forwarded.

    Raises
    ------
    errors.InputError
        If a header is malformed.
    """
    values = {name.lower(): value for name, value in headers.items()}
    prompt, output = _parse_token_counts(values.get(names.TOKEN_COUNT.lower(), ""))
    sent_id = values.get(names.REQUEST_ID.lower(), "")
    hint = untrusted.parse_digits(values.get(names.LENGTH_HINT.lower(), ""))
    return Incoming(
        request=ids.RequestId(untrusted.abbreviate_name(sent_id)),
        sent_id=sent_id,
        key=values.get(names.API_KEY.lower(), ""),
        timeout=_parse_timeout(values.get(names.DEADLINE_MS.lower(), "")),
        parts=_parse_prompt_parts(
            values.get(names.PROMPT_PARTS.lower(), ""), parts_max
        ),
        prompt_tokens=prompt,
        output_tokens=output if hint is None else min(hint, output),
        headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
            and name.lower() not in RESERVED_HEADERS
        ),
        last_event=values.get(names.LAST_EVENT.lower(), ""),
        origin=ids.RequestId(
            untrusted.abbreviate_name(values.get(names.RESUMES.lower(), ""))
        ),
        model=untrusted.abbreviate_name(values.get(names.MODEL.lower(), "")),
        expects_version=names.EXPECTED_VERSION.lower() in values,
    )


def write_headers(
    incoming: Incoming,
    *,
    server: ids.ServerId,
    account: ids.AccountId | None,
    seconds_left: float,
    last_event: str = "",
    moved_from: str = "",
    fetched_from: str = "",
) -> list[tuple[str, str]]:
    """Return the headers for a backend server.

    Parameters
    ----------
    seconds_left : float
        Time left for the response.
    last_event : str
        Id of the last event that the caller received; the stream resumes after it.
    moved_from : str
        Reference to the copy of a run from which this server resumes.
    fetched_from : str
        Address of a server with prompt parts in its cache, to be copied first.
    """
    forwarded = [
        (name, value)
        for name, value in incoming.headers
        if not (last_event and name.lower() == names.LAST_EVENT.lower())
    ]
    forwarded.append((names.DEADLINE_MS, str(max(1, int(seconds_left * 1000)))))
    forwarded.append((names.EXPECTED_SERVER, server))
    if account is not None:
        forwarded.append((names.ACCOUNT, account))
    if last_event:
        forwarded.append((names.LAST_EVENT, last_event))
    if moved_from:
        forwarded.append((names.MOVED_FROM, moved_from))
    if fetched_from:
        forwarded.append((names.FETCHED_FROM, fetched_from))
    return forwarded


def filter_response_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of a backend server's response that are sent to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


def _parse_token_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        return _limit_tokens(int(prompt)), _limit_tokens(int(output or 0))
    except ValueError:
        raise _malformed(names.TOKEN_COUNT, "two integers", text) from None


def _parse_timeout(text: str) -> float | None:
    if not text:
        return None
    try:
        # Not a number counts as no time.
        return min(max(0.0, float(text) / 1000), TIMEOUT_SECONDS_MAX)
    except ValueError:
        raise _malformed(names.DEADLINE_MS, "a number", text) from None


def _parse_prompt_parts(text: str, parts_max: int) -> tuple[messages.PromptPart, ...]:
    parts = []
    for item in filter(None, text.split(",", parts_max)[:parts_max]):
        name, _, tokens = item.strip().partition(":")
        count = untrusted.parse_digits(tokens)
        if count is None:
            raise _malformed(names.PROMPT_PARTS, "entries ID:TOKENS", text)
        part = untrusted.abbreviate_name(name)
        parts.append(messages.PromptPart(part, _limit_tokens(count)))
    return tuple(parts)


def _limit_tokens(count: int) -> int:
    """Return a number of tokens that fits the messages between routers."""
    return min(max(0, count), TOKENS_MAX)


def _malformed(name: str, expected: str, found: str) -> errors.InputError:
    return errors.InputError(f"expected {expected}, found {found[:60]!r}", key=name)
