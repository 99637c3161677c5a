"""Which router keeps the ledger of which backend server.

Load pattern: routers join, die and are replaced by the hundred each day, while every
backend server needs one place that hands out its slots.

Without it each router would spend a share of every server's window, and a share idles
wherever its router has nothing waiting (0.4% to 2.4% of slot time when measured).

Rendezvous hashing: every router computes the same owner from the same membership
without a word exchanged, and when one of n routers leaves, only the servers that it
kept move, to all others evenly. Two routers whose memberships differ for a moment may
both act as home; then the server gets at most one window too much, until the views
agree (see ``fallback.py`` for a lasting split).
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec
import xxhash

from celeryspan import ids

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# Up to this many homes hear all demand of a service; above, a sample does.
# Eight homes cost a waiting request 8 x 30 bytes; 440 homes would cost 13 KB.
MAX_UNSAMPLED_HOMES = 8

# Homes in the sample of a larger service. A sample of d homes, renewed each time
# that nothing is granted, finds a free slot in 1 - (1 - f)**d of the trials when a
# fraction f of the homes has one: 0.57 at f = 0.1, so two trials on average.
SAMPLE_SIZE = 8


class HomeChange(msgspec.Struct, frozen=True):
    """A backend server whose home changes."""

    server: ids.ServerId
    old: ids.RouterId | None
    new: ids.RouterId | None


def rendezvous_weight(router: ids.RouterId, name: str) -> int:
    """Return the rendezvous weight of a router for a name."""
    return xxhash.xxh3_64_intdigest(f"{router}/{name}".encode())


def find_home(
    server: ids.ServerId, live: Iterable[ids.RouterId]
) -> ids.RouterId | None:
    """Return the live router with the highest score, or None if none is live."""
    return max(
        live,
        key=lambda router: (rendezvous_weight(router, server), router),
        default=None,
    )


def assign_homes(
    servers: Iterable[ids.ServerId], live: Collection[ids.RouterId]
) -> dict[ids.ServerId, ids.RouterId]:
    """Return the home of each backend server; empty if no router is live."""
    if not live:
        return {}
    found = {server: find_home(server, live) for server in servers}
    return {server: home for server, home in found.items() if home is not None}


def find_changes(
    old: Mapping[ids.ServerId, ids.RouterId], new: Mapping[ids.ServerId, ids.RouterId]
) -> tuple[HomeChange, ...]:
    """Return the servers whose home differs, in order of their names."""
    moved = (
        HomeChange(server, old.get(server), new.get(server))
        for server in sorted(old.keys() | new.keys())
    )
    return tuple(move for move in moved if move.old != move.new)


def sample_homes(
    homes: Collection[ids.RouterId],
    router: ids.RouterId,
    service: ids.ServiceId,
    attempt: int,
) -> tuple[ids.RouterId, ...]:
    """Return the homes of a service that hear this router's demand.

    Parameters
    ----------
    homes : collection of RouterId
        Every home of the service's backend servers.
    attempt : int
        Grows each time that the sample granted nothing for a while, so that demand
        reaches every home in the end: no home idles for good while work waits.
    """
    if len(homes) <= MAX_UNSAMPLED_HOMES:
        return tuple(sorted(homes))
    name = f"{router}/{service}/{attempt}"
    scored = ((rendezvous_weight(home, name), home) for home in homes)
    return tuple(home for _, home in heapq.nlargest(SAMPLE_SIZE, scored))


def pick_first_home(
    homes: Mapping[ids.ServerId, ids.RouterId],
    router: ids.RouterId,
    service: ids.ServiceId,
    turn: int,
) -> ids.RouterId | None:
    """Return the one home that hears of a first waiting request.

    A server is drawn, not a home, so that homes of many servers are asked more often.

    Parameters
    ----------
    homes : mapping
        Home of each server of the service.
    turn : int
        Differs from request to request, so that the choice spreads.
    """
    if not homes:
        return None
    servers = sorted(homes)
    draw = xxhash.xxh3_64_intdigest(f"{router}/{service}/{turn}".encode())
    return homes[servers[draw % len(servers)]]
