"""How fast a queue drains and how long a request runs, learned from what has happened.

Load pattern: the rate at which an account is served depends on what all others ask for
and changes within seconds; the cost of a request is known only when it ends.

Without it: a caller is let in though its turn comes after its deadline, or is refused
though a slot is about to be free; `Retry-After` is a guess.

Grounds of the figures: stated beside each constant; `docs/design/admission.md` has the
measurements.
"""

from __future__ import annotations

import math

RATE_TIME_CONSTANT_SECONDS = 10.0
"""Memory of the drain rate: several lags of a load report, shorter than a deadline."""

MIN_DEPARTURES = 3.0
"""Departures needed before a drain rate is believed."""

RUN_TIME_DECAY = 0.98
"""Weight kept by earlier runs at each end of a run: about fifty runs."""


class DrainRate:
    """Requests a second that leave a queue while it is backlogged.

    Idle time does not count, so that an account that asks rarely is not believed slow.
    """

    __slots__ = ("_backlogged_at", "_busy_seconds", "_departures", "_updated_at")

    def __init__(self) -> None:
        self._departures = 0.0
        self._busy_seconds = 0.0
        self._backlogged_at = 0.0
        self._updated_at: float | None = None

    def start(self, now: float) -> None:
        """Say that the queue has become backlogged."""
        self._updated_at = self._backlogged_at = now

    def record_departures(self, now: float, count: int = 1) -> None:
        """Count requests that were given a grant.

        One served in the moment of its arrival found a free slot and says nothing of
        the rate under load; counted, it would make the rate far too high.
        """
        self._advance(now)
        if now > self._backlogged_at:
            self._departures += count

    def stop(self, now: float) -> None:
        """Say that the queue is empty."""
        self._advance(now)
        self._updated_at = None

    def estimate(self, now: float) -> float | None:
        """Return requests a second, or None as long as too few have left.

        At least one is counted: at a standstill the rate falls with time but never to
        zero, so that a queue is not refused for good.
        """
        self._advance(now)
        known = (
            self._departures >= MIN_DEPARTURES
            or self._busy_seconds >= RATE_TIME_CONSTANT_SECONDS / 2
        )
        if not known or self._busy_seconds <= 0.0:
            return None
        return max(1.0, self._departures) / self._busy_seconds

    def _advance(self, now: float) -> None:
        if self._updated_at is None or now <= self._updated_at:
            return
        elapsed = now - self._updated_at
        kept = math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
        self._departures *= kept
        self._busy_seconds = self._busy_seconds * kept + RATE_TIME_CONSTANT_SECONDS * (
            1.0 - kept
        )
        self._updated_at = now


class RunTimeEstimator:
    """Seconds that a cost unit takes in a service, learned from ended runs.

    The sums are divided, not the ratios averaged: a hint far too low would otherwise
    outweigh many that are right.
    """

    __slots__ = ("_seconds", "_units")

    def __init__(self) -> None:
        self._seconds = 0.0
        self._units = 0.0

    def record(self, seconds: float, cost: float) -> None:
        """Take in a run that ended with an answer."""
        self._seconds = self._seconds * RUN_TIME_DECAY + seconds
        self._units = self._units * RUN_TIME_DECAY + cost

    def estimate(self, cost: float) -> float:
        """Return the expected seconds of a run; 0 as long as none has ended."""
        return cost * self._seconds / self._units if self._units else 0.0
