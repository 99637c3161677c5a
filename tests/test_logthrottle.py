"""Rate limiting of repeated log lines, with simulated time."""

from __future__ import annotations

from celeryspan import logthrottle


def test_first_line_is_written_and_suppressed_repeats_are_counted() -> None:
    throttle = logthrottle.Throttle()
    assert throttle.admit("accept", 0.0) == 1
    assert [throttle.admit("accept", 0.001 * step) for step in range(1, 100)] == [
        0
    ] * 99
    assert throttle.admit("accept", logthrottle.INTERVAL_SECONDS) == 100
    assert throttle.admit("accept", 5.0) == 1


def test_kinds_are_limited_independently() -> None:
    throttle = logthrottle.Throttle()
    assert throttle.admit("accept", 0.0) == 1
    assert throttle.admit("read", 0.0) == 1


def test_number_of_tracked_kinds_is_bounded() -> None:
    throttle = logthrottle.Throttle()
    for step in range(10 * logthrottle.KINDS_MAX):
        assert throttle.admit(f"error {step}", 0.0) == 1
    assert len(throttle._written_at) <= logthrottle.KINDS_MAX
