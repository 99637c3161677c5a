"""How the descriptors of one process are divided, and which connections are given up.

Load answered: the callers of one account open a connection for each request and keep
it, some hundreds a second, all at one router. Without a bound the process runs out of
descriptors within ten seconds. Nothing can be accepted then, by the directory and the
readiness check neither, nothing can be opened to a backend server, and the account
behind this router is starved while others are served.

* Each use of descriptors has a part of its own, so that none takes those of another.
* From three quarters of the callers' part on, answers announce the end of their
  connections, which loses nothing. At the bound connections that wait for nothing are
  closed, first those of the callers that hold most: callers with a few connections
  keep them while one opens thousands.
"""

from __future__ import annotations

import collections
from collections.abc import Hashable, Sequence

import msgspec

RESERVED_MAX = 200
"""For files, the log, the store and the poll objects: the platform counts as many."""

RESERVED_SHARE = 0.25
"""Part reserved where a process may have only some hundred descriptors."""

CALLERS_SHARE = 0.35
"""Of what is not reserved. At 4,100 descriptors 1,365: four times as many connections
as requests that one router takes at a time."""

SERVERS_SHARE = 0.2
"""For idle connections to backend servers: 780 of 4,100, a dozen for each of 60."""

LISTENER_SHARE = 0.05
"""For each of the directory's listeners. A question takes milliseconds; 195 of 4,100
are enough for 1,000 a second that are kept for a fifth of a second."""

CLOSE_NOTICE_SHARE = 0.75
"""Part of a bound from which answers announce the end of their connections."""

CLOSED_SHARE = 0.0625
"""Part of a bound that is freed at once: choosing looks at all connections, and takes
0.23 ms of a core at 1,365 of them and 3.5 ms at 20,000."""


class Budget(msgspec.Struct, frozen=True):
    """Greatest numbers of connections of one process, by use.

    What is left, 35 of 100 and at least 1,300 where there are 4,100, is for links to
    other routers and for requests on their way to backend servers.

    Attributes
    ----------
    callers : int
        At the address at which callers are served.
    listener : int
        At each other address that is listened on.
    servers : int
        Idle connections to backend servers.
    """

    callers: int
    listener: int
    servers: int


def divide(descriptors: int) -> Budget:
    """Return how many descriptors each use may have, of all that there may be."""
    reserved = min(RESERVED_MAX, int(descriptors * RESERVED_SHARE))
    free = descriptors - reserved
    return Budget(
        callers=max(1, int(free * CALLERS_SHARE)),
        listener=max(1, int(free * LISTENER_SHARE)),
        servers=max(1, int(free * SERVERS_SHARE)),
    )


def count_connections_to_close(bound: int) -> int:
    """Return how many connections are given up at once at a bound."""
    return max(1, int(bound * CLOSED_SHARE))


def select_connections_to_close(holders: Sequence[Hashable], count: int) -> list[int]:
    """Return the places of the connections to give up.

    Parameters
    ----------
    holders : sequence
        Who holds each connection; the one that was idle for longest comes first.
    count : int
        How many to choose, if there are as many.
    """
    left = collections.Counter(holders)
    level = _find_cap(list(left.values()), max(0, len(holders) - count))
    chosen: set[int] = set()
    # What doesn't divide evenly is left to the holders whose connections are newest.
    for most in (level + 1, level):
        for place, holder in enumerate(holders):
            if len(chosen) == count:
                break
            if left[holder] > most and place not in chosen:
                left[holder] -= 1
                chosen.add(place)
    return sorted(chosen)


def _find_cap(held: list[int], target: int) -> int:
    """Return the number to which holders are cut so that ``target`` are left."""
    level = 0
    held.sort()
    for index, number in enumerate(held):
        rest = len(held) - index
        if target < number * rest:
            return max(level, target // rest)
        target -= number
        level = number
    return level
