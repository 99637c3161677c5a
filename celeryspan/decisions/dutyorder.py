"""Order in which routers attempt work that one router does for the whole fleet.

Each router waits for its position and then checks whether the work has been done, so
that the loss of a router only delays it.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from celeryspan import ids


def find_position(own: ids.RouterId, routers: Iterable[ids.RouterId], duty: str) -> int:
    """Return how many of the given routers precede this one for a duty."""
    own_key = _sort_key(own, duty)
    return sum(_sort_key(router, duty) < own_key for router in routers if router != own)


def _sort_key(router: ids.RouterId, duty: str) -> tuple[int, ids.RouterId]:
    return xxhash.xxh3_64_intdigest(f"{duty} {router}".encode()), router
