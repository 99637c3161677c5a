"""How fast the requests of each account get places in a pool.

Load answered: one account floods with ten times what it is served. A queue that takes
all of it holds a thousand requests that will be refused in the end: their callers wait
for a refusal, and the home looks through all of them at each decision, so that it
decides late for everybody. With the pace of an account known, what its queue can't work
off in time is refused as it comes.
"""

from __future__ import annotations

import math

import msgspec

from celeryspan import ids

DECAY_SECONDS = 1.0
"""Time after which a place that was given counts for a third."""

COUNT_MIN = 0.01
"""An account whose places count for less than this begins anew."""


class _DecayingCount(msgspec.Struct):
    since: float
    decayed_at: float
    count: float = 0.0

    def decay(self, now: float) -> None:
        self.count *= math.exp(-(now - self.decayed_at) / DECAY_SECONDS)
        self.decayed_at = now


class PlacementRates:
    """Places given to each account, fading with time."""

    def __init__(self) -> None:
        self._counts: dict[ids.AccountId, _DecayingCount] = {}

    def record(self, account: ids.AccountId, now: float) -> None:
        """Count a place given to an account."""
        entry = self._counts.get(account)
        if entry is None:
            entry = self._counts[account] = _DecayingCount(now, now)
        entry.decay(now)
        entry.count += 1.0

    def measure(self, account: ids.AccountId, now: float) -> float:
        """Return places a second that an account gets; 0 if it got none of late."""
        entry = self._counts.get(account)
        if entry is None:
            return 0.0
        entry.decay(now)
        if entry.count < COUNT_MIN:
            del self._counts[account]
            return 0.0
        # What has gone on for less than the fade is not a low pace, but a young one.
        age = 1.0 - math.exp(-(now - entry.since) / DECAY_SECONDS)
        return entry.count / (DECAY_SECONDS * max(age, 1.0 / entry.count))
