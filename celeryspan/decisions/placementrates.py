"""Measures the rate at which the requests of each account are placed in a pool.

One account may send ten times what it is served. A queue that accepts all of it holds a
thousand requests that will be refused in the end: their callers wait for a refusal, and
the home scans all of them at each decision, so that its decisions are late for
everybody. With an account's placement rate known, requests that its queue can't serve
in time are refused on arrival.
"""

from __future__ import annotations

import math

import msgspec

from celeryspan import ids

DECAY_SECONDS = 1.0
"""Time constant of the decay: after it, a placement counts for about a third."""

COUNT_MIN = 0.01
"""An account whose decayed count falls below this value is dropped."""


class _DecayingCount(msgspec.Struct):
    since: float
    decayed_at: float
    count: float = 0.0

    def decay(self, now: float) -> None:
        self.count *= math.exp(-(now - self.decayed_at) / DECAY_SECONDS)
        self.decayed_at = now


class PlacementRates:
    """Decaying count of placements per account."""

    def __init__(self) -> None:
        self._counts: dict[ids.AccountId, _DecayingCount] = {}

    def record(self, account: ids.AccountId, now: float) -> None:
        """Count a placement."""
        entry = self._counts.get(account)
        if entry is None:
            entry = self._counts[account] = _DecayingCount(now, now)
        entry.decay(now)
        entry.count += 1.0

    def measure(self, account: ids.AccountId, now: float) -> float:
        """Return the placements per second of an account; 0 if it had none recently."""
        entry = self._counts.get(account)
        if entry is None:
            return 0.0
        entry.decay(now)
        if entry.count < COUNT_MIN:
            del self._counts[account]
            return 0.0
        # The count hasn't reached its steady state if the account is newer than the
        # decay time; without the correction its rate would be underestimated.
        age = 1.0 - math.exp(-(now - entry.since) / DECAY_SECONDS)
        return entry.count / (DECAY_SECONDS * max(age, 1.0 / entry.count))
