"""Connections of callers that were accepted and wait to be dispatched.

Nothing tells how long a caller has waited in the listen backlog, or that it has left.
A router that accepts a connection only when it can serve it therefore seems on time
while its callers give up. The accepting thread takes them out of the backlog at once
and keeps them here, where their wait is known.
"""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryspan.services import requestconnection


class Arrival:
    """A connection on which a request may have arrived.

    Attributes
    ----------
    socket : socket
    address : tuple
        Address of the caller.
    since : float
        Monotonic time in seconds before which it was not there.
    connection : Connection or None
        State of a connection that has carried a request before.
    """

    __slots__ = ("address", "connection", "since", "socket")

    def __init__(
        self,
        sock: socket.socket,
        since: float,
        address: tuple = ("", 0),
        connection: requestconnection.Connection | None = None,
    ) -> None:
        self.socket = sock
        self.address = address
        self.since = since
        self.connection = connection

    @property
    def is_new(self) -> bool:
        """Whether no request has been read from the connection yet."""
        return self.connection is None

    def measure_wait(self) -> float:
        """Return for how long the caller may have waited, in seconds."""
        return time.monotonic() - self.since

    def close(self) -> None:
        """Close the connection."""
        (self.connection or self.socket).close()
