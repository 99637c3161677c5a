"""Threads of a router under a flood."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from celeryspan import ids
from celeryspan.decisions import threadquota

FLOOD, OTHER, GATES = (ids.AccountId(name) for name in ("airline", "tugs", "gates"))


def take_all(found: threadquota.ThreadQuota, account: ids.AccountId) -> int:
    return sum(found.acquire(account) for _ in range(1000))


def test_a_flood_leaves_room_for_those_who_come_later() -> None:
    """An airline's loop opens a thousand connections; then the gate desk asks.

    Its one request is refused at the door though it is due its share of every server.
    """
    found = threadquota.ThreadQuota(256)
    assert take_all(found, FLOOD) == 128
    assert take_all(found, OTHER) == 64
    assert found.acquire(GATES)


def test_a_lone_account_gets_half_and_what_is_given_back_again() -> None:
    found = threadquota.ThreadQuota(8)
    assert take_all(found, FLOOD) == 4
    found.release(FLOOD)
    assert found.acquire(FLOOD)
    assert not found.acquire(FLOOD)


ACCOUNTS = strategies.sampled_from([FLOOD, OTHER, GATES])


@hypothesis.given(
    asks=strategies.lists(strategies.tuples(ACCOUNTS, strategies.booleans()))
)
def test_no_more_than_the_limit_and_room_for_a_newcomer(asks) -> None:
    found = threadquota.ThreadQuota(16)
    held = dict.fromkeys((FLOOD, OTHER, GATES), 0)
    for account, comes in asks:
        if comes:
            held[account] += found.acquire(account)
        elif held[account]:
            held[account] -= 1
            found.release(account)
        assert sum(held.values()) < 16
    assert found.acquire(ids.AccountId("newcomer"))
