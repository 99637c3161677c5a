"""Tests of the simulation of requests that crash servers."""

from __future__ import annotations

import pytest

from bench import crashing

LATE_SENDS_MAX = 3
"""Sends of a fatal request that users accept later than 3 s after its third crash."""


@pytest.mark.parametrize(
    "name", ["one fatal request", "one fatal request, routers restart"]
)
def test_fatal_request_is_stopped_and_no_other_is_refused(name: str) -> None:
    """Guards against a service that stays down because one fatal request is retried."""
    for result in crashing.simulate(crashing.PATTERNS[name], "current policy", 2):
        assert result.late_sends <= LATE_SENDS_MAX
        assert result.refused_innocents == 0


def test_simultaneous_crashes_quarantine_no_request() -> None:
    """Guards against quarantining popular requests after a power failure."""
    pattern = crashing.PATTERNS["three servers at once"]
    for result in crashing.simulate(pattern, "current policy", 2):
        assert result.refused_innocents == 0


def test_simulation_shows_the_fault_without_quarantine() -> None:
    """Guards against a simulation in which every policy passes."""
    (result,) = crashing.simulate(
        crashing.PATTERNS["one fatal request"], "no quarantine", 1
    )
    assert result.late_sends > 10 * LATE_SENDS_MAX
