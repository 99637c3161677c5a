"""One router's share of the fleet's retry budget.

When servers fail or reject requests and every router retries, the retries add to the
overload that causes them and the service does not recover. In each window the fleet may
retry a fixed ratio of the requests plus a fixed slack. Each router uses the ratio on
its own requests and an equal share of the slack, so that routers need no coordination
and no share is used twice when routers join or leave.
"""

from __future__ import annotations

import collections

RATIO_USED_FRACTION = 0.9
"""Fraction of the ratio that is used, since the windows of the routers don't end at the
same moment."""

SLACK_USED_FRACTION = 0.5
"""Fraction of the slack that is used, so that the fleet stays within its budget when a
restarted router, which has lost its counts, uses its share again."""


class RetryBudget:
    """Limits the retries of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed to the whole fleet in one window.
    window : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record a request received from a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_take(self, now: float, routers: int) -> bool:
        """Use one retry if the budget allows it; return whether it does.

        Parameters
        ----------
        routers : int
            Number of routers that share the slack.
        """
        self._expire(now)
        allowed = self._ratio * RATIO_USED_FRACTION * len(self._requests)
        allowed += self._slack * SLACK_USED_FRACTION / max(1, routers)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def give_back(self) -> None:
        """Return the newest retry, which was not sent to any server."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
