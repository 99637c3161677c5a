"""Callers hear of all routers that serve, and of no other."""

from __future__ import annotations

import collections

from celeryspan import ids, states
from celeryspan.decisions import beliefs, callerlists
from celeryspan.wire import messages

ALIVE = states.MemberState.ALIVE


def make(
    number: int,
    state: states.MemberState = ALIVE,
    generation: int = 0,
    since: float = 0.0,
) -> beliefs.Belief:
    address = ids.Address("10.0.0.1", number)
    place = "hala-a" if number % 2 else "hala-b"
    member = messages.Member(
        f"edge-{number}", 1, state, place, address, address, generation, 0
    )
    return beliefs.Belief(member, since)


def choose(
    known: list[beliefs.Belief], caller: str = "c", now: float = 10.0
) -> list[int]:
    """Return the ports of the addresses that a caller in hala-a is told."""
    found = callerlists.choose(known, caller, "hala-a", now)
    return [address.port for address in found]


def test_routers_whose_configuration_was_not_heard_of_are_listed() -> None:
    """A fleet of 82 starts; each router has heard directly from a few others only.

    A list of those few sends all callers nearby to them.
    """
    known = [make(number, generation=5 if number < 4 else 0) for number in range(30)]
    told = {port for caller in range(60) for port in choose(known, f"c{caller}")}
    assert told == set(range(30))


def test_router_that_has_just_started_is_left_out() -> None:
    """It has no configuration yet and would refuse what comes."""
    assert choose([make(1, generation=5, since=9.9), make(3, since=9.0)]) == [1]


def test_routers_that_stop_are_suspected_or_dead_are_left_out() -> None:
    others = [state for state in states.MemberState if state is not ALIVE]
    known = [make(number, state, 5) for number, state in enumerate(others)]
    assert choose(known) == []


def test_nearest_come_first() -> None:
    ports = choose([make(number, generation=1) for number in range(100)])
    assert len(ports) == callerlists.ADDRESSES_MAX
    assert [port % 2 for port in ports] == sorted((p % 2 for p in ports), reverse=True)


def test_small_fleet_leaves_a_caller_some_choice() -> None:
    assert len(choose([make(number, generation=1) for number in range(6)])) == 4
    assert len(choose([make(number, generation=1) for number in range(3)])) == 3


def test_account_that_uses_one_address_is_spread_over_routers() -> None:
    """An account sends seven times its usual, all of it to the router of its choice.

    Its callers are many. If all are told the same routers all choose the same one.
    """
    known = [make(number, generation=1) for number in range(82)]
    taken = collections.Counter(
        min(choose(known, f"10.9.0.{caller}")) for caller in range(100)
    )
    assert max(taken.values()) <= 20


def test_caller_keeps_its_routers_when_others_come_and_go() -> None:
    """Callers give up connections to routers that an answer no longer names."""
    known = [make(number, generation=1) for number in range(40)]
    kept = 0
    for caller in range(50):
        before = set(choose(known, f"c{caller}"))
        kept += len(before & set(choose(known[1:], f"c{caller}")))
    assert kept >= 50 * callerlists.ADDRESSES_MAX - 25
