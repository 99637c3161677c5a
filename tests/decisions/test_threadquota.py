"""Thread quotas of client accounts under a flood."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from celeryspan import ids
from celeryspan.decisions import threadquota

FLOOD, OTHER, GATES = (ids.AccountId(name) for name in ("airline", "tugs", "gates"))


def take_all(quota: threadquota.ThreadQuota, account: ids.AccountId) -> int:
    return sum(quota.acquire(account) for _ in range(1000))


def test_a_flood_leaves_threads_for_accounts_that_come_later() -> None:
    """Guards against an account that takes every thread of a router.

    One account opens a thousand connections. A single request of another account is
    then refused before its fair share of any server is considered.
    """
    quota = threadquota.ThreadQuota(256)
    assert take_all(quota, FLOOD) == 128
    assert take_all(quota, OTHER) == 64
    assert quota.acquire(GATES)


def test_a_lone_account_gets_half_and_can_reuse_released_threads() -> None:
    quota = threadquota.ThreadQuota(8)
    assert take_all(quota, FLOOD) == 4
    quota.release(FLOOD)
    assert quota.acquire(FLOOD)
    assert not quota.acquire(FLOOD)


ACCOUNTS = strategies.sampled_from([FLOOD, OTHER, GATES])


@hypothesis.given(
    steps=strategies.lists(strategies.tuples(ACCOUNTS, strategies.booleans()))
)
def test_the_limit_holds_and_a_new_account_gets_a_thread(steps) -> None:
    quota = threadquota.ThreadQuota(16)
    held = dict.fromkeys((FLOOD, OTHER, GATES), 0)
    for account, acquires in steps:
        if acquires:
            held[account] += quota.acquire(account)
        elif held[account]:
            held[account] -= 1
            quota.release(account)
        assert sum(held.values()) < 16
    assert quota.acquire(ids.AccountId("new"))
