"""Repeats of a fleet stay within its budget, whoever comes and goes."""

from __future__ import annotations

from celeryspan.decisions import retrybudget

RATIO, SLACK, WINDOW = 0.2, 52.0, 10.0


def count_repeats(budget, now: float, routers: int, wanted: int) -> int:
    """Return how many of the wanted repeats are allowed."""
    return sum(budget.try_take(now, routers) for _ in range(wanted))


def test_fleet_stays_within_its_budget_when_every_request_wants_a_repeat() -> None:
    """All servers fail, and six routers repeat whatever they can.

    Each that goes by the fleet's whole budget adds six times what the service bears.
    """
    budgets = [retrybudget.RetryBudget(RATIO, SLACK, WINDOW) for _ in range(6)]
    repeats = requests = 0
    for tick in range(100):
        now = tick * 0.1
        for budget in budgets:
            for _ in range(3):
                budget.record_request(now)
                requests += 1
                repeats += budget.try_take(now, 6)
    assert repeats <= RATIO * requests + SLACK
    assert repeats >= 0.8 * RATIO * requests


def test_routers_that_restart_do_not_spend_the_rest_twice() -> None:
    """All routers are killed and have forgotten what they had spent."""
    spent = 0
    for _ in range(2):
        for _ in range(6):
            fresh = retrybudget.RetryBudget(RATIO, SLACK, WINDOW)
            spent += count_repeats(fresh, 0.0, 6, 100)
    assert spent <= SLACK


def test_window_slides() -> None:
    budget = retrybudget.RetryBudget(RATIO, 0.0, WINDOW)
    for _ in range(100):
        budget.record_request(0.0)
    allowed = count_repeats(budget, 0.0, 1, 100)
    assert 0 < allowed <= 20
    assert count_repeats(budget, 9.0, 1, 100) == 0
    assert count_repeats(budget, 11.0, 1, 100) == 0
    for _ in range(100):
        budget.record_request(11.0)
    assert count_repeats(budget, 11.0, 1, 100) == allowed
