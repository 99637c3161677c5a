"""The page on settings and the settings hold together."""

from __future__ import annotations

import pathlib
import re

from celeryspan import settings

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"


def test_page_lists_every_key_with_its_default() -> None:
    found = re.findall(r"^\| `(\w+)` \| ([^|]+) \|", PAGE.read_text(), re.MULTILINE)
    rows = dict(found)
    assert list(rows) == list(settings.Settings.model_fields)
    for name, field in settings.Settings.model_fields.items():
        if field.is_required():
            assert rows[name] == "required"
        elif field.default:
            assert rows[name] == str(field.default)
