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

RATE = 1.0
"""Background calls a second that one router may make for long: 1,300 of them stay
under the two thousand reads a second that the store takes."""

BURST = 20.0
"""Calls that a router may make at once: a start reads index, chunks and members."""

DELAY_FIRST = 0.2
"""Greatest wait after a first failure, in seconds: a lost packet costs no more."""

DELAY_MAX = 15.0
"""Greatest wait between two attempts of one router, in seconds."""


class Budget(msgspec.Struct):
    """Token bucket of the calls of one router.

    Attributes
    ----------
    rate : float
        Calls a second.
    burst : float
        Greatest number of calls saved up.
    """

    rate: float = RATE
    burst: float = BURST
    _saved: float = -1.0
    _since: float = 0.0

    def take(self, now: float) -> bool:
        """Take one call if one is left."""
        if self._saved < 0:
            self._saved, self._since = self.burst, now
        elapsed = max(0.0, now - self._since)
        self._saved = min(self.burst, self._saved + elapsed * self.rate)
        self._since = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


class Breaker(msgspec.Struct):
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
    _closed_until: float = 0.0

    def admits(self, now: float) -> bool:
        """Whether a call may be sent; while failing, reserves the one attempt."""
        if self.failures == 0:
            return True
        if now < self._closed_until:
            return False
        self._closed_until = now + delay_bound(self.failures)
        return True

    def succeed(self) -> bool:
        """Note an answer; returns whether this ends an outage."""
        ended = self.failures > 0
        self.failures = 0
        return ended

    def fail(self, now: float, generator: random.Random) -> bool:
        """Note a missing answer; returns whether this begins an outage."""
        self.failures += 1
        self._closed_until = now + draw_delay(self.failures, generator)
        return self.failures == 1


def delay_bound(failures: int) -> float:
    """Return the greatest wait after a number of failures in a row, in seconds."""
    return min(DELAY_MAX, DELAY_FIRST * 2.0 ** min(failures - 1, 16))


def draw_delay(failures: int, generator: random.Random) -> float:
    """Draw the wait after a number of failures in a row, in seconds."""
    return generator.uniform(0.0, delay_bound(failures))
