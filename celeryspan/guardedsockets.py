"""Sockets on which a read ends: by an abort, or at a deadline.

The end of a connection marks the end of an answer that has neither a length nor chunks.
A connection that this process shuts down ends in the same way for the thread that reads
from it, which would take what has arrived for the whole answer.

A socket's timeout starts anew with each byte. A server that keeps sending would hold a
thread for as long as it likes.
"""

from __future__ import annotations

import math
import socket
import time
from collections.abc import Sequence
from typing import NoReturn

from urllib3.util import connection as urllib3_connection

from celeryspan import answerreaders

SocketOption = tuple[int, int, int | bytes]

TIMEOUT_TOLERANCE_SECONDS = 0.1
"""Tolerance of read timeouts. Setting the timeout for each event of a stream would cost
one system call per event."""


_receive_into = socket.socket.recv_into


class Aborted(ConnectionAbortedError):
    """Raised to the reader of a connection that this process has ended."""


class GuardedSocket(socket.socket):
    """A socket whose reads fail after :meth:`abort` and after a deadline.

    Attributes
    ----------
    abort_reason : str
        Why this process has ended the connection; empty if it has not.
    limits : Limits
        Limits of the answers that are read from it.
    """

    abort_reason = ""
    limits = answerreaders.DEFAULT_LIMITS
    _deadline: float | None = None
    _pause_max = math.inf
    _timeout_set_at = -math.inf

    def abort(self, reason: str) -> None:
        """Shut the connection down, which wakes the thread that reads from it."""
        self.abort_reason = reason
        try:
            self.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The connection is closed already.

    def set_deadline(self, until: float, pause_max: float = math.inf) -> None:
        """Set the monotonic time from which reads fail, however much arrives.

        Parameters
        ----------
        pause_max : float
            Longest time without data, in seconds.

        Raises
        ------
        TimeoutError
            If it has passed.
        """
        if until != self._deadline or pause_max != self._pause_max:
            self._deadline, self._pause_max = until, pause_max
            self._timeout_set_at = -math.inf
        self._check_deadline()

    def clear_deadline(self) -> None:
        """Let reads end with the socket's own timeout alone."""
        self._deadline = None

    def recv(self, size: int, flags: int = 0, /) -> bytes:
        """Receive data.

        Raises
        ------
        Aborted
            At an end of the connection that this process has caused.
        TimeoutError
            After the deadline.
        """
        if self._deadline is not None:
            self._check_deadline()
        data = super().recv(size, flags)
        if not data and self.abort_reason and size:
            self._raise_aborted()
        return data

    def recv_into(
        self, buffer: memoryview, size: int = 0, flags: int = 0, /
    ) -> int | None:
        """Receive data; raises the same errors as :meth:`recv`."""
        if self._deadline is not None:
            self._check_deadline()
        count = _receive_into(self, buffer, size, flags)
        if not count and self.abort_reason and len(buffer):
            self._raise_aborted()
        return count

    def _check_deadline(self) -> None:
        now = time.monotonic()
        left = self._deadline - now
        if left <= 0:
            raise TimeoutError("deadline passed")
        if now - self._timeout_set_at > TIMEOUT_TOLERANCE_SECONDS:
            self._timeout_set_at = now
            self.settimeout(min(left, self._pause_max))

    def _raise_aborted(self) -> NoReturn:
        raise Aborted(f"ended by this process: {self.abort_reason}")


def connect(
    address: tuple[str, int], seconds: float, options: Sequence[SocketOption]
) -> GuardedSocket:
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


def adopt(sock: socket.socket) -> GuardedSocket:
    """Return a guarded socket for the connection of another, which is detached."""
    timeout = sock.gettimeout()
    adopted = GuardedSocket(sock.family, sock.type, sock.proto, sock.detach())
    adopted.settimeout(timeout)
    return adopted
