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

FIELDS_MAX = 100
"""Headers of an answer, as many as ``http.client`` takes."""

BODILESS_STATUSES = (http.client.NO_CONTENT, http.client.NOT_MODIFIED)

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
        self._is_in_head = False
        self._line_bytes_left = limits.head
        self._body_bytes_left: float = limits.body

    @contextlib.contextmanager
    def require_head(self) -> Iterator[None]:
        """Read the head of the next answer, which the connection must not cut off.

        The end of the connection before its first byte is no error.
        """
        self._line_bytes_left = self._limits.head
        self._body_bytes_left = self._limits.body
        self._is_in_head = bool(self.peek(1))
        try:
            yield
        finally:
            self._is_in_head = False
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
        if line.endswith(b"\n") or len(line) == size:
            return line
        if line or self._is_in_head:
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

    def __init__(self, sock: object, *args: object, **values: object) -> None:
        super().__init__(sock, *args, **values)
        self._fields: dict[str, str] = {}
        if isinstance(self.fp, io.BufferedReader):
            self.fp = Reader(self.fp.detach(), getattr(sock, "limits", DEFAULT_LIMITS))

    def getheader(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header; several values are joined by commas.

        The base class searches all headers for each name.
        """
        return self._fields.get(name.lower(), default)

    def begin(self) -> None:
        """Read the status line and the headers; interim answers are skipped.

        Raises
        ------
        http.client.RemoteDisconnected
            If the connection has ended without an answer.
        http.client.HTTPException
            If what has arrived is no answer.
        """
        if self.headers is not None:
            return
        with self.fp.require_head():
            self._read_head()
            while self.status < 200:
                if self.status == http.client.SWITCHING_PROTOCOLS:
                    raise http.client.HTTPException("the server switches protocols")
                self._read_head()
        self._set_framing()

    def _read_head(self) -> None:
        line = self.fp.readline()
        if not line:
            raise http.client.RemoteDisconnected("the connection ended without answer")
        minor, self.status, self.reason = answersyntax.parse_status_line(line)
        self.version = 11 if minor else 10
        self.code = self.status
        self.headers = self.msg = http.client.HTTPMessage()
        self._fields = {}
        while (line := self.fp.readline()) not in answersyntax.EMPTY_LINES:
            name, value = answersyntax.parse_field(line)
            self.headers[name] = value
            if len(self.headers) > FIELDS_MAX:
                raise AnswerTooLong(f"the answer has more than {FIELDS_MAX} headers")
            name = name.lower()
            known = self._fields.get(name)
            self._fields[name] = value if known is None else f"{known}, {value}"

    def _set_framing(self) -> None:
        """Set what marks the end of the body."""
        coding = self.getheader("Transfer-Encoding")
        length = answersyntax.parse_framing(self.getheader("Content-Length"), coding)
        if coding is not None and self.version < 11:
            raise answersyntax.InvalidAnswer("chunks in an answer of HTTP/1.0")
        has_body = self._method != "HEAD" and self.status not in BODILESS_STATUSES
        self.chunked = has_body and coding is not None
        self.chunk_left = None
        self.length = length if has_body else 0
        ends_with_connection = not self.chunked and self.length is None
        self.will_close = ends_with_connection or self._check_close()

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline()
        if not line:
            raise http.client.IncompleteRead(line)
        return answersyntax.parse_chunk_size(line)

    def _safe_read(self, amt: int) -> bytes:
        data = super()._safe_read(amt)
        if self.chunk_left == 0:
            answersyntax.check_chunk_end(data)
        return data
