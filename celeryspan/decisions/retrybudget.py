"""One router's part of the fleet's budget of repeated sends.

Load answered: servers fail or reject while every router repeats. Repeats then add to
the overload that causes them, and the service does not recover. The fleet may repeat a
fixed share of the requests and a few more in each window. Each router takes the share
of its own requests and an equal part of the rest, so that nothing is agreed and no
part is taken twice when routers come and go.
"""

from __future__ import annotations

import collections

RATIO_USED_FRACTION = 0.9
"""Part of the share of own requests that is used: windows of the routers don't end at
the same moment."""

SLACK_USED_FRACTION = 0.5
"""Part of the fixed rest that is used, so that a router which restarts and has
forgotten what it spent can spend as much again."""


class RetryBudget:
    """Counts requests and repeats of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed to the whole fleet beside these, in one window.
    window : float
        Seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_take(self, now: float, routers: int) -> bool:
        """Take one repeat if one is left; ``routers`` share the fixed rest."""
        self._expire(now)
        allowed = self._ratio * RATIO_USED_FRACTION * len(self._requests)
        allowed += self._slack * SLACK_USED_FRACTION / max(1, routers)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
