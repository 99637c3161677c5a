"""The page on settings and the settings hold together."""

from __future__ import annotations

import pathlib
import re

import msgspec
import pytest

from celeryspan import settings
from celeryspan.gateway import settings as gateway_settings

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"


PRODUCT, PLATFORM = PAGE.read_text().split("## On the users' platform")
SHARED = {each.name: each for each in msgspec.structs.fields(settings.Settings)}
OWN = {
    each.name: each
    for each in msgspec.structs.fields(gateway_settings.Settings)
    if each.name not in SHARED
}


@pytest.mark.parametrize(("page", "fields"), [(PRODUCT, SHARED), (PLATFORM, OWN)])
def test_page_lists_every_key_with_its_default(page: str, fields: dict) -> None:
    rows = dict(re.findall(r"^\| `(\w+)` \| ([^|]+) \|", page, re.MULTILINE))
    assert list(rows) == list(fields)
    for name, field in fields.items():
        if field.required:
            assert rows[name] == "required"
        elif field.default:
            assert rows[name] == str(field.default)
