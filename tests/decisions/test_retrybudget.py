"""The fleet stays within its retry budget while routers join, leave and restart."""

from __future__ import annotations

from celeryspan.decisions import retrybudget

RATIO, SLACK, WINDOW = 0.2, 52.0, 10.0


def count_allowed(budget, now: float, routers: int, wanted: int) -> int:
    """Return how many of the wanted retries are allowed."""
    return sum(budget.try_take(now, routers) for _ in range(wanted))


def test_fleet_stays_within_its_budget_when_every_request_is_retried() -> None:
    """All servers fail, and six routers retry as much as they may.

    If each router used the whole budget, the fleet would retry six times too much.
    """
    budgets = [retrybudget.RetryBudget(RATIO, SLACK, WINDOW) for _ in range(6)]
    retries = requests = 0
    for tick in range(100):
        now = tick * 0.1
        for budget in budgets:
            for _ in range(3):
                budget.record_request(now)
                requests += 1
                retries += budget.try_take(now, 6)
    assert retries <= RATIO * requests + SLACK
    assert retries >= 0.8 * RATIO * requests


def test_restarted_routers_do_not_exceed_the_slack() -> None:
    """All routers are killed and lose their counts of the retries already used."""
    spent = 0
    for _ in range(2):
        for _ in range(6):
            fresh = retrybudget.RetryBudget(RATIO, SLACK, WINDOW)
            spent += count_allowed(fresh, 0.0, 6, 100)
    assert spent <= SLACK


def test_window_slides() -> None:
    budget = retrybudget.RetryBudget(RATIO, 0.0, WINDOW)
    for _ in range(100):
        budget.record_request(0.0)
    allowed = count_allowed(budget, 0.0, 1, 100)
    assert 0 < allowed <= 20
    assert count_allowed(budget, 9.0, 1, 100) == 0
    assert count_allowed(budget, 11.0, 1, 100) == 0
    for _ in range(100):
        budget.record_request(11.0)
    assert count_allowed(budget, 11.0, 1, 100) == allowed
