"""Interface between request handling and scheduling: acquire, use and release slots.

The service named ``dispatch`` implements :class:`Dispatcher`. Request handling is
independent of homes, grants and counters, and scheduling is independent of HTTP.
"""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from celeryspan import ids


class Ending(enum.Enum):
    """How the use of a slot ended, from the perspective of the backend server."""

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    LEAVING = "leaving"
    CANCELLED = "cancelled"


class Work(msgspec.Struct, frozen=True):
    """The properties of a request that scheduling needs.

    Attributes
    ----------
    hint : float or None
        Estimated cost, in cost units.
    deadline : float
        Monotonic time after which the caller no longer waits, in seconds.
    prefix : tuple of int
        Chained hashes of the prompt's blocks, longest prefix last; empty for plain
        services.
    excluded : frozenset of ServerId
        Backend servers on which this request has already failed.
    size : int
        Memory that the request occupies while it waits, in bytes.
    """

    request: ids.RequestId
    service: ids.ServiceId
    account: ids.AccountId
    deadline: float
    hint: float | None = None
    prefix: tuple[int, ...] = ()
    excluded: frozenset[ids.ServerId] = frozenset()
    size: int = 0


class Slot(Protocol):
    """Permission to send one request to one backend server."""

    server: ids.ServerId

    def use(self) -> None:
        """Mark the slot as used, just before the first byte is sent.

        Raises
        ------
        errors.NotRun
            If the grant has expired; nothing may be sent.
        """

    def progress(self, units: float) -> None:
        """Add the service received since the last call, in cost units."""

    def note_cached(self, blocks: int) -> None:
        """Record how many blocks of the prompt the server had cached."""

    def end(self, ending: Ending, cost: float) -> None:
        """Release the slot; ``cost`` is the actual cost of the request."""


class Dispatcher(Protocol):
    """Interface of the ``dispatch`` service."""

    def acquire(self, work: Work) -> Slot:
        """Wait for a slot.

        Raises
        ------
        errors.NotRun
            If the request is refused, or its deadline passes while it waits.
        """

    def cancel(self, request: ids.RequestId) -> None:
        """Remove a waiting request from its queue because its caller has left."""
