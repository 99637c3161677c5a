"""Which routers callers are told to use.

Load answered: hundreds of callers that keep an answer for seconds, and longer if they
can't get a new one. A list that leaves out most routers sends all callers near the one
that wrote it to a few of them; these drown, can no longer answer who else there is, and
the callers stay. One router of 82 got two thirds of all requests that way.

A router is listed once it has shown a configuration, or has run for a while: routers
hear each other's configuration only now and then, and one that has none yet refuses,
which costs its caller a moment.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.decisions import beliefs

ADDRESSES_MAX = 64
"""Addresses of one answer. All are given: callers that are told a few draw from these
as evenly, but have fewer left when half of the fleet is killed; accounts that send all
they have to one router go to the same one whatever they are told."""

STARTED_SECONDS = 2.0
"""A router that has run this long has a configuration, from the store or from a peer:
both take some tenths of a second."""


def choose_addresses(
    known: Iterable[beliefs.MemberRecord],
    data_centre: str | None,
    now: float,
    generator: random.Random,
) -> list[ids.Address]:
    """Return the addresses of the routers to use, nearest first.

    Parameters
    ----------
    known : iterable of Belief
        What is believed of all routers, the one that answers among them if it is ready.
    data_centre : str or None
        That of the caller, if it has said so.
    """
    found = [belief.member for belief in known if is_usable(belief, now)]
    generator.shuffle(found)
    found.sort(key=lambda member: member.data_centre != data_centre)
    return [member.caller_address for member in found[:ADDRESSES_MAX]]


def is_usable(belief: beliefs.MemberRecord, now: float) -> bool:
    """Whether callers may use a router."""
    member = belief.member
    if member.state is not states.MemberState.ALIVE:
        return False
    return member.generation > 0 or now - belief.since >= STARTED_SECONDS
