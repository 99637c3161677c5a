"""Splits the bytes of a caller's connection into requests, within limits.

What a caller sends is bounded before it is kept: the head, the body, the line with the
size of each chunk, what frames a chunked body in all, and its trailers. A reader that
waits for the end of a line first holds as many bytes as the caller chooses.

The head is not parsed here beyond what frames the body. One with ambiguous framing ends
the request, so that the parser of the head refuses it.
"""

from __future__ import annotations

import enum
import re

import msgspec

HEAD_END = re.compile(rb"\r\n\r\n|(?<!\r)\n")
"""End of a head, or of a line that makes it malformed."""

FRAMING_HEADER = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect)[ \t]*:([^\r\n]*)", re.IGNORECASE
)
LENGTH = re.compile(rb"[0-9]{1,18}")
CHUNK_SIZE = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")

CRLF = b"\r\n"

CHUNK_LINE_BYTES_MAX = 4_096
"""Longest line with the size and the extensions of a chunk."""

CHUNK_LINE_BYTES_FREE = 16
"""Bytes that frame a chunk and do not count as overhead."""

OVERHEAD_BYTES_MAX = 65_536
"""Bytes that may frame a chunked body beyond those and twice its data."""

USUAL_ITEMS = 64
"""Headers, items of lists and parameters of a query that an ordinary head has."""

ITEM_OVERHEAD_BYTES = 600
"""Memory that each further one takes once the head is parsed."""

ITEM_MARKS = (b"\n", b",", b"&")


