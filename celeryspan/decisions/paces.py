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

FADE_SECONDS = 1.0
"""Time after which a place that was given counts for a third."""

FORGOTTEN = 0.01
"""An account whose places count for less than this begins anew."""


class _Pace(msgspec.Struct):
    since: float
    noted_at: float
    count: float = 0.0

    def fade(self, now: float) -> None:
        self.count *= math.exp(-(now - self.noted_at) / FADE_SECONDS)
        self.noted_at = now


class Paces:
    """Places given to each account, fading with time."""

    def __init__(self) -> None:
        self._paces: dict[ids.AccountId, _Pace] = {}

    def note(self, account: ids.AccountId, now: float) -> None:
        """Count a place given to an account."""
        pace = self._paces.get(account)
        if pace is None:
            pace = self._paces[account] = _Pace(now, now)
        pace.fade(now)
        pace.count += 1.0

    def measure(self, account: ids.AccountId, now: float) -> float:
        """Return places a second that an account gets; 0 if it got none of late."""
        pace = self._paces.get(account)
        if pace is None:
            return 0.0
        pace.fade(now)
        if pace.count < FORGOTTEN:
            del self._paces[account]
            return 0.0
        # What has gone on for less than the fade is not a low pace, but a young one.
        age = 1.0 - math.exp(-(now - pace.since) / FADE_SECONDS)
        return pace.count / (FADE_SECONDS * max(age, 1.0 / pace.count))
