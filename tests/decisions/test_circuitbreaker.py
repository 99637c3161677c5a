"""Tests for the circuit breaker and call budget of the store, and for watchers."""

from __future__ import annotations

import random

from celeryspan.decisions import circuitbreaker, watchers


def test_breaker_admits_one_probe_at_a_time() -> None:
    breaker = circuitbreaker.CircuitBreaker()
    generator = random.Random(1)
    assert breaker.try_acquire(0.0)
    assert breaker.record_failure(0.0, generator)
    later = circuitbreaker.FIRST_DELAY_MAX_SECONDS
    assert breaker.try_acquire(later)
    assert not breaker.try_acquire(later)
    assert not breaker.record_failure(later, generator)
    assert breaker.try_acquire(100.0)
    assert breaker.record_success()
    assert breaker.try_acquire(100.0)
    assert breaker.try_acquire(100.0)


def test_routers_return_to_a_recovered_store_spread_over_time() -> None:
    """Guards against a thundering herd when the store recovers.

    The store is down for ten minutes. It handles a few hundred writes a second, so
    1,300 routers that call it in the same second would overload it again. Each router
    draws its delay from the whole interval.
    """
    generator = random.Random(2)
    end = 600.0
    first_calls = []
    for _ in range(1_300):
        breaker, now = circuitbreaker.CircuitBreaker(), 0.0
        while now < end:
            if breaker.try_acquire(now):
                breaker.record_failure(now, generator)
            now += 0.1
        while not breaker.try_acquire(now):
            now += 0.1
        first_calls.append(now)
    busiest = max(
        sum(start <= first < start + 1 for first in first_calls)
        for start in range(600, 620)
    )
    assert busiest < 300
    assert max(first_calls) < end + circuitbreaker.DELAY_MAX_SECONDS + 1


def test_budget_limits_the_sustained_rate_and_permits_a_burst() -> None:
    budget = circuitbreaker.CallBudget()
    taken = sum(budget.take(0.0) for _ in range(100))
    assert taken == circuitbreaker.BURST_CALLS
    taken = sum(budget.take(second / 10) for second in range(1, 1_001))
    assert taken == 100 * circuitbreaker.CALLS_PER_SECOND


def test_watchers_are_few_agreed_on_and_replaced() -> None:
    routers = [f"router-{number}" for number in range(1_300)]
    chosen = watchers.choose("configuration", routers)
    assert len(chosen) == watchers.WATCHERS
    assert chosen == watchers.choose("configuration", reversed(routers))
    left = [router for router in routers if router != chosen[0]]
    assert watchers.choose("configuration", left)[:2] == chosen[1:]
    assert 1_300 / watchers.check_seconds(1_300) <= watchers.FLEET_READS_PER_SECOND
