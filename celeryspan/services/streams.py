"""Reader and writer of a caller's connection for cheroot.

cheroot reads the lines of a head from the connection, however long they are. Here it
gets a head that has arrived within its limits, see :mod:`requestframing`.
"""

from __future__ import annotations

import io
import os
import socket


class Reader(io.BytesIO):
    """The head of a request that has arrived.

    Attributes
    ----------
    has_more : bool
        Whether bytes of the next request have arrived with it.
    """

    has_more = False

    def has_data(self) -> bool:
        """Return whether there are bytes of the next request; called by cheroot."""
        return self.has_more


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
    return Reader() if "r" in mode else Writer(sock)
