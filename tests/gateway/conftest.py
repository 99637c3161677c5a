"""Fixtures of the gateway's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.gateway import support


@pytest.fixture
def place() -> Iterator[support.Place]:
    """Return a configured cluster, to which tests add servers and routers."""
    with support.open_place() as found:
        yield found
