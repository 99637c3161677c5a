"""Which routers callers are told to use.

Load answered: hundreds of callers that keep an answer for seconds, and longer if they
can't get a new one. A list that leaves out most routers sends all callers near the one
that wrote it to a few of them; these drown, can no longer answer who else there is, and
the callers stay. One router of 82 got two thirds of all requests that way.

Some client accounts send all they have to one of the addresses that their callers are
told, always the same one. One with seven times its usual load then takes a router of
its own, whose processor serves 60 requests a second: a third of its requests met no
connection while 81 routers idled. So each caller is told a few routers only, which its
own address names by rendezvous hashing: callers of one account get different ones, each
caller the same ones as long as they live, whichever router it asks.

A router is listed once it has shown a configuration, or has run for a while: routers
hear each other's configuration only now and then, and one that has none yet refuses,
which costs its caller a moment.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.decisions import beliefs, homes

ADDRESSES_MIN = 4
ADDRESSES_MAX = 8
"""Addresses of one answer: half of the fleet, within these bounds. When half of a large
fleet is killed, one of eight is left to 996 of 1,000 callers; of a fleet of 82 the
busiest gets a tenth of what an account sends to one address."""

STARTED_SECONDS = 2.0
"""A router that has run this long has a configuration, from the store or from a peer:
both take some tenths of a second."""


def choose(
    known: Iterable[beliefs.Belief],
    caller: str,
    data_centre: str | None,
    now: float,
) -> list[ids.Address]:
    """Return the addresses of the routers that a caller is to use, nearest first.

    Parameters
    ----------
    known : iterable of Belief
        What is believed of all routers, the one that answers among them if it is ready.
    caller : str
        The host that the caller asks from.
    data_centre : str or None
        That of the caller, if it has said so.
    """
    found = [belief.member for belief in known if is_usable(belief, now)]
    found.sort(key=lambda member: homes.score(member.router, caller))
    most = min(max(ADDRESSES_MIN, len(found) // 2), ADDRESSES_MAX)
    chosen = found[:most]
    chosen.sort(key=lambda member: member.data_centre != data_centre)
    return [member.caller_address for member in chosen]


def is_usable(belief: beliefs.Belief, now: float) -> bool:
    """Whether callers may use a router."""
    member = belief.member
    if member.state is not states.MemberState.ALIVE:
        return False
    return member.generation > 0 or now - belief.since >= STARTED_SECONDS
