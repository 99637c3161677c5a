"""A router takes as many requests as its processor can pass on."""

from __future__ import annotations

import collections
import random

from celeryspan.decisions import overload

MOST = 320
TICK = 0.05


class Router:
    """A processor that is shared by the threads of requests; times are virtual.

    Parameters
    ----------
    cost : float
        Processor time that a request takes in all, in seconds.
    refusal : float
        The same for a refusal.
    """

    def __init__(self, cost: float, refusal: float = 0.001) -> None:
        self.control = overload.ConcurrencyLimiter(MOST)
        self.in_progress: collections.deque[list[float]] = collections.deque()
        self.served = self.refused = self.late = 0
        self._cost = cost
        self._refusal = refusal
        self._debt = 0.0

    def play(self, rate: float, seconds: float, generator: random.Random) -> None:
        """Let requests come at a rate; each wants a second of passing on."""
        now = 0.0
        while now < seconds:
            now += TICK
            for _ in range(int(rate * TICK + generator.random())):
                self._take(now)
            self._run(now)
            self.control.record(max(0.0, self._debt), len(self.in_progress), now)

    def _take(self, now: float) -> None:
        if not self.control.admits(len(self.in_progress)):
            self.refused += 1
            self._debt += self._refusal
            return
        self.in_progress.append([now, 0.0])

    def _run(self, now: float) -> None:
        """Give each request its part of the tick's processor time."""
        self._debt = max(0.0, self._debt - TICK)
        wanted = len(self.in_progress) * self._cost * TICK
        speed = min(1.0, TICK / max(wanted + self._debt, 1e-9))
        self._debt = min(5.0, self._debt + max(0.0, wanted - TICK))
        for request in self.in_progress:
            request[1] += TICK * speed
        while self.in_progress and self.in_progress[0][1] >= 1.0:
            began, _ = self.in_progress.popleft()
            self.served += 1
            self.late += now - began > 1.5


def test_usual_load_is_never_refused() -> None:
    router = Router(cost=0.008)
    router.play(80, 30.0, random.Random(1))
    assert router.refused == 0
    assert router.late == 0


def test_twice_too_much_is_served_in_part_and_in_time() -> None:
    """An account sends 240 requests a second to a router that can pass on 120.

    Taken without a limit all 320 threads run at a third of the speed that callers need.
    """
    router = Router(cost=0.008)
    router.play(240, 60.0, random.Random(1))
    assert router.served >= 0.6 * 120 * 60
    assert router.late <= 0.2 * router.served


def test_short_hiccup_lowers_the_limit_once() -> None:
    control = overload.ConcurrencyLimiter(MOST)
    for tick in range(6):
        control.record(0.4, 200, tick * TICK)
    assert control.limit == int(200 * overload.DECREASE_FACTOR)


def test_limit_recovers_after_a_peak() -> None:
    control = overload.ConcurrencyLimiter(MOST)
    for tick in range(400):
        control.record(0.5, 100, tick * TICK)
    assert control.limit == overload.LIMIT_MIN
    for tick in range(400, 1200):
        control.record(0.001, 10, tick * TICK)
    assert control.limit == MOST


def test_limit_leaves_some_room_whatever_happens() -> None:
    control = overload.ConcurrencyLimiter(MOST)
    for tick in range(4000):
        control.record(3.0, 0, tick * TICK)
    assert control.admits(overload.LIMIT_MIN - 1)
