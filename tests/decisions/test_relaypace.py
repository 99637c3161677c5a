"""How often a router relays the events of streams that peers serve for it."""

from __future__ import annotations

import pytest

from celeryspan.decisions import relaypace


def test_rounds_leave_most_of_the_time_to_other_work() -> None:
    """Guards against a router that relays events and accepts no callers."""
    pace = relaypace.RelayPace()
    now = spent = 0.0
    while now < 10.0:
        pace.record(now, now + 0.04)
        spent += 0.04
        now = pace.next_at
    assert spent / now == pytest.approx(relaypace.TIME_SHARE, rel=0.05)
    assert not pace.is_full


def test_no_more_is_handed_over_when_the_longest_interval_is_too_short() -> None:
    """Guards against streams that all pause, because one VM relays too many."""
    pace = relaypace.RelayPace()
    pace.record(0.0, 0.1)
    assert pace.is_full
    assert pace.next_at == pytest.approx(relaypace.INTERVAL_MAX_SECONDS)
    pace.record(0.2, 0.201)
    assert not pace.is_full


def test_few_streams_are_relayed_at_the_shortest_interval() -> None:
    pace = relaypace.RelayPace()
    pace.record(5.0, 5.001)
    assert pace.next_at == pytest.approx(5.0 + relaypace.INTERVAL_MIN_SECONDS)
