"""Sockets on which a read ends: by an abort, or at a deadline.

The end of a connection marks the end of an answer that has neither a length nor chunks.
A connection that this process shuts down ends in the same way for the thread that reads
from it, which would take what has arrived for the whole answer. So does one that the
other end closes before it has read the whole request, though it then resets it.

A socket's timeout starts anew with each byte. A server that keeps sending would hold a
thread for as long as it likes.
"""

from __future__ import annotations

import array
import fcntl
import math
import select
import socket
import termios
import time
from collections.abc import Sequence

from urllib3.util import connection as urllib3_connection

from celeryspan import answerreaders

SocketOption = tuple[int, int, int | bytes]

TIMEOUT_TOLERANCE_SECONDS = 0.1
"""Tolerance of read timeouts. Setting the timeout for each event of a stream would cost
one system call per event."""

RESET_SECONDS_MAX = 0.25
"""Longest time for the other end to read or to reset what is still being sent to it."""

CHECK_INTERVAL_MS = 5

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
    unsent : bytes or memoryview
        Rest of a request of which the answer began before all of it was sent.
    """

    abort_reason = ""
    limits = answerreaders.DEFAULT_LIMITS
    unsent: bytes | memoryview = b""
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
        ConnectionError
            At an end that is followed by a reset.
        TimeoutError
            After the deadline.
        """
        if self._deadline is not None:
            self._check_deadline()
        data = super().recv(size, flags)
        if not data and size:
            self._check_end()
        return data

    def recv_into(
        self, buffer: memoryview, size: int = 0, flags: int = 0, /
    ) -> int | None:
        """Receive data; raises the same errors as :meth:`recv`."""
        if self._deadline is not None:
            self._check_deadline()
        count = _receive_into(self, buffer, size, flags)
        if not count and count is not None and len(buffer):
            self._check_end()
        return count

    def _check_deadline(self) -> None:
        now = time.monotonic()
        left = self._deadline - now
        if left <= 0:
            raise TimeoutError("deadline passed")
        if now - self._timeout_set_at > TIMEOUT_TOLERANCE_SECONDS:
            self._timeout_set_at = now
            self.settimeout(min(left, self._pause_max))

    def _check_end(self) -> None:
        """Check that the other end has closed the connection in order."""
        is_reset = not self.abort_reason and self._is_reset()
        if self.abort_reason:
            raise Aborted(f"ended by this process: {self.abort_reason}")
        if is_reset:
            raise ConnectionResetError("reset before it had read the whole request")

    def _is_reset(self) -> bool:
        """Send what is left of the request; return whether that meets a reset.

        A process that dies, or closes a connection without reading, ends its data in
        order and resets the connection as soon as more of the request reaches it.
        """
        poll = select.poll()
        until = time.monotonic() + RESET_SECONDS_MAX
        interval = 0
        while True:
            # Errors and hang-ups are always reported.
            poll.register(self, select.POLLOUT if self.unsent else 0)
            ready = poll.poll(interval)
            if ready and ready[0][1] != select.POLLOUT:
                return True
            if ready:
                sent = self.send(self.unsent, socket.MSG_DONTWAIT)
                self.unsent = self.unsent[sent:]
            is_sent = not (self.unsent or self._count_unacknowledged())
            if is_sent or time.monotonic() > until:
                return False
            interval = CHECK_INTERVAL_MS

    def _count_unacknowledged(self) -> int:
        """Return the number of bytes that were sent and not acknowledged."""
        count = array.array("i", [0])
        fcntl.ioctl(self, termios.TIOCOUTQ, count)
        return count[0]


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
