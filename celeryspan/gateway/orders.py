"""An accepted request and the interface to which its answer is written."""

from __future__ import annotations

import time
from typing import Protocol

import msgspec

from celeryspan import calls, catalog, ids
from celeryspan.platform import requests


class Sink(Protocol):
    """Receives the answer to one request."""

    def write_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        """Write the status line and headers; the body is chunked without a length."""

    def write(self, data: bytes) -> None:
        """Write a part of the body; raises OSError if the caller has disconnected."""

    def finish(self) -> None:
        """Mark the end of a complete answer."""

    def abort(self) -> None:
        """End the answer so that the caller sees that it is incomplete."""


class Order(msgspec.Struct, frozen=True):
    """One accepted request of a caller.

    Attributes
    ----------
    target : bytes
        Path and query as received.
    received_at : float
        Monotonic time at which the request began to arrive, in seconds.
    deadline : float
        Monotonic time at which the request must have ended, in seconds: the earlier of
        the route's timeout and the caller's.
    cancellation : Cancellation
        Tells whether the caller is still connected.
    """

    incoming: requests.Incoming
    route: catalog.Route
    service: ids.ServiceId
    account: ids.AccountId | None
    method: str
    target: bytes
    body: bytes
    received_at: float
    deadline: float
    cancellation: calls.Cancellation = msgspec.field(default_factory=calls.Cancellation)

    @property
    def request(self) -> ids.RequestId:
        """The request id."""
        return self.incoming.request

    def remaining_seconds(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()
