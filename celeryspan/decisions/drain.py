"""Estimators of queue drain rates and of request run times.

The rate at which an account is served depends on the demand of all other accounts and
changes within seconds; the cost of a request is known only when it ends.

Without these estimates a caller is admitted although its turn comes after its
deadline, or is refused although a slot is about to be free, and `Retry-After` is a
guess.

`docs/design/admission.md` has the measurements behind the constants.
"""

from __future__ import annotations

import math

RATE_DECAY_SECONDS = 10.0
"""Time constant of the drain rate: several load report delays, less than a deadline."""

MIN_DEPARTURES = 3.0
"""Departures needed before a drain rate is reported."""

RUN_TIME_DECAY = 0.98
"""Weight kept by earlier runs each time a run ends, about a 50-run average."""


class DrainRate:
    """Requests per second that leave a queue while it is backlogged.

    Idle time does not count, so an account with few requests is not taken for a slow
    one.
    """

    __slots__ = ("_backlogged_at", "_busy_seconds", "_departures", "_updated_at")

    def __init__(self) -> None:
        self._departures = 0.0
        self._busy_seconds = 0.0
        self._backlogged_at = 0.0
        self._updated_at: float | None = None

    def start(self, now: float) -> None:
        """Start measuring: the queue has become backlogged."""
        self._updated_at = self._backlogged_at = now

    def record_departures(self, now: float, count: int = 1) -> None:
        """Count requests that received a grant.

        A request served at the moment of its arrival found a free slot and says nothing
        about the rate under load. Counting it would make the rate far too high.
        """
        self._advance(now)
        if now > self._backlogged_at:
            self._departures += count

    def stop(self, now: float) -> None:
        """Stop measuring: the queue is empty."""
        self._advance(now)
        self._updated_at = None

    def estimate(self, now: float) -> float | None:
        """Return the requests per second, or None while too few have left.

        At least one departure is assumed: during a standstill the rate falls with time
        but never reaches zero, so the queue does not refuse requests forever.
        """
        self._advance(now)
        known = (
            self._departures >= MIN_DEPARTURES
            or self._busy_seconds >= RATE_DECAY_SECONDS / 2
        )
        if not known or self._busy_seconds <= 0.0:
            return None
        return max(1.0, self._departures) / self._busy_seconds

    def _advance(self, now: float) -> None:
        if self._updated_at is None or now <= self._updated_at:
            return
        elapsed = now - self._updated_at
        kept = math.exp(-elapsed / RATE_DECAY_SECONDS)
        self._departures *= kept
        self._busy_seconds = self._busy_seconds * kept + RATE_DECAY_SECONDS * (
            1.0 - kept
        )
        self._updated_at = now


class RunTimeEstimator:
    """Seconds per cost unit of a service, learned from completed runs.

    Divides the sums instead of averaging the ratios: with averaged ratios one cost
    hint that is far too low would outweigh many correct ones.
    """

    __slots__ = ("_seconds", "_units")

    def __init__(self) -> None:
        self._seconds = 0.0
        self._units = 0.0

    def record(self, seconds: float, cost: float) -> None:
        """Record a run that ended with an answer."""
        self._seconds = self._seconds * RUN_TIME_DECAY + seconds
        self._units = self._units * RUN_TIME_DECAY + cost

    def estimate(self, cost: float) -> float:
        """Return the expected run time in seconds, or 0 before any run has ended."""
        return cost * self._seconds / self._units if self._units else 0.0
