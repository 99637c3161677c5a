"""Placement rates of accounts."""

from __future__ import annotations

import pytest

from celeryspan import ids
from celeryspan.decisions import placementrates

DESK = ids.AccountId("desk")


def record_steadily(
    rates: placementrates.PlacementRates, interval: float, until: float
) -> None:
    """Record placements at a fixed interval."""
    for number in range(round(until / interval)):
        rates.record(DESK, number * interval)


def test_account_without_placements_has_rate_zero() -> None:
    assert placementrates.PlacementRates().measure(DESK, 1.0) == 0.0


@pytest.mark.parametrize("until", [0.5, 1.0, 5.0])
def test_rate_of_a_new_account_is_not_underestimated(until: float) -> None:
    rates = placementrates.PlacementRates()
    record_steadily(rates, 0.02, until)
    assert rates.measure(DESK, until) == pytest.approx(50.0, rel=0.1)


def test_rate_decays_and_restarts() -> None:
    rates = placementrates.PlacementRates()
    record_steadily(rates, 0.02, 5.0)
    assert rates.measure(DESK, 7.0) < 10.0
    assert rates.measure(DESK, 60.0) == 0.0
    rates.record(DESK, 60.0)
    assert rates.measure(DESK, 60.1) <= 10.0


def test_rates_are_per_account() -> None:
    rates = placementrates.PlacementRates()
    record_steadily(rates, 0.02, 1.0)
    rates.record(ids.AccountId("crew"), 1.0)
    assert rates.measure(ids.AccountId("crew"), 1.0) < rates.measure(DESK, 1.0)
