"""Compares the event catalogue in ``docs/events.md`` with the code."""

from __future__ import annotations

import pathlib
import re

from celeryspan import events

CATALOGUE = pathlib.Path(__file__).parent.parent / "docs" / "events.md"


def test_catalogue_lists_every_event_once() -> None:
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \|", CATALOGUE.read_text(), re.MULTILINE)
    listed = [(int(number), name) for number, name in rows]
    assert listed == [(int(event), event.name.lower()) for event in events.Event]
