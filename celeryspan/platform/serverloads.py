"""Parses the load that backend servers report in their answers."""

from __future__ import annotations

import math

import msgspec

from celeryspan import catalog
from celeryspan.platform import announcements, names

REPORT_VALUES = 4
"""Running, waiting, slots and pace. Older deployments omit the pace, or the header."""

COUNT_MAX = 65_535
"""Largest number of requests or slots that messages between routers can hold."""

PACE_RANGE = (0.2, 10.0)
"""A report beyond these is more likely wrong than a VM that fast or that slow."""


class InvalidLoad(msgspec.Struct, frozen=True):
    """A report that can't be used, as received."""

    text: str


def read(
    get_header: announcements.GetHeader,
) -> catalog.ServerLoad | InvalidLoad | None:
    """Parse the report in the head of an answer; returns None if it has no pace."""
    text = get_header(names.LOAD)
    if text is None:
        return None
    values = text.split(",")
    if len(values) < REPORT_VALUES:
        return None
    try:
        running, waiting, slots = (int(value) for value in values[:3])
        (percent,) = (float(value) for value in values[3:])
    except ValueError:
        return InvalidLoad(text)
    counts_valid = (
        0 <= running <= COUNT_MAX
        and 0 <= waiting <= COUNT_MAX
        and 0 < slots <= COUNT_MAX
    )
    if not counts_valid or not 0.0 <= percent < math.inf:
        return InvalidLoad(text)
    low, high = PACE_RANGE
    return catalog.ServerLoad(
        running, waiting, slots, min(max(percent / 100, low), high)
    )
