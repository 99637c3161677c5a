"""Sockets that tell whether their own side has ended the connection.

The end of a connection marks the end of an answer that has neither a length nor chunks.
A connection that this process shuts down ends in the same way for the thread that reads
from it, which would take what has arrived for the whole answer.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence

from urllib3.util import connection as urllib3_connection

SocketOption = tuple[int, int, int | bytes]


class Aborted(ConnectionAbortedError):
    """Raised to the reader of a connection that this process has ended."""


class AbortableSocket(socket.socket):
    """A socket whose reads fail after :meth:`abort` instead of reporting the end.

    Attributes
    ----------
    abort_reason : str
        Why this process has ended the connection; empty if it has not.
    """

    abort_reason = ""

    def abort(self, reason: str) -> None:
        """Shut the connection down, which wakes the thread that reads from it."""
        self.abort_reason = reason
        try:
            self.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The connection is closed already.

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive data; raises Aborted at an end that this process has caused."""
        data = super().recv(size, flags)
        if not data and size:
            self._check_end()
        return data

    def recv_into(
        self, buffer: memoryview, size: int = 0, flags: int = 0, /
    ) -> int | None:
        """Receive data; raises Aborted at an end that this process has caused."""
        count = super().recv_into(buffer, size, flags)
        if not count and len(buffer):
            self._check_end()
        return count

    def _check_end(self) -> None:
        if self.abort_reason:
            raise Aborted(f"ended by this process: {self.abort_reason}")


def connect(
    address: tuple[str, int], seconds: float, options: Sequence[SocketOption]
) -> AbortableSocket:
    """Return a connected socket with a timeout.

    Parameters
    ----------
    seconds : float
        Timeout of the connection attempt and, at first, of the socket.

    Raises
    ------
    OSError
        If the connection fails.
    """
    return adopt(
        urllib3_connection.create_connection(address, seconds, socket_options=options)
    )


def adopt(sock: socket.socket) -> AbortableSocket:
    """Return an abortable socket for the connection of another, which is detached."""
    timeout = sock.gettimeout()
    adopted = AbortableSocket(sock.family, sock.type, sock.proto, sock.detach())
    adopted.settimeout(timeout)
    return adopted
