"""Accepts callers, bounds their connections and closes idle ones near the bound.

When the process runs out of file descriptors, cheroot's own connection manager reports
the failed accept and retries at once. The listener then fails more than 100,000 times a
second and never gets to close expired idle connections, so that the process does not
recover even after its callers have left.
"""

from __future__ import annotations

import errno
import resource
import select
import socket
import time
from typing import TYPE_CHECKING

from cheroot import connections as cheroot_connections

from celeryspan.decisions import arrivalqueue, descriptors
from celeryspan.services import arrivals

if TYPE_CHECKING:
    from celeryspan.services import httpserver

EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors of ``accept`` when the process or the system is out of resources."""

IGNORED_ERRNOS = (
    errno.EAGAIN,
    errno.EINTR,
    errno.ECONNABORTED,
    errno.EBADF,
    errno.EINVAL,
)
"""Errors of ``accept`` if no caller waits, one has left, or the listener was closed."""

ACCEPT_PAUSE_SECONDS = 0.01
"""Pause of a listener that can neither accept a connection nor close one, so that it
does not occupy a core until a request in progress ends."""


def compute_budget(configured: int = 0) -> descriptors.Budget:
    """Return the maximum number of connections for each use in this process.

    Parameters
    ----------
    configured : int
        Maximum number of descriptors from the settings, 0 if not set. The system's
        limit applies in any case.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if configured:
        allowed = min(allowed, configured)
    return descriptors.divide(allowed)


IDLE_SECONDS_MIN = 0.001
"""A look at the connections that takes longer has waited for the first of them."""


class CallerConnections(cheroot_connections.ConnectionManager):
    """Accepts connections, and closes some idle ones when the bound is reached.

    Parameters
    ----------
    bound : int
        Maximum number of connections, idle or in use.

    Attributes
    ----------
    arrivals : ArrivalQueue
        Connections on which requests may have arrived.
    """

    def __init__(self, server: httpserver.Server, bound: int) -> None:
        super().__init__(server)
        server.socket.setblocking(False)
        self.arrivals: arrivalqueue.ArrivalQueue[arrivals.Arrival] = (
            arrivalqueue.ArrivalQueue()
        )
        self._bound = bound
        self._collected_at = time.monotonic()
        self.closed_idle_count = 0

    def accept(self) -> arrivals.Arrival | None:
        """Accept one connection; None if none is pending or the bound is reached."""
        if self._count() >= self._bound:
            if self.arrivals:
                return None  # Most of them may be idle once they are dispatched.
            if not self._make_room():
                time.sleep(ACCEPT_PAUSE_SECONDS)
                return None
        try:
            sock, address = self.server.socket.accept()
        except OSError as error:
            if error.errno in IGNORED_ERRNOS:
                return None
            if error.errno not in EXHAUSTION_ERRNOS:
                raise
            self.server.error_log("out of resources for a new connection")
        else:
            return arrivals.Arrival(sock, self._collected_at, address)
        if not self._make_room():
            time.sleep(ACCEPT_PAUSE_SECONDS)
        return None

    def _count(self) -> int:
        """Return the number of connections, idle or in use."""
        incomplete = len(self.server.collector)
        in_use = self.server.requests.busy + incomplete + len(self.arrivals)
        return self._num_connections + in_use

    def _make_room(self) -> bool:
        """Close idle connections, or else the one whose request arrives most slowly."""
        return bool(self._close_idle()) or self.server.collector.give_up_slowest()

    def _run(self, expiration_interval: float) -> None:
        """Collect arrivals, dispatch them and close expired idle connections.

        cheroot's own loop accepts one connection before it dispatches it. With
        hundreds of busy threads that takes so long that callers cannot connect.
        """
        expired_at = time.time()
        while not self._stop_requested:
            self._collect(0.0 if self.arrivals else expiration_interval)
            self.server.dispatch_arrivals()
            now = time.time()
            if now - expired_at > expiration_interval:
                self._expire(now - self.server.timeout)
                expired_at = now

    def _collect(self, timeout: float) -> None:
        """Queue all connections that are pending or have received data.

        Parameters
        ----------
        timeout : float
            How long to wait for the first one, in seconds.
        """
        began = time.monotonic()
        try:
            ready = list(self._selector.select(timeout))
        except OSError:
            self._remove_invalid_sockets()
            return
        looked_at = time.monotonic()
        if looked_at - began > IDLE_SECONDS_MIN:
            began = self._collected_at = looked_at
        for descriptor, connection in ready:
            if connection is self.server:
                while (arrival := self.accept()) is not None:
                    self.arrivals.add(arrival)
            else:
                self._selector.unregister(descriptor)
                self.arrivals.add(
                    arrivals.Arrival(
                        connection.socket, self._collected_at, connection=connection
                    )
                )
        # Whatever comes next was not there when this look began.
        self._collected_at = began

    def _close_idle(self) -> int:
        """Close some idle connections and return their number.

        Connections with unread data stay open, because their requests would be lost.
        """
        if not self.server.is_accepting_thread():
            return 0  # Only the accepting thread may modify the selector.
        idle = [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
        ]
        count = descriptors.count_connections_to_close(self._bound)
        holders = [connection.remote_addr for _, connection in idle]
        chosen = [
            idle[place]
            for place in descriptors.select_connections_to_close(holders, count)
        ]
        without_data = _find_without_data([descriptor for descriptor, _ in chosen])
        for descriptor, connection in chosen:
            if descriptor in without_data:
                self._selector.unregister(descriptor)
                connection.close()
        self.closed_idle_count += len(without_data)
        return len(without_data)


def has_data(sock: socket.socket) -> bool:
    """Return whether a read from a socket would not block."""
    return not _find_without_data([sock.fileno()])


def _find_without_data(candidates: list[int]) -> set[int]:
    """Return the descriptors with neither unread data nor an end of stream."""
    poll = select.poll()
    for descriptor in candidates:
        poll.register(descriptor, select.POLLIN)
    return set(candidates) - {descriptor for descriptor, _ in poll.poll(0)}
