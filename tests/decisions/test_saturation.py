"""When a router reports itself busy."""

from __future__ import annotations

import pytest

from celeryspan.decisions import saturation

LATE, ON_TIME = 0.2, 0.0


def record_lateness(
    detector: saturation.BusyDetector, lateness: float, begin: float, end: float
) -> list:
    """Record a lateness ten times a second; return when the state changed."""
    times = [begin + 0.1 * tick for tick in range(round((end - begin) * 10))]
    return [round(now, 1) for now in times if detector.record(lateness, now)]


def test_router_that_runs_late_becomes_busy_within_a_second() -> None:
    """A saturated home must not delay decisions for the whole fleet."""
    detector = saturation.BusyDetector()
    (changed,) = record_lateness(detector, LATE, 0.0, 3.0)
    assert changed <= 1.0
    assert detector.is_busy


def test_single_pause_does_not_make_a_router_busy() -> None:
    detector = saturation.BusyDetector()
    assert not record_lateness(detector, LATE, 0.0, 0.4)
    assert not record_lateness(detector, ON_TIME, 0.4, 0.6)
    assert not record_lateness(detector, LATE, 0.6, 1.0)


def test_waves_of_load_do_not_move_ledgers_back_and_forth() -> None:
    """Homes must not change, and lose their learned state, with each wave of load."""
    detector = saturation.BusyDetector()
    changes = []
    for wave in range(5):
        changes += record_lateness(detector, LATE, 8.0 * wave, 8.0 * wave + 4.0)
        changes += record_lateness(
            detector, ON_TIME, 8.0 * wave + 4.0, 8.0 * wave + 8.0
        )
    assert len(changes) == 1
    assert record_lateness(detector, ON_TIME, 40.0, 60.0)
    assert not detector.is_busy


def test_meter_shows_a_processor_that_one_thread_uses_up() -> None:
    """Guards against a saturated router whose threads all wake up on time."""
    meter = saturation.ProcessorMeter()
    for tick in range(20):
        meter.record(0.1 * tick, 0.1 * tick)
    assert meter.use == pytest.approx(1.0)
    for tick in range(20, 40):
        meter.record(2.0 + 0.02 * (tick - 20), 0.1 * tick)
    assert meter.use == pytest.approx(0.2)


def test_meter_ignores_clocks_that_disagree_for_a_moment() -> None:
    """Guards against a use far above one core, which no VM can have."""
    meter = saturation.ProcessorMeter()
    meter.record(0.0, 0.0)
    meter.record(7.0, 0.5)
    assert meter.use == 1.0
