"""Routers call the store within a budget, and come back to it one after the other."""

from __future__ import annotations

import random

from celeryspan.decisions import outages, watchers


def test_failing_store_is_tried_by_one_call_at_a_time() -> None:
    breaker = outages.CircuitBreaker()
    generator = random.Random(1)
    assert breaker.try_acquire(0.0)
    assert breaker.record_failure(0.0, generator)
    later = outages.FIRST_DELAY_MAX_SECONDS
    assert breaker.try_acquire(later)
    assert not breaker.try_acquire(later)
    assert not breaker.record_failure(later, generator)
    assert breaker.try_acquire(100.0)
    assert breaker.record_success()
    assert breaker.try_acquire(100.0)
    assert breaker.try_acquire(100.0)


def test_fleet_does_not_stampede_when_the_store_is_back() -> None:
    """The store is down for ten minutes and comes back to 1,300 routers.

    If they all call in the same second it is down again, as a store that takes some
    hundred writes a second is. Each router's wait is drawn from the whole interval.
    """
    generator = random.Random(2)
    end = 600.0
    firsts = []
    for _ in range(1_300):
        breaker, now = outages.CircuitBreaker(), 0.0
        while now < end:
            if breaker.try_acquire(now):
                breaker.record_failure(now, generator)
            now += 0.1
        while not breaker.try_acquire(now):
            now += 0.1
        firsts.append(now)
    busiest = max(
        sum(start <= first < start + 1 for first in firsts) for start in range(600, 620)
    )
    assert busiest < 300
    assert max(firsts) < end + outages.DELAY_MAX_SECONDS + 1


def test_budget_limits_the_background_and_saves_for_a_start() -> None:
    budget = outages.CallBudget()
    taken = sum(budget.take(0.0) for _ in range(100))
    assert taken == outages.BURST_CALLS
    taken = sum(budget.take(second / 10) for second in range(1, 1_001))
    assert taken == 100 * outages.CALLS_PER_SECOND


def test_watchers_are_few_the_same_everywhere_and_replaced() -> None:
    routers = [f"router-{number}" for number in range(1_300)]
    chosen = watchers.choose("configuration", routers)
    assert len(chosen) == watchers.WATCHERS
    assert chosen == watchers.choose("configuration", reversed(routers))
    left = [router for router in routers if router != chosen[0]]
    assert watchers.choose("configuration", left)[:2] == chosen[1:]
    assert 1_300 / watchers.check_seconds(1_300) <= watchers.FLEET_READS
