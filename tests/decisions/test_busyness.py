"""When a router says that it is busy."""

from __future__ import annotations

from celeryspan.decisions import busyness

LATE, CALM = 0.2, 0.0


def play(
    found: busyness.BusyDetector, lateness: float, begin: float, end: float
) -> list:
    """Note a lateness ten times a second; returns when the word changed."""
    times = [begin + 0.1 * tick for tick in range(round((end - begin) * 10))]
    return [round(now, 1) for now in times if found.record(lateness, now)]


def test_router_that_runs_late_says_so_within_a_second() -> None:
    """Guards against a home that decides late for the whole fleet."""
    found = busyness.BusyDetector()
    (changed,) = play(found, LATE, 0.0, 3.0)
    assert changed <= 1.0
    assert found.is_busy


def test_one_pause_is_no_load() -> None:
    found = busyness.BusyDetector()
    assert not play(found, LATE, 0.0, 0.4)
    assert not play(found, CALM, 0.4, 0.6)
    assert not play(found, LATE, 0.6, 1.0)


def test_waves_of_a_flood_do_not_move_ledgers_to_and_fro() -> None:
    """Guards against homes that change with each wave and lose what they learned."""
    found = busyness.BusyDetector()
    changes = []
    for wave in range(5):
        changes += play(found, LATE, 8.0 * wave, 8.0 * wave + 4.0)
        changes += play(found, CALM, 8.0 * wave + 4.0, 8.0 * wave + 8.0)
    assert len(changes) == 1
    assert play(found, CALM, 40.0, 60.0)
    assert not found.is_busy
