"""One request of a caller that another router serves."""

from __future__ import annotations

import enum
import select
import socket
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from celeryspan import errors, ids, storedobjects
from celeryspan.platform import names

if TYPE_CHECKING:
    from celeryspan.services import arrivals

Answer = Callable[["arrivals.Arrival", errors.RequestError], None]
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
    poll : epoll or None
        Reports what arrives from the peer.
    is_connected : bool
        Whether the peer has accepted the connection.
    is_begun : bool
        Whether a part of the answer was sent to the caller.
    is_ended : bool
        Whether the peer has sent its whole answer.
    expires_at : float
        Time at which the caller stops waiting.
    taken_at : float
        Time at which the caller last took a part of the answer.
    """

    __slots__ = (
        "answer",
        "arrival",
        "caller",
        "expires_at",
        "is_begun",
        "is_connected",
        "is_ended",
        "partial_head",
        "peer",
        "poll",
        "socket",
        "started_at",
        "taken_at",
        "undelivered",
        "unsent",
    )

    def __init__(
        self,
        arrival: arrivals.Arrival,
        peer: ids.RouterId,
        sock: socket.socket,
        data: bytes,
        seconds: float,
        answer: Answer,
    ) -> None:
        self.arrival = arrival
        self.caller: socket.socket = arrival.socket
        self.peer = peer
        self.socket = sock
        self.unsent = data
        self.partial_head = b""
        self.undelivered = b""
        self.poll: select.epoll | None = None
        self.is_connected = False
        self.is_begun = False
        self.is_ended = False
        self.started_at = self.taken_at = time.monotonic()
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


def add_position(request: bytes, position: storedobjects.Position) -> bytes:
    """Return a request with the headers that mark it as handed over.

    They state the configuration in force. Peers of an earlier build read the revision
    alone.
    """
    line, _, rest = request.partition(b"\r\n")
    return b"%b\r\n%b: %d\r\n%b: %d\r\n%b" % (
        line,
        names.HANDED_OVER.encode(),
        position.revision,
        names.HANDED_OVER_ERA.encode(),
        position.era,
        rest,
    )


def is_handed_over(headers: Mapping[bytes, bytes]) -> bool:
    """Whether a peer has handed a request over."""
    return names.HANDED_OVER.title().encode() in headers


def has_position(
    headers: Mapping[bytes, bytes], position: storedobjects.Position
) -> bool:
    """Whether the router that handed a request over has the same configuration.

    One of an earlier build states no era; its revision decides.
    """
    revision = headers.get(names.HANDED_OVER.title().encode())
    era = headers.get(names.HANDED_OVER_ERA.title().encode())
    return revision == b"%d" % position.revision and era in (
        None,
        b"%d" % position.era,
    )
