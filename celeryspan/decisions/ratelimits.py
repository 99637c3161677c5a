"""Rate limits for the feedback loops of a router.

A feedback loop acts on a signal that lags by seconds (load reports, cache events,
timeouts) and that its own decisions change.

Without a rate limit a loop repeats its decision on the same stale signal, overshoots
and oscillates: windows grow and shrink in turn, a whole service is ejected within a
second, or all callers move to the one server that looked free.

Each interval is at least the time until the effect of a change shows in the signal that
drives the loop.
"""

from __future__ import annotations

import enum

import msgspec


class RateLimit(msgspec.Struct, frozen=True):
    """Rate limit of one feedback loop.

    Attributes
    ----------
    interval : float
        Minimum average time between two changes of the same key, in seconds.
    burst : int
        Changes that may be made without a delay in between.
    """

    interval: float
    burst: int = 1


class FeedbackLoop(enum.Enum):
    """The feedback loops of a router, with their rate limits."""

    WINDOW = RateLimit(1.0)
    """Changes of a server's window; the lag of its load reports adds to this."""

    EJECTION = RateLimit(5.0, burst=2)
    """Ejections in one service. A network failure shows at all servers at once; a burst
    of two leaves time to recognise that the servers are not the cause."""

    READMISSION = RateLimit(1.0)
    """Trials in one service: each one risks a real request."""

    AFFINITY = RateLimit(2.0)
    """Placements of a hot prefix on one more server, limited by the lag of cache
    events."""


class RateLimiter:
    """Token buckets of one feedback loop, one per key."""

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._buckets: dict[object, tuple[float, float]] = {}

    def allow(self, key: object, now: float) -> bool:
        """Take a token to change ``key`` now; False if it changed too recently."""
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
        """Drop the bucket of a key that no longer exists."""
        self._buckets.pop(key, None)
