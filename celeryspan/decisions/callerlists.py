"""Lists of router addresses for callers.

Hundreds of callers keep a list for seconds, and longer if they cannot get a new one. A
list that omits most routers sends all callers near its author to a few routers; these
become overloaded, cannot answer requests for a new list, and keep their callers. In one
case a router of 82 received two thirds of all requests.

A router is listed once it has announced a configuration or has run for a short time.
Routers learn each other's configuration only now and then, and one without any refuses
requests, which delays its caller only briefly.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.decisions import membertable

ADDRESSES_MAX = 64
"""Maximum addresses per list. A list of only a few would spread callers as evenly but
leave them fewer routers when half of the fleet is killed. The length makes no
difference for accounts that send all their requests to one router."""

STARTED_SECONDS = 2.0
"""Time after which a router is expected to have a configuration; the store and peers
deliver one within some tenths of a second."""


def choose_addresses(
    known: Iterable[membertable.MemberRecord],
    data_centre: str | None,
    now: float,
    generator: random.Random,
) -> list[ids.Address]:
    """Return the addresses of usable routers, those in the caller's data centre first.

    Parameters
    ----------
    known : iterable of MemberRecord
        Records of all routers, including the answering one if it is ready.
    data_centre : str or None
        Data centre of the caller, if known.
    """
    found = [record.member for record in known if is_usable(record, now)]
    generator.shuffle(found)
    found.sort(key=lambda member: member.data_centre != data_centre)
    return [member.caller_address for member in found[:ADDRESSES_MAX]]


def is_usable(record: membertable.MemberRecord, now: float) -> bool:
    """Whether callers may use a router."""
    member = record.member
    if member.state is not states.MemberState.ALIVE:
        return False
    return member.generation > 0 or now - record.since >= STARTED_SECONDS
