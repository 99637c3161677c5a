"""Decides which requests a router hands over to its peers, and to which peer.

Some accounts send all their requests to one router, whatever addresses they are given.
A small VM can't serve them: it accepts too few connections, everything on it runs late,
and the account gets nothing while the peers of that router idle. Relaying the bytes of
a request and its answer costs a fraction of serving it, so that the router serves what
it can in time and hands the rest over.

* The number of requests served locally is adjusted by the lateness of the router's
  threads, like the limit above which requests are refused (:mod:`overload`), but from a
  lower lateness on, and by the processor time in use (:mod:`saturation`). It falls to
  none: each one takes the processor time of several that are handed over.
* A request that is late when it is dispatched (:mod:`arrivalqueue`) is refused. That
  costs less again, so that the next callers are accepted in time.
* A request goes to the least used of two random peers of the same data centre, in
  proportion to the sizes of their VMs. Busy peers are used only if all are: after a
  restart of the whole fleet all routers are busy for some seconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from celeryspan import ids, states
from celeryspan.decisions import overload
from celeryspan.wire import messages

LATENESS_HIGH_SECONDS = 0.02
"""Mean lateness above which fewer requests are served locally."""

LATENESS_LOW_SECONDS = 0.008
"""Mean lateness below which more requests are served locally."""

LIMIT_INITIAL = 48
"""Requests served locally right after the start, when all callers may come at once."""

LIMIT_MIN = 0

DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_SECONDS = 0.25
"""A decrease costs little, because the requests above the limit are served by peers."""


def make_limiter(limit_max: int) -> overload.ConcurrencyLimiter:
    """Return the limiter of the requests that are served locally."""
    return overload.ConcurrencyLimiter(
        limit_max,
        initial=LIMIT_INITIAL,
        lateness_high=LATENESS_HIGH_SECONDS,
        lateness_low=LATENESS_LOW_SECONDS,
        decrease_factor=DECREASE_FACTOR,
        decrease_interval=DECREASE_INTERVAL_SECONDS,
        limit_min=LIMIT_MIN,
    )


def list_peers(
    members: Iterable[messages.Member], own: messages.Member
) -> list[messages.Member]:
    """Return the peers to which requests may be handed over."""
    found = [
        member
        for member in members
        if member.router != own.router
        and member.data_centre == own.data_centre
        and member.state is states.MemberState.ALIVE
    ]
    return [member for member in found if not member.is_busy] or found


def choose_peer(
    peers: list[messages.Member],
    used: Mapping[ids.RouterId, int],
    generator: random.Random,
) -> messages.Member | None:
    """Return the peer that takes the next request, or None if there is none.

    Parameters
    ----------
    used : mapping
        Requests of this router that each peer serves now.
    """
    if not peers:
        return None
    # Two different ones; generator.sample() takes three times as long.
    first = int(generator.random() * len(peers))
    step = 1 + int(generator.random() * (len(peers) - 1))
    return min(
        (peers[first], peers[(first + step) % len(peers)]),
        key=lambda peer: ((used.get(peer.router, 0) + 1) / peer.cores, peer.router),
    )
