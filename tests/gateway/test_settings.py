"""Settings of a router on the platform that are derived from others."""

from __future__ import annotations

import pytest

from celeryspan.gateway import settings

ADDRESS = "127.0.0.1:1"


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ({}, None),
        ({"memory_megabytes": 160.0}, 16.0),
        ({"memory_megabytes": 160.0, "held_megabytes_max": 4.0}, 4.0),
    ],
)
def test_buffers_for_slow_callers_fit_the_memory_of_the_vm(
    values: dict[str, float], expected: float | None
) -> None:
    """Guards against buffers that use up the memory of a small VM."""
    found = settings.Settings(
        router="edge-1",
        data_centre="hala-a",
        caller_address=ADDRESS,
        peer_address=ADDRESS,
        ready_address=ADDRESS,
        directory_address=ADDRESS,
        store_address=ADDRESS,
        fleet_keys=("test",),
        **values,
    )
    assert found.held_megabytes == expected
