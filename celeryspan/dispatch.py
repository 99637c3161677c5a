"""The seam between requests and scheduling: ask for a slot, use it, give it back.

The service named ``dispatch`` implements :class:`Dispatcher`. What handles requests
knows nothing of homes, grants or counters; what schedules knows nothing of HTTP.
"""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from celeryspan import ids


class Ending(enum.Enum):
    """How the use of a slot ended, as far as the backend server is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    LEAVING = "leaving"
    CANCELLED = "cancelled"


class Work(msgspec.Struct, frozen=True):
    """A request as far as scheduling needs to know it.

    Attributes
    ----------
    hint : float or None
        Rough cost known beforehand, in cost units.
    deadline : float
        Monotonic time after which nobody waits for the answer, in seconds.
    prefix : tuple of int
        Chained hashes of the prompt's blocks, longest prefix last; empty for plain
        services.
    excluded : frozenset of ServerId
        Backend servers that have failed this request already.
    size : int
        Bytes of memory that the request takes while it waits.
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
    """Leave to send one request to one backend server."""

    server: ids.ServerId

    def use(self) -> None:
        """Say that the first byte is about to leave.

        Raises
        ------
        errors.NotRun
            If the grant has expired; nothing may be sent.
        """

    def progress(self, units: float) -> None:
        """Count service given since the last call, in cost units."""

    def note_cached(self, blocks: int) -> None:
        """Note how many blocks of the prompt the server had cached."""

    def end(self, ending: Ending, cost: float) -> None:
        """Give the slot back; ``cost`` is the true cost of the request."""


class Dispatcher(Protocol):
    """What the ``dispatch`` service offers."""

    def acquire(self, work: Work) -> Slot:
        """Wait for a slot.

        Raises
        ------
        errors.NotRun
            If the request is refused, or its deadline passes while it waits.
        """

    def cancel(self, request: ids.RequestId) -> None:
        """Take a waiting request out of its queue; its caller has left."""
