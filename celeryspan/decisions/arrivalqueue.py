"""Orders the connections that wait to be dispatched by the accepting thread.

With first come, first served, an overloaded router dispatches each request just before
its caller gives up, or after, and serves nobody. The ones that have come last can still
be served in time. While the first one has waited for long, the queue gives the last and
the first in turn: one to serve, one to refuse.
"""

from __future__ import annotations

import collections
from typing import Generic, Protocol, TypeVar

LATE_SECONDS = 0.2
"""Wait from which a request is late: half of a short latency objective."""


class Waiting(Protocol):
    """Something that waits.

    Attributes
    ----------
    since : float
        Monotonic time in seconds at which it began to wait.
    """

    since: float


Item = TypeVar("Item", bound=Waiting)


class ArrivalQueue(Generic[Item]):
    """What waits, in its order; one thread adds and takes."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Item] = collections.deque()
        self._delay_max = 0.0
        self._took_last = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, item: Item) -> None:
        """Add an item at the end."""
        self._waiting.append(item)

    def take(self, now: float) -> Item | None:
        """Remove and return the next item; None if there is none."""
        if not self._waiting:
            return None
        wait = now - self._waiting[0].since
        self._delay_max = max(self._delay_max, wait)
        self._took_last = wait > LATE_SECONDS and not self._took_last
        return self._waiting.pop() if self._took_last else self._waiting.popleft()

    def measure_delay(self, now: float) -> float:
        """Return the longest wait since it was last reset; called by any thread."""
        try:
            present = now - self._waiting[0].since
        except IndexError:
            present = 0.0
        return max(self._delay_max, present)

    def take_delay(self, now: float) -> float:
        """Return and reset the longest wait, in seconds; called by any thread."""
        delay, self._delay_max = self.measure_delay(now), 0.0
        return delay
