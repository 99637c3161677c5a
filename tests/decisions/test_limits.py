"""Tests for the concurrency window, in a closed loop with stale load reports."""

from __future__ import annotations

import pytest

from bench import limits as loop
from celeryspan.decisions import limits


@pytest.mark.parametrize(("lag", "least"), [(1.0, 0.97), (3.0, 0.94), (8.0, 0.86)])
def test_window_keeps_the_server_busy_without_oscillation(
    lag: float, least: float
) -> None:
    """Guards against a window that oscillates on stale reports.

    The engine reports its load with a lag of seconds. A window that follows each report
    is reduced several times for the same overload, then grows until it overloads the
    engine again, so that streams stall in turns of half a minute.
    """
    result = loop.simulate("celeryspan", lag)
    assert result.utilisation > least
    assert result.swing < 3.0
    assert result.utilisation > loop.simulate("follow", lag).utilisation


def test_one_overload_reduces_the_window_once() -> None:
    window = limits.Window(64, 0.0)
    for at in range(4):
        window.record_load(limits.LoadReport(64, 48, 16, 0.0, float(at)), 64, at + 5.0)
    assert window.size == 64 - 16 + 5


def test_window_stays_between_minimum_and_maximum() -> None:
    window = limits.Window(8, 0.0)
    for at in range(0, 100, 10):
        window.record_end(True, None, float(at))
    assert window.size == limits.MIN_WINDOW
    for at in range(100, 200, 10):
        window.record_load(limits.LoadReport(8, 1, 0, 0.0, float(at)), 8, float(at))
    assert window.size == 8


def test_unused_window_does_not_grow() -> None:
    """Guards against a window that grows while idle and then admits a large burst."""
    window = limits.Window(64, 0.0)
    window.record_end(True, None, 1.0)
    size = window.size
    for at in range(10, 60):
        window.record_load(limits.LoadReport(64, 2, 0, 0.0, float(at)), 2, float(at))
    assert window.size == size


def test_slow_streams_reduce_the_window() -> None:
    window = limits.Window(64, 0.0)
    for at in range(30):
        window.record_end(False, 2 * limits.MAX_TOKEN_SECONDS, float(at))
    assert window.size < 64 * 0.7
