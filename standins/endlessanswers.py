"""Bytes that are no answer, or no end of one, for as long as a client reads them."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator

from celeryspan import ids

PIECE_BYTES = 16_384

SOCKET_BYTES = 12_000_000
"""What the buffers of two sockets take of an answer that nobody reads."""

HEAD = b"HTTP/1.1 200 OK\r\n"
WAIT_SECONDS = 10.0

Write = Callable[[str, bytes], Iterator[bytes]]
"""Yields the bytes of an answer to a request, whose head without framing is given."""

KINDS: dict[str, Write] = {}

UNFRAMED_KINDS: set[str] = set()
"""Kinds of successful answers that would be whole if the connection ended in order."""


def register(kind: str, *, is_framed: bool = True) -> Callable[[Write], Write]:
    """Register a way in which an answer has no end."""

    def decorate(function: Write) -> Write:
        KINDS[kind] = function
        if not is_framed:
            UNFRAMED_KINDS.add(kind)
        return function

    return decorate


def _fill(line: bytes) -> Iterator[bytes]:
    return itertools.repeat(line * max(1, PIECE_BYTES // len(line)))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@register("status line")
def _write_status_line(_: str, head: bytes) -> Iterator[bytes]:
    yield b"HTTP/1.1 200 "
    yield from _fill(b"x")


@register("header line")
def _write_header_line(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"X-Long: "
    yield from _fill(b"x")


@register("header lines")
def _write_header_lines(_: str, head: bytes) -> Iterator[bytes]:
    yield head
    yield from _fill(b"X-Short: 1\r\n")


@register("interim answers")
def _write_interim_answers(_: str, head: bytes) -> Iterator[bytes]:
    yield from _fill(b"HTTP/1.1 100 Continue\r\n\r\n")


@register("early hints")
def _write_early_hints(_: str, head: bytes) -> Iterator[bytes]:
    yield from _fill(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")


@register("chunk size")
def _write_chunk_size(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _fill(b"0")


@register("chunk extension")
def _write_chunk_extension(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n5;a="
    yield from _fill(b"x")


@register("chunk extensions")
def _write_chunk_extensions(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from _fill(b"1;a=%b\r\nx\r\n" % (b"x" * 1000))


@register("trailers")
def _write_trailers(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n" + _chunk(b"id: 1\n\n") + b"0\r\n"
    yield from _fill(b"X-Trailer: 1\r\n")


@register("body", is_framed=False)
def _write_body(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/plain\r\nConnection: close\r\n\r\n"
    yield from _fill(b"x")


@register("chunked body")
def _write_chunked_body(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
    yield from _fill(_chunk(b"x" * 1000))


@register("length of a terabyte")
def _write_long_body(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % 10**12
    yield from _fill(b"x")


@register("body of a failure")
def _write_failure(_: str, head: bytes) -> Iterator[bytes]:
    yield head.replace(b"200", b"500", 1) + b"Connection: close\r\n\r\n"
    yield from _fill(b"x")


@register("answer to another request")
def _write_other(request: str, head: bytes) -> Iterator[bytes]:
    yield head.replace(request.encode(), b"another", 1) + b"Connection: close\r\n\r\n"
    yield from _fill(b"x")


@register("answers to other requests")
def _write_others(request: str, head: bytes) -> Iterator[bytes]:
    other = head.replace(request.encode(), b"another", 1)
    yield from _fill(other + b"Content-Length: 1\r\n\r\nx")


@register("event", is_framed=False)
def _write_event(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    yield from _fill(b"data: x\n")


@register("comments", is_framed=False)
def _write_comments(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    yield from _fill(b": x\n\n")


@register("lines that are no events", is_framed=False)
def _write_no_events(_: str, head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    yield from _fill(b"x\n\n")


class Server:
    """Answers one request with bytes that have no end.

    Parameters
    ----------
    head : bytes
        Status line and fields that do not frame the body.

    Attributes
    ----------
    sent : int
        Bytes that were sent.
    """

    def __init__(self, kind: str, head: bytes = HEAD) -> None:
        self._kind, self._head = kind, head
        self.sent = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = ids.Address(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def wait(self) -> None:
        """Wait until the client has closed the connection."""
        self._thread.join(WAIT_SECONDS)
        self._listener.close()
        assert not self._thread.is_alive()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            for piece in KINDS[self._kind]("r1", self._head):
                connection.sendall(piece)
                self.sent += len(piece)
