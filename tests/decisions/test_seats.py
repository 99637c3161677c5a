"""Threads of a router under a flood."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from celeryspan import ids
from celeryspan.decisions import seats

FLOOD, OTHER, GATES = (ids.AccountId(name) for name in ("airline", "tugs", "gates"))


def take_all(found: seats.Seats, account: ids.AccountId) -> int:
    return sum(found.take(account) for _ in range(1000))


def test_a_flood_leaves_room_for_those_who_come_later() -> None:
    """An airline's loop opens a thousand connections; then the gate desk asks.

    Its one request is refused at the door though it is due its share of every server.
    """
    found = seats.Seats(256)
    assert take_all(found, FLOOD) == 128
    assert take_all(found, OTHER) == 64
    assert found.take(GATES)


def test_a_lone_account_gets_half_and_what_is_given_back_again() -> None:
    found = seats.Seats(8)
    assert take_all(found, FLOOD) == 4
    found.give_back(FLOOD)
    assert found.take(FLOOD)
    assert not found.take(FLOOD)


ACCOUNTS = strategies.sampled_from([FLOOD, OTHER, GATES])


@hypothesis.given(
    asks=strategies.lists(strategies.tuples(ACCOUNTS, strategies.booleans()))
)
def test_no_more_than_the_limit_and_room_for_a_newcomer(asks) -> None:
    found = seats.Seats(16)
    held = dict.fromkeys((FLOOD, OTHER, GATES), 0)
    for account, comes in asks:
        if comes:
            held[account] += found.take(account)
        elif held[account]:
            held[account] -= 1
            found.give_back(account)
        assert sum(held.values()) < 16
    assert found.take(ids.AccountId("newcomer"))
