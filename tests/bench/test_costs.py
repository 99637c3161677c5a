"""The measurements of single costs still fit the code that they measure."""

from __future__ import annotations

from bench import costs


def test_every_cost_can_be_measured(monkeypatch) -> None:
    """A module moves, and the capacity page can't be measured again.

    Nobody notices before the next release, since its figures are recorded.
    """
    for name in ("SIZES", "FLEET_SIZES", "SERVER_SIZES", "PAIR_SIZES"):
        monkeypatch.setattr(costs, name, (4, 8, 16))
    slopes = costs.measure()
    assert {slope.unit for slope in slopes} == {"us", "bytes"}
    assert all(value > 0 for slope in slopes for value in slope.values)