class Fault(enum.Enum):
    """Why a request cannot be taken as it has arrived."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    INCOMPLETE = "incomplete"
    NO_ROOM = "no-room"


class _Stage(enum.Enum):
    HEAD = "head"
    BODY = "body"
    CHUNK_LINE = "chunk line"
    CHUNK = "chunk"
    TRAILERS = "trailers"
    DONE = "done"


_CHUNK_STAGES = (_Stage.CHUNK_LINE, _Stage.CHUNK, _Stage.TRAILERS)


class Limits(msgspec.Struct, frozen=True):
    """Largest head and body of a request, in bytes."""

    head: int
    body: int


class Assembler:
    """Collects one request.

    Attributes
    ----------
    fault : Fault or None
        Why the request ended before it was whole.
    detail : str
        What was wrong, for the caller.
    length : int or None
        Length of the body as the head states it; None if it states none.
    is_chunked : bool
        Whether the body comes in chunks.
    expects_continue : bool
        Whether the caller waits for an interim answer before it sends the body.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._stage = _Stage.HEAD
        self._buffer = bytearray()
        self._searched = 0
        self._head = b""
        self._items = 0
        self._body = bytearray()
        self._chunk_left = 0
        self._overhead = 0
        self._trailer_bytes = 0
        self.fault: Fault | None = None
        self.detail = ""
        self.length: int | None = None
        self.is_chunked = False
        self.expects_continue = False

    @property
    def is_done(self) -> bool:
        """Whether the request is whole, or has a fault."""
        return self._stage is _Stage.DONE

    @property
    def is_empty(self) -> bool:
        """Whether nothing of the request has arrived."""
        return not (self._head or self._buffer)

    @property
    def has_head(self) -> bool:
        """Whether the head is complete."""
        return self._stage is not _Stage.HEAD

    @property
    def size(self) -> int:
        """Memory that it takes so far beyond that of a usual head, in bytes."""
        extra = max(0, self._items - USUAL_ITEMS) * ITEM_OVERHEAD_BYTES
        return extra + len(self._body)

    @property
    def missing_bytes(self) -> int | None:
        """Bytes of the body that are still to arrive; None if its length is unknown."""
        return None if self.length is None else self.length - len(self._body)

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._buffer += data
        if self._stage is _Stage.HEAD:
            self._find_head_end()
        if self._stage is _Stage.BODY:
            self._take_body()
        elif self._stage in _CHUNK_STAGES:
            self._take_chunks()

    def end(self) -> None:
        """Record that the caller sends nothing more."""
        if not self.is_done:
            self.refuse(Fault.INCOMPLETE, "the request ended before it was whole")

    def refuse(self, fault: Fault, detail: str) -> None:
        """End the request with a fault."""
        self.fault, self.detail = fault, detail
        if not self._head:
            self._head = bytes(self._buffer)
        self._buffer.clear()
        self._body.clear()
        self._stage = _Stage.DONE

    def take_head(self) -> bytes:
        """Return the head, or what there is of it."""
        return self._head

    def take_body(self) -> bytes:
        """Return the whole body, which is no longer kept here."""
        body, self._body = bytes(self._body), bytearray()
        return body

    def take_rest(self) -> bytes:
        """Return what has arrived after the request."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def _find_head_end(self) -> None:
        # One empty line before a request is skipped, as RFC 9112 recommends.
        start = max(2 if self._buffer.startswith(CRLF) else 0, self._searched)
        found = HEAD_END.search(self._buffer, start)
        if found is None:
            self._searched = max(0, len(self._buffer) - len(CRLF + CRLF))
            if len(self._buffer) > self._limits.head:
                self.refuse(Fault.TOO_LARGE, "the head is too long")
            return
        self._head = bytes(self._buffer[: found.end()])
        if found.group() == b"\n" or len(self._head) > self._limits.head:
            self.refuse(Fault.MALFORMED, "the head is malformed or too long")
            return
        del self._buffer[: found.end()]
        self._items = sum(map(self._head.count, ITEM_MARKS))
        self._read_framing()

    def _read_framing(self) -> None:
        lengths, codings = [], []
        for name, value in FRAMING_HEADER.findall(self._head):
            if name.lower() == b"expect":
                self.expects_continue = value.strip().lower() == b"100-continue"
            elif name.lower() == b"content-length":
                lengths.append(value.strip())
            else:
                codings.append(value.strip().lower())
        self._stage = _Stage.DONE
        if codings:
            self.is_chunked = codings == [b"chunked"] and not lengths
            if self.is_chunked:
                self._stage = _Stage.CHUNK_LINE
        elif len(lengths) == 1 and LENGTH.fullmatch(lengths[0]):
            self.length = int(lengths[0])
            if self.length > self._limits.body:
                self.refuse(Fault.TOO_LARGE, "the body is too large")
            elif self.length:
                self._stage = _Stage.BODY

    def _take_body(self) -> None:
        missing = self.length - len(self._body)
        self._body += self._buffer[:missing]
        del self._buffer[:missing]
        if len(self._body) == self.length:
            self._stage = _Stage.DONE

    def _take_chunks(self) -> None:
        """Take as much of a chunked body and its trailers as has arrived."""
        position = 0
        while not self.is_done:
            taken = self._take_piece(position)
            if not taken:
                break
            position += taken
        if self.fault is None:
            del self._buffer[:position]

    def _take_piece(self, start: int) -> int:
        """Take one line or part of a chunk; returns how many bytes it had."""
        if self._stage is _Stage.CHUNK:
            return self._take_chunk(start)
        is_trailer = self._stage is _Stage.TRAILERS
        line_max = self._limits.head if is_trailer else CHUNK_LINE_BYTES_MAX
        end = self._buffer.find(b"\n", start, start + line_max)
        if end < 0:
            if len(self._buffer) - start >= line_max:
                self._refuse_framing(is_trailer)
            return 0
        line = self._buffer[start : end + 1]
        if not line.endswith(CRLF):
            self.refuse(Fault.MALFORMED, "a line of the chunked body is malformed")
        elif is_trailer:
            self._take_trailer(line)
        else:
            self._begin_chunk(line)
        return len(line)

    def _begin_chunk(self, line: bytes) -> None:
        found = CHUNK_SIZE.fullmatch(line, 0, len(line) - len(CRLF))
        if found is None:
            self.refuse(Fault.MALFORMED, "the size of a chunk is malformed")
            return
        size = int(found.group(1), 16)
        self._overhead += len(line) - CHUNK_LINE_BYTES_FREE - 2 * size
        self._overhead = max(0, self._overhead)
        if self._overhead > OVERHEAD_BYTES_MAX:
            self._refuse_framing(False)
        elif len(self._body) + size > self._limits.body:
            self.refuse(Fault.TOO_LARGE, "the body is too large")
        else:
            self._chunk_left = size
            self._stage = _Stage.CHUNK if size else _Stage.TRAILERS

    def _take_chunk(self, start: int) -> int:
        """Take data of a chunk, or the line end after it."""
        if self._chunk_left:
            piece = self._buffer[start : start + self._chunk_left]
            self._body += piece
            self._chunk_left -= len(piece)
            return len(piece)
        if len(self._buffer) < start + len(CRLF):
            return 0
        if self._buffer[start : start + len(CRLF)] != CRLF:
            self.refuse(Fault.MALFORMED, "a chunk is longer than its size")
        self._stage = _Stage.CHUNK_LINE if self.fault is None else _Stage.DONE
        return len(CRLF)

    def _take_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line)
        if line == CRLF:
            self._stage = _Stage.DONE
        elif self._trailer_bytes > self._limits.head:
            self._refuse_framing(True)

    def _refuse_framing(self, is_trailer: bool) -> None:
        what = "trailers are" if is_trailer else "framing of the chunked body is"
        self.refuse(Fault.TOO_LARGE, f"the {what} too long")
