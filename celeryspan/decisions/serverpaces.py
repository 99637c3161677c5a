"""Estimates the pace of a server's VM from the load that the server reports.

Other workloads on a VM make its server several times as slow for parts of a second.
Without the pace, requests keep going to a server that is slow now, and the time that
they take there is mistaken for the lasting speed of the server.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryspan.wire import messages

PACE_SECONDS = 0.6
"""Time constant with which the expected pace reverts from the last report to the mean:
the interval at which paces change."""

MEAN_SECONDS = 10.0
"""Memory of a server's mean pace, and the time constant with which the mean reverts to
1 without reports. A server that is avoided sends no reports, and would otherwise be
avoided long after its VM has recovered."""

STALE_SECONDS = 30.0
"""Age from which a report has no effect."""

OTHERS_SECONDS = 0.5
"""How long a count of requests from elsewhere is used. A home that has just started is
told of the runs in progress sooner; a call of a plain server takes less."""

SLOW_PACE_COST_SECONDS = 0.062
"""Cost of an engine whose pace is 2: its first event comes later by the time from the
end of prefill to the first event at the usual pace (:mod:`engines`)."""


class ServerPace:
    """The pace of one server and the requests there that its home has not placed."""

    def __init__(self) -> None:
        self._sent_at = -math.inf
        self._pace = 1.0
        self._mean = 1.0
        self._others = 0

    def record(self, load: messages.LoadReport, placed: int, now: float) -> None:
        """Record a report; one sent before the last is ignored.

        Parameters
        ----------
        placed : int
            Requests at the server that the home knows of, with the one answered.
        """
        sent_at = now - max(0.0, load.age)
        if sent_at < self._sent_at:
            return
        # A report says nothing about times before the last change of the pace.
        span = min(sent_at - self._sent_at, PACE_SECONDS)
        mean = self._expect_mean(sent_at)
        self._mean = mean + (load.pace - mean) * -math.expm1(-span / MEAN_SECONDS)
        self._pace = load.pace
        self._sent_at = sent_at
        self._others = max(0, load.running + load.waiting - placed)

    def expect(self, now: float) -> float:
        """Return the expected pace; 1 without a report or with a stale one."""
        age = now - self._sent_at
        if age >= STALE_SECONDS:
            return 1.0
        mean = self._expect_mean(now)
        return mean + (self._pace - mean) * math.exp(-age / PACE_SECONDS)

    def count_others(self, now: float) -> int:
        """Return how many requests run or wait there that the home hasn't placed."""
        return self._others if now - self._sent_at < OTHERS_SECONDS else 0

    def _expect_mean(self, now: float) -> float:
        age = now - self._sent_at
        return 1.0 + (self._mean - 1.0) * math.exp(-age / MEAN_SECONDS)


def estimate_slow_cost(pace: float) -> float:
    """Return the cost of an engine at a pace, in seconds; 0 at the usual pace."""
    return (pace - 1.0) * SLOW_PACE_COST_SECONDS
