"""How fast an account gets places, as its home measures it."""

from __future__ import annotations

import pytest

from celeryspan import ids
from celeryspan.decisions import paces

DESK = ids.AccountId("desk")


def note_steadily(found: paces.PlacementRates, each: float, until: float) -> None:
    """Give a place every so many seconds."""
    for number in range(round(until / each)):
        found.record(DESK, number * each)


def test_account_without_places_has_no_pace() -> None:
    assert paces.PlacementRates().measure(DESK, 1.0) == 0.0


@pytest.mark.parametrize("until", [0.5, 1.0, 5.0])
def test_pace_of_a_young_backlog_is_not_taken_for_low(until: float) -> None:
    found = paces.PlacementRates()
    note_steadily(found, 0.02, until)
    assert found.measure(DESK, until) == pytest.approx(50.0, rel=0.1)


def test_pace_fades_and_begins_anew() -> None:
    found = paces.PlacementRates()
    note_steadily(found, 0.02, 5.0)
    assert found.measure(DESK, 7.0) < 10.0
    assert found.measure(DESK, 60.0) == 0.0
    found.record(DESK, 60.0)
    assert found.measure(DESK, 60.1) <= 10.0


def test_accounts_have_their_own_pace() -> None:
    found = paces.PlacementRates()
    note_steadily(found, 0.02, 1.0)
    found.record(ids.AccountId("crew"), 1.0)
    assert found.measure(ids.AccountId("crew"), 1.0) < found.measure(DESK, 1.0)
