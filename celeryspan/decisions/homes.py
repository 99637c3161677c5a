"""Assigns each backend server to a home: the router that grants the server's slots.

Hundreds of routers join, fail and are replaced each day, while the slots of a backend
server must be granted in one place.

Without homes each router would manage a share of every server's window, and a share is
idle whenever its router has no waiting requests (0.4% to 2.4% of slot time).

Assignment uses rendezvous hashing: every router computes the same home from the same
membership without communication. When a router leaves, only its servers move, and they
spread evenly over the others. Two routers whose memberships differ briefly may both act
as home; until the views agree the server gets at most one extra window of requests (see
``partitions.py`` for lasting partitions).
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec
import xxhash

from celeryspan import ids

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# Up to this many homes, a service's demand is sent to all of them; above, to a sample.
# Eight homes cost 8 x 30 bytes per waiting request; 440 homes would cost 13 KB.
MAX_UNSAMPLED_HOMES = 8

# Homes in the sample of a larger service. When a fraction f of the homes has a free
# slot, a sample of d homes contains one with probability 1 - (1 - f)**d: 0.57 at
# f = 0.1, so two attempts on average. A new sample is drawn after each failed attempt.
SAMPLE_SIZE = 8


class HomeChange(msgspec.Struct, frozen=True):
    """Change of the home of a backend server."""

    server: ids.ServerId
    old: ids.RouterId | None
    new: ids.RouterId | None


def rendezvous_weight(router: ids.RouterId, name: str) -> int:
    """Return the rendezvous weight of a router for a name."""
    return xxhash.xxh3_64_intdigest(f"{router}/{name}".encode())


def find_home(
    server: ids.ServerId, live: Iterable[ids.RouterId]
) -> ids.RouterId | None:
    """Return the live router with the highest weight, or None if none is live."""
    return max(
        live,
        key=lambda router: (rendezvous_weight(router, server), router),
        default=None,
    )


def choose_hosts(
    service: ids.ServiceId, live: Collection[ids.RouterId], count: int
) -> tuple[ids.RouterId, ...]:
    """Return the live routers with the highest weights for a service, best first."""
    return tuple(
        heapq.nlargest(
            count,
            live,
            key=lambda router: (rendezvous_weight(router, service), router),
        )
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
    """Return the servers whose home differs, ordered by server name."""
    changes = (
        HomeChange(server, old.get(server), new.get(server))
        for server in sorted(old.keys() | new.keys())
    )
    return tuple(change for change in changes if change.old != change.new)


def sample_homes(
    homes: Collection[ids.RouterId],
    router: ids.RouterId,
    service: ids.ServiceId,
    attempt: int,
) -> tuple[ids.RouterId, ...]:
    """Return the homes of a service that receive this router's demand.

    Parameters
    ----------
    homes : collection of RouterId
        Every home of the service's backend servers.
    attempt : int
        Increases each time that the sample has granted nothing for a while, so that
        demand eventually reaches every home and none stays idle while requests wait.
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
    """Return the one home that is notified of the first waiting request.

    Draws a server rather than a home, so that homes are chosen in proportion to the
    number of their servers.

    Parameters
    ----------
    homes : mapping
        Home of each server of the service.
    turn : int
        Request counter that varies the choice between requests.
    """
    if not homes:
        return None
    servers = sorted(homes)
    draw = xxhash.xxh3_64_intdigest(f"{router}/{service}/{turn}".encode())
    return homes[servers[draw % len(servers)]]
