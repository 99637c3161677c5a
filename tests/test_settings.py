"""The page on settings and the settings hold together."""

from __future__ import annotations

import pathlib
import re

import pytest

from celeryspan import settings
from celeryspan.gateway import settings as gateway_settings

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"


PRODUCT, PLATFORM = PAGE.read_text().split("## On the users' platform")
OWN = {
    name: field
    for name, field in gateway_settings.Settings.model_fields.items()
    if name not in settings.Settings.model_fields
}


@pytest.mark.parametrize(
    ("page", "fields"), [(PRODUCT, settings.Settings.model_fields), (PLATFORM, OWN)]
)
def test_page_lists_every_key_with_its_default(page: str, fields: dict) -> None:
    rows = dict(re.findall(r"^\| `(\w+)` \| ([^|]+) \|", page, re.MULTILINE))
    assert list(rows) == list(fields)
    for name, field in fields.items():
        if field.is_required():
            assert rows[name] == "required"
        elif field.default:
            assert rows[name] == str(field.default)
