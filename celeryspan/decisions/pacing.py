"""How fast decisions may change: one rate limit for every feedback loop.

Load pattern: a signal that lags by seconds (load reports, cache events, failures that
time out) drives a decision that changes the signal.

Without it: the decision is repeated on the same old signal until it has gone far too
far, then swings back: windows saw up and down, a whole service is ejected within a
second, all callers move to the one server that looked free.

Grounds of the figures: each interval is at least the time in which the effect of a
change shows in the signal that drives the loop.
"""

from __future__ import annotations

import enum

import msgspec


class RateLimit(msgspec.Struct, frozen=True):
    """Rate limit of one loop.

    Attributes
    ----------
    interval : float
        Least seconds between two changes of the same thing, in the long run.
    burst : int
        Changes that may follow each other at once.
    """

    interval: float
    burst: int = 1


class FeedbackLoop(enum.Enum):
    """The feedback loops of a router, with their rate limits."""

    WINDOW = RateLimit(1.0)
    """Window of a server; the report's own lag is added to it."""

    EJECTION = RateLimit(5.0, burst=2)
    """Ejections in one service: a failure of the network path shows at all servers at
    once, two at a time leave the time to see that it is not the servers."""

    READMISSION = RateLimit(1.0)
    """Trials in one service: each takes a real request."""

    AFFINITY = RateLimit(2.0)
    """Moves of a hot prefix to one more server: the lag of cache events."""


class RateLimiter:
    """Token buckets of one loop, one for each key."""

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._buckets: dict[object, tuple[float, float]] = {}

    def allow(self, key: object, now: float) -> bool:
        """Take leave to change ``key`` now; False if it changed too recently."""
        tokens, at = self._buckets.get(key, (float(self._limit.burst), now))
        tokens = min(
            float(self._limit.burst), tokens + max(0.0, now - at) / self._limit.interval
        )
        if tokens < 1.0:
            self._buckets[key] = (tokens, max(at, now))
            return False
        self._buckets[key] = (tokens - 1.0, max(at, now))
        return True

    def forget(self, key: object) -> None:
        """Drop what is kept for a key that is gone."""
        self._buckets.pop(key, None)
