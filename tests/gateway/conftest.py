"""Fixtures of the gateway's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.gateway import support


@pytest.fixture
def cluster() -> Iterator[support.Cluster]:
    """Return a configured cluster, to which tests add servers and routers."""
    with support.open_cluster() as cluster:
        yield cluster
