"""How many requests one router takes at a time, by how late its threads run.

Load answered: an account sends all it has to one router, twice as much as the router's
processor can pass on. Hundreds of threads then wait for the processor: each stream
pauses, the thread that accepts connections runs once in seconds, and neither those in
progress nor those that come get an answer in time, while the engines idle. Refused at
once, a caller can come back or go elsewhere, and those that are taken are served.

A thread that sleeps for a short time sees by how much it wakes late what all others
suffer. The number of requests in progress is lowered by a part when that is too much,
and raised slowly while there is no lateness (additive increase, multiplicative
decrease); it falls only once in a while, since what was taken before must end first.
"""

from __future__ import annotations

LATENESS_HIGH_SECONDS = 0.06
"""Lateness at which fewer requests are taken: a fifth of the pause that streams may
make; some ten threads that run for 5 ms each before this one."""

LATENESS_LOW_SECONDS = 0.02
"""Lateness below which more may be taken."""

LATENESS_SAMPLE_MAX_SECONDS = 0.25
"""More than this counts as this: a VM that was paused for seconds is not overloaded."""

LATENESS_EWMA_WEIGHT = 0.2
"""Weight of the newest lateness in the mean: the last five count, half a second."""

DECREASE_FACTOR = 0.85
"""Part to which the limit falls."""

DECREASE_INTERVAL_SECONDS = 0.5
"""Time between two falls: most streams that were taken too many end within it or soon
after."""

INCREASE_PER_SECOND = 12.0
"""Requests by which the limit rises: from a quarter to all of 320 in 20 s."""

LIMIT_MIN = 16
"""Requests that are taken in any case: those of one second on a slow VM."""


class ConcurrencyLimiter:
    """The limit of requests in progress of one router.

    Parameters
    ----------
    most : int
        Greatest limit: the threads that there may be.

    Attributes
    ----------
    lateness : float
        Mean lateness of late, in seconds.
    """

    def __init__(self, limit_max: int) -> None:
        self.lateness = 0.0
        self._limit_max = float(limit_max)
        self._limit = float(limit_max)
        self._decreased_at = float("-inf")
        self._recorded_at: float | None = None

    @property
    def limit(self) -> int:
        """Requests that may be in progress."""
        return int(self._limit)

    def record(self, lateness: float, in_progress: int, now: float) -> None:
        """Take in by how much a sleep was too long, in seconds."""
        elapsed = 0.0 if self._recorded_at is None else now - self._recorded_at
        self._recorded_at = now
        seen = min(lateness, LATENESS_SAMPLE_MAX_SECONDS)
        self.lateness += (seen - self.lateness) * LATENESS_EWMA_WEIGHT
        if self.lateness > LATENESS_HIGH_SECONDS:
            if now - self._decreased_at >= DECREASE_INTERVAL_SECONDS:
                self._decreased_at = now
                taken = min(self._limit, float(in_progress))
                self._limit = max(LIMIT_MIN, taken * DECREASE_FACTOR)
        elif self.lateness < LATENESS_LOW_SECONDS:
            risen = self._limit + elapsed * INCREASE_PER_SECOND
            self._limit = min(self._limit_max, risen)

    def admits(self, in_progress: int) -> bool:
        """Whether one more request may be taken."""
        return in_progress < self._limit
