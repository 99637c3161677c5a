"""The settings page lists every setting with its default."""

from __future__ import annotations

import pathlib
import re

import msgspec
import pytest

from celeryspan import settings
from celeryspan.gateway import settings as gateway_settings

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"

PRODUCT_PAGE, PLATFORM_PAGE = PAGE.read_text().split("## On the users' platform")
SHARED_FIELDS = {
    field.name: field for field in msgspec.structs.fields(settings.Settings)
}
PLATFORM_FIELDS = {
    field.name: field
    for field in msgspec.structs.fields(gateway_settings.Settings)
    if field.name not in SHARED_FIELDS
}


@pytest.mark.parametrize(
    ("page", "fields"),
    [(PRODUCT_PAGE, SHARED_FIELDS), (PLATFORM_PAGE, PLATFORM_FIELDS)],
)
def test_page_lists_every_setting_with_its_default(page: str, fields: dict) -> None:
    rows = dict(re.findall(r"^\| `(\w+)` \| ([^|]+) \|", page, re.MULTILINE))
    assert list(rows) == list(fields)
    for name, field in fields.items():
        if field.required:
            assert rows[name] == "required"
        elif field.default:
            assert rows[name] == str(getattr(field.default, "value", field.default))
