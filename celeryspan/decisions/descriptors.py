"""Divides file descriptors among their uses and selects idle connections to close.

If the callers of one account open and keep a connection per request, some hundreds a
second on one router, an unbounded process runs out of descriptors within ten seconds.
It can then accept no connections, not even for the directory or the readiness check,
and open none to backend servers, so that the account behind this router starves while
others are served.

* Each use of descriptors has its own share, so that no use exhausts that of another.
* From three quarters of the callers' share on, answers announce that their connection
  closes, which loses no request. At the bound idle connections are closed, starting
  with the callers that hold the most: callers with few connections keep them while
  another opens thousands.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable, Sequence

import msgspec

RESERVED_MAX = 200
"""Descriptors reserved for files, the log, the store and poll objects. The platform
assumes the same number."""

RESERVED_SHARE = 0.25
"""Fraction reserved instead if the process is limited to a few hundred descriptors."""

CALLERS_SHARE = 0.35
"""Fraction of the unreserved descriptors for callers: 1,365 of 4,100, which is four
times the maximum number of requests in progress on one router."""

SERVERS_SHARE = 0.2
"""Fraction for idle connections to backend servers: 780 of 4,100, a dozen for each of
60 servers."""

LISTENER_SHARE = 0.05
"""Fraction for each listener of the directory. A query takes milliseconds; 195 of 4,100
suffice for 1,000 connections a second that are kept open for a fifth of a second."""

CLOSE_NOTICE_SHARE = 0.75
"""Fraction of a bound from which answers announce that their connection closes."""

CLOSED_SHARE = 0.0625
"""Fraction of a bound that is closed at once. Each selection scans all connections,
which takes 0.23 ms of a core for 1,365 connections and 3.5 ms for 20,000."""


class Budget(msgspec.Struct, frozen=True):
    """Maximum number of connections of one process, by use.

    The remainder, 35 % and at least 1,300 of 4,100 descriptors, is for links to other
    routers and for requests in progress on backend servers.

    Attributes
    ----------
    callers : int
        Connections to the address that serves callers.
    listener : int
        Connections to each other listening address.
    servers : int
        Idle connections to backend servers.
    """

    callers: int
    listener: int
    servers: int


def divide(descriptors: int) -> Budget:
    """Divide the descriptors that a process may open among their uses."""
    reserved = min(RESERVED_MAX, int(descriptors * RESERVED_SHARE))
    free = descriptors - reserved
    return Budget(
        callers=max(1, int(free * CALLERS_SHARE)),
        listener=max(1, int(free * LISTENER_SHARE)),
        servers=max(1, int(free * SERVERS_SHARE)),
    )


def count_connections_to_close(bound: int) -> int:
    """Return how many connections to close at once when a bound is reached."""
    return max(1, int(bound * CLOSED_SHARE))


def select_connections_to_close(holders: Sequence[Hashable], count: int) -> list[int]:
    """Return the indices of the connections to close.

    Parameters
    ----------
    holders : sequence
        The holder of each connection, ordered from the longest to the shortest idle.
    count : int
        Number of connections to select, if there are as many.
    """
    remaining = collections.Counter(holders)
    cap = _find_cap(list(remaining.values()), max(0, len(holders) - count))
    selected: set[int] = set()
    # If the total doesn't divide evenly, the holders of the newest connections keep one
    # more than the cap.
    for limit in (cap + 1, cap):
        for index, holder in enumerate(holders):
            if len(selected) == count:
                break
            if remaining[holder] > limit and index not in selected:
                remaining[holder] -= 1
                selected.add(index)
    return sorted(selected)


def _find_cap(held: list[int], target: int) -> int:
    """Return the largest cap per holder that leaves at most ``target`` connections."""
    cap = 0
    held.sort()
    for index, number in enumerate(held):
        holders_left = len(held) - index
        if target < number * holders_left:
            return max(cap, target // holders_left)
        target -= number
        cap = number
    return cap
