"""Refuses complete requests early, on the thread that accepts connections.

This limits the cost of overload, when one account sends a router several times the load
that its processor can forward. A refusal by a request thread, which parses all headers
and writes a log line, takes 0.56 ms of a core, a quarter of a plain call. With four
requests refused for each one accepted, half of the processor time went into refusals.
Here the buffered bytes are inspected without full parsing.

Only data that is certainly exactly one complete request is refused this way; anything
else takes the normal path. The connection is closed after the answer, so that no
following bytes are read as another request.
"""

from __future__ import annotations

import re
import socket
from typing import NamedTuple

PEEK_BYTES = 65_536
"""Requests that are longer or not complete yet take the normal path."""

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*(?=\r\n)", re.IGNORECASE
)
CONTENT_LENGTH_NAME = re.compile(rb"content-length", re.IGNORECASE)
TRANSFER_ENCODING_NAME = re.compile(rb"transfer-encoding", re.IGNORECASE)
DIGITS = re.compile(rb"[0-9]{1,9}")
REQUEST_LINE = re.compile(rb"[A-Z]+ \S+ HTTP/1\.1\r\n")


class BufferedRequest(NamedTuple):
    """A complete request that was received in one piece.

    Attributes
    ----------
    data : bytes
        Head and body.
    request : bytes
        The request id; empty if the request has none.
    is_handed_over : bool
        Whether another router has handed the request over.
    seconds : float
        Time for which the caller waits; 0 if it states none.
    """

    data: bytes
    request: bytes
    is_handed_over: bool = False
    seconds: float = 0.0


class HeaderNames(NamedTuple):
    """Names of the headers that are read without full parsing, in lower case.

    Attributes
    ----------
    request : bytes
        Header with the request id.
    handover : bytes
        Header that marks a request as handed over.
    deadline : bytes
        Header with the time for which the caller waits, in milliseconds.
    """

    request: bytes
    handover: bytes
    deadline: bytes


def parse_whole_request(data: bytes, headers: HeaderNames) -> BufferedRequest | None:
    """Return the request if the data is exactly one complete request, else None.

    Parameters
    ----------
    data : bytes
        All unread data of a connection.
    """
    end = data.find(HEAD_END)
    if end < 0 or REQUEST_LINE.match(data) is None:
        return None
    head = data[: end + 2]
    if TRANSFER_ENCODING_NAME.search(head):
        return None
    lengths = CONTENT_LENGTH.findall(head)
    if len(lengths) != len(CONTENT_LENGTH_NAME.findall(head)) or len(lengths) > 1:
        return None
    size = end + len(HEAD_END) + (int(lengths[0]) if lengths else 0)
    if size != len(data):
        return None
    deadline = _find_value(head, headers.deadline)
    return BufferedRequest(
        data,
        request=_find_value(head, headers.request),
        is_handed_over=bool(_find_value(head, headers.handover)),
        seconds=int(deadline) / 1000 if DIGITS.fullmatch(deadline) else 0.0,
    )


def _find_value(head: bytes, name: bytes) -> bytes:
    start = head.lower().find(b"\r\n" + name + b":")
    if start < 0:
        return b""
    value = head[start + len(name) + 3 :]
    return value[: value.index(b"\r\n")].strip()


def peek_whole_request(
    sock: socket.socket, headers: HeaderNames
) -> BufferedRequest | None:
    """Return a complete request that was received, without blocking and consuming it.

    Raises
    ------
    OSError
        If the connection has failed.
    """
    try:
        data = sock.recv(PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    return parse_whole_request(data, headers)


def discard(sock: socket.socket, found: BufferedRequest) -> None:
    """Consume a request that was peeked at, so that closing loses no answer."""
    sock.recv(len(found.data), socket.MSG_DONTWAIT)


def send_answer(sock: socket.socket, answer: bytes) -> None:
    """Send a short answer without blocking; raises OSError if it does not fit."""
    sent = sock.send(answer, socket.MSG_DONTWAIT)
    if sent < len(answer):
        raise ConnectionAbortedError("send buffer full: the caller does not read")
