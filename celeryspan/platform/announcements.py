"""Parses what backend servers announce about themselves in their answers."""

from __future__ import annotations

import math
from collections.abc import Callable

from celeryspan import catalog
from celeryspan.platform import names

LEAVING_VALUE = "1"

REST_STATUS = 503
"""With any other status, ``Retry-After`` is meant for the caller."""

GetHeader = Callable[[str], str | None]


def read(status: int, get_header: GetHeader) -> catalog.Announcement | None:
    """Parse the head of an answer; returns None if it announces nothing.

    Parameters
    ----------
    get_header : callable
        Returns the value of a header, or None.
    """
    leaving = get_header(names.LEAVING)
    rest = get_header(names.RETRY_AFTER) if status == REST_STATUS else None
    is_leaving = leaving is not None and leaving.strip() == LEAVING_VALUE
    if rest is None:
        return catalog.Announcement(is_leaving) if is_leaving else None
    return catalog.Announcement(is_leaving, _parse_seconds(rest), rest)


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan
