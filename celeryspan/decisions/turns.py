"""Whose turn it is to do for the fleet what one router does for all.

Every router waits for its turn and looks whether the work has been done meanwhile, so
that the loss of any of them only makes it later.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from celeryspan import ids


def find_position(own: ids.RouterId, routers: Iterable[ids.RouterId], duty: str) -> int:
    """Return how many of some routers come before this one in a duty."""
    mine = _sort_key(own, duty)
    return sum(_sort_key(router, duty) < mine for router in routers if router != own)


def _sort_key(router: ids.RouterId, duty: str) -> tuple[int, ids.RouterId]:
    return xxhash.xxh3_64_intdigest(f"{duty} {router}".encode()), router
