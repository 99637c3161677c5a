"""A day with a request that crashes servers, on one clock for routers and servers."""

from __future__ import annotations

import pytest

from bench import crashing

RETRIES_MAX = 3
"""Sends later than three seconds after the third crash that the users allow."""


@pytest.mark.parametrize("name", ["one cause", "one cause, routers restart"])
def test_cause_is_stopped_and_nobody_else_is_held(name: str) -> None:
    """Guards against a service that is down because of one request."""
    for result in crashing.play(crashing.PATTERNS[name], "as decided", 2):
        assert result.late_sends <= RETRIES_MAX
        assert result.held == 0


def test_servers_that_crash_together_leave_nobody_held() -> None:
    """Guards against popular requests that are held after a loss of power."""
    pattern = crashing.PATTERNS["three servers at once"]
    for result in crashing.play(pattern, "as decided", 2):
        assert result.held == 0


def test_emulator_shows_the_fault_without_a_memory() -> None:
    """Guards against an emulator that shows no fault whatever is decided."""
    (result,) = crashing.play(crashing.PATTERNS["one cause"], "no memory", 1)
    assert result.late_sends > 10 * RETRIES_MAX
