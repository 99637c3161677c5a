"""Lines that repeat, on a clock of the test's own."""

from __future__ import annotations

from celeryspan import logthrottle


def test_first_line_is_written_and_repeats_are_counted() -> None:
    throttle = logthrottle.Throttle()
    assert throttle.admit("accept", 0.0) == 1
    assert [throttle.admit("accept", 0.001 * step) for step in range(1, 100)] == [
        0
    ] * 99
    assert throttle.admit("accept", logthrottle.INTERVAL_SECONDS) == 100
    assert throttle.admit("accept", 5.0) == 1


def test_kinds_do_not_hold_each_other_back() -> None:
    throttle = logthrottle.Throttle()
    assert throttle.admit("accept", 0.0) == 1
    assert throttle.admit("read", 0.0) == 1


def test_texts_that_always_differ_do_not_fill_the_memory() -> None:
    throttle = logthrottle.Throttle()
    for step in range(10 * logthrottle.KINDS_MAX):
        assert throttle.admit(f"error {step}", 0.0) == 1
    assert len(throttle._written_at) <= logthrottle.KINDS_MAX
