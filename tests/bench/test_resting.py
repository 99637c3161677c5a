"""Tests of the report on the usage of an idle fleet."""

from __future__ import annotations

import collections

from bench import resting


def test_description_shows_usage_per_router_and_calls_by_kind() -> None:
    before = resting.Sample(10.0, 4.0, collections.Counter({"GET config": 2}))
    calls = collections.Counter({"GET config": 5, "WATCH servers": 20})
    after = resting.Sample(20.0, 6.0, calls)
    line = resting.describe("at rest", before, after, 4)
    assert line == (
        "at rest: 10.0 s, 0.500 s of a core each (5.00%), 23 calls to the store "
        "(2.30 a second: GET config 3, WATCH servers 20)"
    )
