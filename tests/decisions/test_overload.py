"""A router admits as many requests as its processor can forward."""

from __future__ import annotations

import collections
import random

from celeryspan.decisions import overload

LIMIT_MAX = 320
TICK_SECONDS = 0.05


class Router:
    """Simulates, in virtual time, a processor shared by request threads.

    Parameters
    ----------
    cost : float
        Total processor time of a request, in seconds.
    refusal : float
        Processor time of a refusal, in seconds.
    """

    def __init__(self, cost: float, refusal: float = 0.001) -> None:
        self.limiter = overload.ConcurrencyLimiter(LIMIT_MAX)
        self.in_progress: collections.deque[list[float]] = collections.deque()
        self.served = self.refused = self.late = 0
        self._cost = cost
        self._refusal = refusal
        self._lag = 0.0

    def simulate(self, rate: float, seconds: float, generator: random.Random) -> None:
        """Receive requests at a rate per second; each is forwarded for one second."""
        now = 0.0
        while now < seconds:
            now += TICK_SECONDS
            for _ in range(int(rate * TICK_SECONDS + generator.random())):
                self._receive(now)
            self._run(now)
            self.limiter.record(max(0.0, self._lag), len(self.in_progress), now)

    def _receive(self, now: float) -> None:
        if not self.limiter.admits(len(self.in_progress)):
            self.refused += 1
            self._lag += self._refusal
            return
        self.in_progress.append([now, 0.0])

    def _run(self, now: float) -> None:
        """Give each request its share of the processor time of one tick."""
        self._lag = max(0.0, self._lag - TICK_SECONDS)
        wanted = len(self.in_progress) * self._cost * TICK_SECONDS
        speed = min(1.0, TICK_SECONDS / max(wanted + self._lag, 1e-9))
        self._lag = min(5.0, self._lag + max(0.0, wanted - TICK_SECONDS))
        for request in self.in_progress:
            request[1] += TICK_SECONDS * speed
        while self.in_progress and self.in_progress[0][1] >= 1.0:
            began, _ = self.in_progress.popleft()
            self.served += 1
            self.late += now - began > 1.5


def test_normal_load_is_never_refused() -> None:
    router = Router(cost=0.008)
    router.simulate(80, 30.0, random.Random(1))
    assert router.refused == 0
    assert router.late == 0


def test_admitted_requests_are_served_in_time_under_double_load() -> None:
    """An account sends 240 requests a second to a router that can forward 120.

    Without a limit all 320 threads run at a third of the speed that callers need.
    """
    router = Router(cost=0.008)
    router.simulate(240, 60.0, random.Random(1))
    assert router.served >= 0.6 * 120 * 60
    assert router.late <= 0.2 * router.served


def test_short_stall_lowers_the_limit_once() -> None:
    limiter = overload.ConcurrencyLimiter(LIMIT_MAX)
    for tick in range(6):
        limiter.record(0.4, 200, tick * TICK_SECONDS)
    assert limiter.limit == int(200 * overload.DECREASE_FACTOR)


def test_limit_recovers_after_a_peak() -> None:
    limiter = overload.ConcurrencyLimiter(LIMIT_MAX)
    for tick in range(400):
        limiter.record(0.5, 100, tick * TICK_SECONDS)
    assert limiter.limit == overload.LIMIT_MIN
    for tick in range(400, 1200):
        limiter.record(0.001, 10, tick * TICK_SECONDS)
    assert limiter.limit == LIMIT_MAX


def test_limit_never_falls_below_its_minimum() -> None:
    limiter = overload.ConcurrencyLimiter(LIMIT_MAX)
    for tick in range(4000):
        limiter.record(3.0, 0, tick * TICK_SECONDS)
    assert limiter.admits(overload.LIMIT_MIN - 1)


def test_limit_never_exceeds_the_number_of_threads() -> None:
    """Guards against requests that are accepted and refused for want of a thread."""
    limiter = overload.ConcurrencyLimiter(4)
    for tick in range(400):
        limiter.record(3.0, 4, tick * TICK_SECONDS)
    assert limiter.limit == 4
    assert not limiter.admits(4)
