"""The idle connections of callers, within what the process may have open.

Failure answered: a listener that has no descriptor for a new connection. cheroot's own
manager passes the error on and begins anew at once: the listener then fails more than
100,000 times a second, and never comes to closing what has been idle for too long, so
that the process does not recover when its callers have left.
"""

from __future__ import annotations

import errno
import resource
import select
import socket
import time
from typing import TYPE_CHECKING

from cheroot import connections as cheroot_connections

from celeryspan.decisions import descriptors

if TYPE_CHECKING:
    from celeryspan.services import httpserver

EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""What accepting fails with when the process or the system has no room."""

ACCEPT_PAUSE_SECONDS = 0.01
"""How long a listener rests that can neither accept nor give anything up: a request in
progress ends meanwhile, and a core is not spent on failing."""


def compute_budget(configured: int = 0) -> descriptors.Budget:
    """Return how many connections of each use this process may have.

    Parameters
    ----------
    configured : int
        How many descriptors the settings allow; 0 if they say nothing. The system's
        limit holds in any case.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if configured:
        allowed = min(allowed, configured)
    return descriptors.divide(allowed)


class CallerConnections(cheroot_connections.ConnectionManager):
    """Keeps idle connections, and gives some up before there are too many.

    Parameters
    ----------
    bound : int
        Greatest number of connections, idle or in use.
    """

    def __init__(self, server: httpserver.Server, bound: int) -> None:
        super().__init__(server)
        self._bound = bound
        self.closed_idle_count = 0

    def accept(self) -> httpserver.Connection | None:
        """Take in one connection; None if there is none, or no room for it."""
        if self._num_connections + self.server.requests.busy >= self._bound:
            if not self._close_idle():
                time.sleep(ACCEPT_PAUSE_SECONDS)
                return None
        try:
            return super()._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in EXHAUSTION_ERRNOS:
                raise
            self.server.error_log("no room for a connection")
        if not self._close_idle():
            time.sleep(ACCEPT_PAUSE_SECONDS)
        return None

    def _from_server_socket(self, _: socket.socket) -> None:
        """Take in all connections that wait, as cheroot asks for one of them."""
        self.server.accept_pending()

    def _close_idle(self) -> int:
        """Close some connections that wait for nothing; returns how many.

        One on which bytes have come is not closed: its request would be lost.
        """
        if not self.server.is_accepting_thread():
            return 0  # Only the task that selects may take connections out.
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
    """Whether a connection can be read from without waiting."""
    return not _find_without_data([sock.fileno()])


def _find_without_data(candidates: list[int]) -> set[int]:
    """Return the descriptors on which nothing has come, not even an end."""
    poll = select.poll()
    for descriptor in candidates:
        poll.register(descriptor, select.POLLIN)
    return set(candidates) - {descriptor for descriptor, _ in poll.poll(0)}
