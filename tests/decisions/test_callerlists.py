"""Callers receive the addresses of all serving routers and no others."""

from __future__ import annotations

import random

from celeryspan import ids, states
from celeryspan.decisions import callerlists, membertable
from celeryspan.wire import messages

ALIVE = states.MemberState.ALIVE


def make(
    number: int,
    state: states.MemberState = ALIVE,
    generation: int = 0,
    since: float = 0.0,
) -> membertable.MemberRecord:
    address = ids.Address("10.0.0.1", number)
    place = "hala-a" if number % 2 else "hala-b"
    member = messages.Member(
        f"edge-{number}", 1, state, place, address, address, generation, 0
    )
    return membertable.MemberRecord(member, since)


def choose(known: list[membertable.MemberRecord], now: float = 10.0) -> list[int]:
    """Return the ports of the addresses in the list for a caller in hala-a."""
    found = callerlists.choose_addresses(known, "hala-a", now, random.Random(1))
    return [address.port for address in found]


def test_routers_with_unknown_configuration_are_listed() -> None:
    """Guards against lists that send all nearby callers to a few routers.

    In a fleet of 82 that has just started, each router has received datagrams from
    only a few others.
    """
    known = [make(number, generation=5 if number < 4 else 0) for number in range(30)]
    assert sorted(choose(known)) == list(range(30))


def test_router_that_has_just_started_is_not_listed() -> None:
    """Without a configuration the router would refuse requests."""
    assert choose([make(1, generation=5, since=9.9), make(3, since=9.0)]) == [1]


def test_leaving_suspected_and_dead_routers_are_not_listed() -> None:
    others = [state for state in states.MemberState if state is not ALIVE]
    known = [make(number, state, 5) for number, state in enumerate(others)]
    assert choose(known) == []


def test_routers_in_the_data_centre_of_the_caller_come_first() -> None:
    ports = choose([make(number, generation=1) for number in range(100)])
    assert len(ports) == callerlists.ADDRESSES_MAX
    assert all(port % 2 for port in ports[:50])
    assert not any(port % 2 for port in ports[50:])
