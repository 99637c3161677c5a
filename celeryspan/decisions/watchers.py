"""Selection of the routers that call the platform on behalf of the fleet.

Each long-poll watch and each poll is a paid call, and 1,300 of them overload a store
that handles two thousand reads a second. If every router called, the load would grow
with the fleet; with one fixed router the calls would end when it dies.

Each router computes the same few routers from the membership: those with the lowest
hash of duty and name. When one of them dies, the next in order replaces it as soon as
the membership shows it. Routers with different views of the membership may both act or
miss a change until their views converge, which takes seconds. Every other router
therefore checks at the interval of :func:`check_seconds`, so that no change is missed
permanently.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from celeryspan import ids

WATCHERS = 3
"""Watchers per duty. Three still see a change if one is paused and another has lost the
store; with a wait of 30 s they cost a tenth of a call per second."""

FLEET_READS_PER_SECOND = 4.0
"""Reads per second by the whole fleet in addition to the watches, at any fleet size:
1 in 500 of the store's capacity."""

CHECK_SECONDS_MIN = 10.0
"""Minimum time between two reads of one router, in small fleets."""


def choose(
    duty: str, routers: Iterable[ids.RouterId], count: int = WATCHERS
) -> tuple[ids.RouterId, ...]:
    """Return the routers that perform a duty, by rendezvous hashing."""
    return tuple(sorted(routers, key=lambda name: _hash(duty, name)))[:count]


def check_seconds(routers: int) -> float:
    """Return the mean time between two reads of a router that is not a watcher."""
    return max(CHECK_SECONDS_MIN, routers / FLEET_READS_PER_SECOND)


def _hash(duty: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{duty} {name}".encode())
