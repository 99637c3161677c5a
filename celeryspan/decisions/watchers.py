"""Which routers call the platform on behalf of all.

Failure answered: each waiting watch and each poll is a paid call, and 1,300 of them
wear out a store that takes two thousand reads a second. Without this module the calls
grow with the fleet; with one fixed router they end when it dies.

Each router works out the same few routers from the membership: those with the lowest
hash of duty and name. When one of them dies the next in order takes its place as soon
as the membership says so. Two routers that see different memberships may both act or,
for the seconds until the membership agrees, miss a change; :func:`check_seconds` says
how often every other router looks for itself, so that nothing is missed for good.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from celeryspan import ids

WATCHERS = 3
"""One watch would do; three still hear a change when one is paused and one is cut off
from the store. Their waiting watches of 30 s cost a tenth of a call a second."""

FLEET_READS = 4.0
"""Reads a second that all routers together make beside the watches, whatever their
number: 1 in 500 of what the store takes."""

CHECK_SECONDS_MIN = 10.0
"""Least time between two reads of one router, for small fleets."""


def choose(
    duty: str, routers: Iterable[ids.RouterId], count: int = WATCHERS
) -> tuple[ids.RouterId, ...]:
    """Return the routers that carry out a duty, by rendezvous hashing."""
    return tuple(sorted(routers, key=lambda name: _hash(duty, name)))[:count]


def check_seconds(routers: int) -> float:
    """Return the mean time between two reads of a router that does not watch."""
    return max(CHECK_SECONDS_MIN, routers / FLEET_READS)


def _hash(duty: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{duty} {name}".encode())
