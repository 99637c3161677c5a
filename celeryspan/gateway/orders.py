"""One accepted request on its way: what is asked, and where its answer goes."""

from __future__ import annotations

import time
from typing import Protocol

import msgspec

from celeryspan import calls, catalog, ids
from celeryspan.platform import requests


class Sink(Protocol):
    """The caller's end of an answer."""

    def write_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        """Begin the answer; with no length among the headers it goes in chunks."""

    def write(self, data: bytes) -> None:
        """Write a piece of the body; raises OSError if the caller is gone."""

    def finish(self) -> None:
        """End the answer as whole."""

    def abort(self) -> None:
        """End the answer so that nobody takes it for whole."""


class Order(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes
    ----------
    target : bytes
        Path and query, as the caller wrote them.
    received_at : float
        Monotonic time at which the request had been read, in seconds.
    deadline : float
        Monotonic time at which it must have ended: the route's timeout or the
        caller's, whichever is earlier.
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
    presence: calls.Presence = msgspec.field(default_factory=calls.Presence)

    @property
    def request(self) -> ids.RequestId:
        """The request's id."""
        return self.incoming.request

    def remaining_seconds(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()
