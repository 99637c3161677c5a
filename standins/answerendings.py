"""Ways in which stand-ins end answers: by length, by chunks or with the connection.

Each can be complete, or broken off at any place, with an orderly close or a reset.
"""

from __future__ import annotations

import dataclasses
import enum
import socket
import struct

RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that makes ``close`` reset the connection."""


class Framing(enum.Enum):
    """What marks the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How an answer ends.

    Attributes
    ----------
    parts : int or None
        Number of events, or bytes of a plain body, that are sent; None for all.
    extra_bytes : int
        Bytes of the next event that are sent.
    head_bytes : int or None
        Bytes of the head that are sent, without any body; None for all.
    has_end_mark : bool
        Whether the last chunk is sent.
    is_reset : bool
        Whether the connection is reset instead of closed in order.
    headers : str
        Further header lines.
    status_line : str
        Replaces the status line; empty to keep it.
    """

    framing: Framing
    parts: int | None = None
    extra_bytes: int = 0
    head_bytes: int | None = None
    has_end_mark: bool = False
    is_reset: bool = False
    headers: str = ""
    status_line: str = ""

    def format_answer(self, head: bytes, parts: list[bytes]) -> bytes:
        """Return the bytes to send.

        Parameters
        ----------
        head : bytes
            Head of a chunked answer.
        parts : list of bytes
            All events, or the bytes of a plain body one by one.
        """
        if self.framing is Framing.CONNECTION:
            head = head.replace(b"Transfer-Encoding: chunked", b"Connection: close")
        elif self.framing is Framing.LENGTH:
            length = b"Content-Length: %d" % sum(map(len, parts))
            head = head.replace(b"Transfer-Encoding: chunked", length)
        if self.status_line:
            _, _, fields = head.partition(b"\r\n")
            head = f"{self.status_line}\r\n".encode() + fields
        if self.headers:
            head = head.removesuffix(b"\r\n") + f"{self.headers}\r\n\r\n".encode()
        if self.head_bytes is not None:
            return head[: self.head_bytes]
        count = len(parts) if self.parts is None else self.parts
        body = b"".join(parts[:count])
        if self.extra_bytes:
            body += parts[count][: self.extra_bytes]
        if self.framing is not Framing.CHUNKS:
            return head + body
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return head + chunk + (b"0\r\n\r\n" if self.has_end_mark else b"")

    def prepare_close(self, connection: socket.socket) -> None:
        """Let the next close reset the connection, if the answer ends so."""
        if self.is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
