"""Tests that the cost measurements run against the current code."""

from __future__ import annotations

from bench import costs


def test_every_cost_can_be_measured(monkeypatch) -> None:
    """A moved or renamed module can break the measurements behind the capacity page.

    The page is checked against recorded figures only, so the failure would stay
    unnoticed until the next release.
    """
    for name in ("SIZES", "FLEET_SIZES", "SERVER_SIZES", "PAIR_SIZES"):
        monkeypatch.setattr(costs, name, (4, 8, 16))
    slopes = costs.measure()
    assert {slope.unit for slope in slopes} == {"us", "bytes"}
    assert all(value > 0 for slope in slopes for value in slope.values)
