"""Call budget and circuit breaker for the object API.

The object API may be down, slow or losing answers, for seconds or for hours. Without
this module each request that needs the store waits for a whole timeout, and the threads
of a router fill up with waiting callers. When the store is back, 1,300 routers call it
in the same second and overload it again.

The store handles several hundred writes and about 2,000 reads a second. With delays
drawn from the whole interval up to 15 s, routers return at 1,300 / 7.5 = 173 first
calls a second, a tenth of the store's capacity.
"""

from __future__ import annotations

import random

import msgspec

CALLS_PER_SECOND = 1.0
"""Sustained background calls a second of one router: 1,300 routers stay below the 2,000
reads a second that the store handles."""

BURST_CALLS = 20.0
"""Burst of calls of one router: at its start it reads index, chunks and members."""

FIRST_DELAY_MAX_SECONDS = 0.2
"""Maximum delay after a first failure: the most that a lost packet costs."""

DELAY_MAX_SECONDS = 15.0
"""Maximum delay between two attempts of one router."""


class CallBudget(msgspec.Struct):
    """Token bucket for the calls of one router.

    Attributes
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity of the bucket.
    """

    rate: float = CALLS_PER_SECOND
    burst: float = BURST_CALLS
    _tokens: float = -1.0
    _refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take a token for one call; False if the bucket is empty."""
        if self._tokens < 0:
            self._tokens, self._refilled_at = self.burst, now
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class CircuitBreaker(msgspec.Struct):
    """Rejects calls while the store does not answer.

    After each delay one call passes to probe the store; all others are rejected
    immediately. Each delay is drawn from the whole interval (full jitter), so that
    routers that failed together do not retry together.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    """

    failures: int = 0
    _open_until: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Whether a call may be sent; while the store fails, reserves the probe."""
        if self.failures == 0:
            return True
        if now < self._open_until:
            return False
        self._open_until = now + max_delay(self.failures)
        return True

    def record_success(self) -> bool:
        """Record an answer; return whether it ends an outage."""
        ended = self.failures > 0
        self.failures = 0
        return ended

    def record_failure(self, now: float, generator: random.Random) -> bool:
        """Record a missing answer; return whether it begins an outage."""
        self.failures += 1
        self._open_until = now + draw_delay(self.failures, generator)
        return self.failures == 1


def max_delay(failures: int) -> float:
    """Return the maximum delay after consecutive failures, in seconds."""
    return min(
        DELAY_MAX_SECONDS, FIRST_DELAY_MAX_SECONDS * 2.0 ** min(failures - 1, 16)
    )


def draw_delay(failures: int, generator: random.Random) -> float:
    """Draw a random delay after consecutive failures, in seconds."""
    return generator.uniform(0.0, max_delay(failures))
