"""Reads HTTP answers strictly and within limits.

``http.client`` takes the end of the connection for the end of the headers, and a part
of a line for a line. An answer cut off in its head, or in the size of a chunk, would be
complete and have no body.

It also reads interim answers, lines of a head, chunk extensions and trailers for as
long as a server sends them, and so would a router's thread.
"""

from __future__ import annotations

import contextlib
import http.client
import io
import math
from collections.abc import Iterator

import msgspec

from celeryspan import answersyntax

HEAD_BYTES_MAX = 65_536
BODY_BYTES_MAX = 67_108_864
EVENT_BYTES_MAX = 1_048_576
BUFFER_BYTES_MAX = 1_048_576

READ_BYTES = 65_536

CHUNK_END_BYTES = 2
"""What ``http.client`` reads at the end of a chunk, and what is no data of the body."""


class Limits(msgspec.Struct, frozen=True):
    """Limits of one answer, in bytes.

    Attributes
    ----------
    head : int
        Largest head, interim answers included. The lines that frame a body, such as the
        sizes of its chunks, may exceed its data by as much.
    body : int
        Largest body.
    event : int
        Largest event of a stream.
    buffer : int
        Part of a plain body that is read before any of it is forwarded, so that an
        answer that breaks off within it can be retried or reported as an error.
    """

    head: int = HEAD_BYTES_MAX
    body: int = BODY_BYTES_MAX
    event: int = EVENT_BYTES_MAX
    buffer: int = BUFFER_BYTES_MAX


DEFAULT_LIMITS = Limits()

# Called for each event; ``super()`` would take as long as the rest of the method.
_read_line = io.BufferedReader.readline
_read_arrived = io.BufferedReader.read1


class AnswerTooLong(http.client.HTTPException):
    """An answer exceeds one of its limits; the message names the setting."""


class Reader(io.BufferedReader):
    """Buffered reader of a connection; lines must be complete, answers bounded."""

    def __init__(self, raw: io.RawIOBase, limits: Limits = DEFAULT_LIMITS) -> None:
        super().__init__(raw)
        self._limits = limits
        self._head: answersyntax.HeadChecker | None = None
        self._line_bytes_left = limits.head
        self._body_bytes_left: float = limits.body

    @contextlib.contextmanager
    def require_head(self) -> Iterator[None]:
        """Read the head of the next answer, which the connection must not cut off.

        The end of the connection before its first byte is no error.
        """
        self._line_bytes_left = self._limits.head
        self._body_bytes_left = self._limits.body
        self._head = answersyntax.HeadChecker() if self.peek(1) else None
        try:
            yield
        finally:
            self._head = None
            self._line_bytes_left = self._limits.head

    def lift_body_limit(self) -> None:
        """Let the body that follows be of any size; its reader bounds its parts."""
        self._body_bytes_left = math.inf

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        Raises
        ------
        http.client.IncompleteRead
            If the connection ends inside it, or in the head of an answer.
        answersyntax.InvalidAnswer
            If it does not belong in the head of an answer.
        AnswerTooLong
            If the lines exceed their limit.
        """
        size_max = self._line_bytes_left + 1
        if size is not None and 0 <= size < size_max:
            size_max = size
        line = _read_line(self, size_max)
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise AnswerTooLong(
                f"the head of the answer, or what frames its body, exceeds "
                f"{self._limits.head} bytes (response_head_bytes_max)"
            )
        if line.endswith(b"\n"):
            if self._head is not None:
                self._head.check(line)
            return line
        if len(line) == size:
            return line
        if line or self._head is not None:
            raise http.client.IncompleteRead(line)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read data of a body; raises AnswerTooLong."""
        if size is None or size < 0:
            return b"".join(iter(lambda: self.read1(READ_BYTES), b""))
        if size == CHUNK_END_BYTES:
            self._line_bytes_left -= size
            return super().read(size)
        self.check_length(size)
        return self._count_data(super().read(size))

    def read1(self, size: int = -1, /) -> bytes:
        """Read data of a body that has arrived; raises AnswerTooLong."""
        return self._count_data(_read_arrived(self, size))

    def check_length(self, size: int) -> None:
        """Raise AnswerTooLong if a body of this further size exceeds the limit."""
        if size > self._body_bytes_left:
            raise AnswerTooLong(
                f"the body exceeds {self._limits.body} bytes (response_body_bytes_max)"
            )

    def _count_data(self, data: bytes) -> bytes:
        size = len(data)
        if size > self._body_bytes_left:
            self.check_length(size)
        self._body_bytes_left -= size
        if self._line_bytes_left < self._limits.head:
            left = self._line_bytes_left + 2 * size
            self._line_bytes_left = min(left, self._limits.head)
        return data


class Answer(http.client.HTTPResponse):
    """An HTTP answer that is read strictly and within limits.

    Parameters
    ----------
    sock : socket
        A :class:`guardedsockets.GuardedSocket` states the limits.
    """

    _fields: dict[str, str] | None = None

    def __init__(self, sock: object, *args: object, **values: object) -> None:
        super().__init__(sock, *args, **values)
        if isinstance(self.fp, io.BufferedReader):
            self.fp = Reader(self.fp.detach(), getattr(sock, "limits", DEFAULT_LIMITS))

    def getheader(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header; several values are joined by commas.

        The base class searches all headers for each name.
        """
        if self._fields is None:
            self._fields = {}
            for key, value in self.headers.raw_items():
                key = key.lower()
                known = self._fields.get(key)
                self._fields[key] = value if known is None else f"{known}, {value}"
        return self._fields.get(name.lower(), default)

    def begin(self) -> None:
        """Read the status line and the headers; interim answers are skipped."""
        if self.headers is not None:
            return
        with self.fp.require_head():
            super().begin()
            while self.status < 200:
                if self.status == http.client.SWITCHING_PROTOCOLS:
                    raise http.client.HTTPException("the server switches protocols")
                self.headers = self._fields = None
                super().begin()
        answersyntax.check_framing(self)

    def _read_next_chunk_size(self) -> int:
        return answersyntax.parse_chunk_size(self.fp.readline())

    def _safe_read(self, amt: int) -> bytes:
        data = super()._safe_read(amt)
        if self.chunk_left == 0:
            answersyntax.check_chunk_end(data)
        return data
