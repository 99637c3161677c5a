"""The stand-ins and routers of the gateway's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.gateway import support


@pytest.fixture
def place() -> Iterator[support.Place]:
    """Return a store with a configuration; servers and routers are added to it."""
    with support.open_place() as found:
        yield found
