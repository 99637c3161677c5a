"""One request of a caller that another router serves."""

from __future__ import annotations

import enum
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import errors, ids
from celeryspan.platform import names

if TYPE_CHECKING:
    from celeryspan.services import httpserver

Answer = Callable[["httpserver.Connection", errors.RequestError], None]
"""Answers a request with an error, on the connection of its caller."""


class Phase(enum.Enum):
    """What a relayed request waits for."""

    CONNECTION = "connection"
    SENDING = "sending"
    ANSWER = "answer"
    REST_OF_ANSWER = "rest_of_answer"
    CALLER = "caller"


class RelayedRequest:
    """A request that a peer serves, and the connections to the caller and to the peer.

    Attributes
    ----------
    unsent : bytes
        Part of the request that has not been sent to the peer.
    partial_head : bytes
        What has arrived of the answer while its head is not complete.
    undelivered : bytes
        Part of the answer that the caller has not taken.
    is_connected : bool
        Whether the peer has accepted the connection.
    is_begun : bool
        Whether a part of the answer was sent to the caller.
    is_ended : bool
        Whether the peer has sent its whole answer.
    expires_at : float
        Time at which the caller stops waiting.
    """

    __slots__ = (
        "answer",
        "caller",
        "connection",
        "expires_at",
        "is_begun",
        "is_connected",
        "is_ended",
        "partial_head",
        "peer",
        "socket",
        "started_at",
        "undelivered",
        "unsent",
    )

    def __init__(
        self,
        connection: httpserver.Connection,
        peer: ids.RouterId,
        sock: socket.socket,
        data: bytes,
        seconds: float,
        answer: Answer,
    ) -> None:
        self.connection = connection
        self.caller: socket.socket = connection.socket
        self.peer = peer
        self.socket = sock
        self.unsent = data
        self.partial_head = b""
        self.undelivered = b""
        self.is_connected = False
        self.is_begun = False
        self.is_ended = False
        self.started_at = time.monotonic()
        self.expires_at = self.started_at + seconds
        self.answer = answer

    @property
    def phase(self) -> Phase:
        """What the request waits for."""
        if not self.is_connected:
            return Phase.CONNECTION
        if self.unsent:
            return Phase.SENDING
        if self.undelivered:
            return Phase.CALLER
        return Phase.REST_OF_ANSWER if self.is_begun else Phase.ANSWER


def add_revision(request: bytes, revision: int) -> bytes:
    """Return a request with the header that marks it as handed over."""
    line, _, rest = request.partition(b"\r\n")
    return b"%b\r\n%b: %d\r\n%b" % (
        line,
        names.HANDED_OVER.encode(),
        revision,
        rest,
    )
