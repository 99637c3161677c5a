"""When a router may call the object API, and when it waits after a failure.

Failure answered: the object API is down, slow or losing answers, for seconds or for
hours. Without this module each request that needs the store waits a whole timeout,
so that the threads of a router fill with waiting callers, and when the store is back
1,300 routers call it in the same second and push it over again.

Grounds of the figures: the store takes several hundred writes and about two thousand
reads a second. Routers whose waits are drawn from the whole interval up to 15 s come
back at 1,300 / 7.5 = 173 first calls a second, a tenth of what the store takes.
"""

from __future__ import annotations

import random

import msgspec

CALLS_PER_SECOND = 1.0
"""Background calls a second that one router may make for long: 1,300 of them stay
under the two thousand reads a second that the store takes."""

BURST_CALLS = 20.0
"""Calls that a router may make at once: a start reads index, chunks and members."""

FIRST_DELAY_MAX_SECONDS = 0.2
"""Greatest wait after a first failure, in seconds: a lost packet costs no more."""

DELAY_MAX_SECONDS = 15.0
"""Greatest wait between two attempts of one router, in seconds."""


class CallBudget(msgspec.Struct):
    """Token bucket of the calls of one router.

    Attributes
    ----------
    rate : float
        Calls a second.
    burst : float
        Greatest number of calls saved up.
    """

    rate: float = CALLS_PER_SECOND
    burst: float = BURST_CALLS
    _tokens: float = -1.0
    _refilled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one call if one is left."""
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
    """Holds calls back while the store does not answer.

    One call after each wait goes through to try the store; all others are refused at
    once. The wait is drawn anew from the whole interval each time ("full jitter"), so
    that routers which failed together do not try together.

    Attributes
    ----------
    failures : int
        Failures in a row.
    """

    failures: int = 0
    _open_until: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Whether a call may be sent; while failing, reserves the one attempt."""
        if self.failures == 0:
            return True
        if now < self._open_until:
            return False
        self._open_until = now + max_delay(self.failures)
        return True

    def record_success(self) -> bool:
        """Note an answer; returns whether this ends an outage."""
        ended = self.failures > 0
        self.failures = 0
        return ended

    def record_failure(self, now: float, generator: random.Random) -> bool:
        """Note a missing answer; returns whether this begins an outage."""
        self.failures += 1
        self._open_until = now + draw_delay(self.failures, generator)
        return self.failures == 1


def max_delay(failures: int) -> float:
    """Return the greatest wait after a number of failures in a row, in seconds."""
    return min(
        DELAY_MAX_SECONDS, FIRST_DELAY_MAX_SECONDS * 2.0 ** min(failures - 1, 16)
    )


def draw_delay(failures: int, generator: random.Random) -> float:
    """Draw the wait after a number of failures in a row, in seconds."""
    return generator.uniform(0.0, max_delay(failures))
