"""Reader and writer of a caller's connection for cheroot.

cheroot's own classes are based on the pure Python implementation of buffered I/O.
Reading the header lines of a request with them took 0.4 of the 2.9 ms that a router
spent on a plain call. The reader here uses the C implementation instead.
"""

from __future__ import annotations

import io
import os
import socket


class _RawSocket(socket.SocketIO):
    """A raw socket stream that can be made to report that no data is available."""

    returns_no_data = False

    def readinto(self, buffer: memoryview) -> int | None:
        """Read available data; returns None at once if ``returns_no_data`` is set."""
        return None if self.returns_no_data else super().readinto(buffer)


class Reader(io.BufferedReader):
    """Buffered reader of requests."""

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        super().__init__(_RawSocket(sock, "r"), bufsize)

    def has_data(self) -> bool:
        """Return whether the buffer holds data, without reading from the socket."""
        self.raw.returns_no_data = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.returns_no_data = False


class Writer:
    """Unbuffered writer of answers.

    Attributes
    ----------
    bytes_written : int
        Number of bytes sent, as cheroot's own writer counts them.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all bytes; the socket's timeout applies to each ``send`` call."""
        view = memoryview(data)
        while view:
            sent = self._socket.send(view)
            self.bytes_written += sent
            view = view[sent:]
        return len(data)

    def write_available(self, data: bytes) -> int:
        """Send as many bytes as the system takes at once and return their number.

        ``socket.send`` would wait for up to the timeout. The descriptor of a socket
        with a timeout does not block.
        """
        try:
            sent = os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0
        self.bytes_written += sent
        return sent

    def flush(self) -> None:
        """Do nothing: there is no buffer."""

    def close(self) -> None:
        """Do nothing: the connection closes the socket."""


def open_stream(sock: socket.socket, mode: str, bufsize: int) -> Reader | Writer:
    """Return a reader or writer for a socket; called by cheroot."""
    return Reader(sock, bufsize) if "r" in mode else Writer(sock)
