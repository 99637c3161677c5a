"""Limits the requests that cold backend servers get from the whole fleet.

A server that has just started, or returns after it was empty, is cold for some seconds
and crashes if it gets many more requests than it then tolerates. The bound holds for
all routers together, and each of them may be restarted, cut off or hold an outdated
view. The bound is therefore divided in advance instead of counted:

* Only the home of a pool grants requests to its cold servers. It grants half of what
  the fleet may send within any second, so that the bound also holds while two routers
  consider themselves the home, or while requests of one second arrive in the next.
* A home counts all requests that it grants, also to warm servers, because a server may
  become cold while requests are on their way to it.
* A router whose tenure as the home is not established (:mod:`tenure`) grants none.
"""

from __future__ import annotations

import collections
import math

import msgspec

WINDOW_SECONDS = 1.0
"""Length of the sliding window in which requests are counted."""

HOMES_MAX = 2
"""Homes that may grant requests to one server at the same time."""

GRANT_TTL_SECONDS = 0.5
"""Time after which a grant for a cold server expires. A router that is short of
processor time would otherwise send the grants of several seconds at once."""

COLD_SECONDS_MAX = 60.0
"""Longest time that a server may report to stay cold; a longer one is an error."""

UNLIMITED = math.inf


class Tolerance(msgspec.Struct, frozen=True):
    """How far the requests to a cold server may exceed its rate.

    Attributes
    ----------
    factor : float
        Requests that a cold server may get within a second, relative to its rate.
    slack : float
        Additional requests within a second.
    """

    factor: float
    slack: float


def compute_fleet_limit(rate: float, tolerance: Tolerance) -> float:
    """Return the requests that a cold server may get within any second.

    Parameters
    ----------
    rate : float
        Requests per second that the cold server tolerates; 0 if it has no limit.
    """
    return rate * tolerance.factor + tolerance.slack if rate else UNLIMITED


def compute_home_limit(rate: float, tolerance: Tolerance | None) -> float:
    """Return the requests that a home may grant to a cold server within any second.

    Parameters
    ----------
    tolerance : Tolerance or None
        None if the platform has no bound for cold servers.
    """
    if tolerance is None or not rate:
        return UNLIMITED
    return math.floor(compute_fleet_limit(rate, tolerance) / HOMES_MAX)


class GrantWindow:
    """The requests that a home granted to one server within the last second."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Record one granted request."""
        self._trim(now)
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of requests granted within the last second."""
        self._trim(now)
        return len(self._times)

    def _trim(self, now: float) -> None:
        times = self._times
        while times and times[0] <= now - WINDOW_SECONDS:
            times.popleft()
