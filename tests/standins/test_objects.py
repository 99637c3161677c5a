"""The stand-in of the platform's store, restored from an earlier copy."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

import pytest
import urllib3

from standins import objects


@pytest.fixture
def store() -> Iterator[objects.ObjectStore]:
    """Yield a running store."""
    found = objects.ObjectStore()
    found.start()
    yield found
    found.stop()


def get(store: objects.ObjectStore, path: str) -> urllib3.BaseHTTPResponse:
    return urllib3.request("GET", f"http://{store.address}/v1/objects/{path}")


def test_restored_store_has_lost_what_was_written_since_the_copy(store) -> None:
    store.put("servers", "s1", {"state": "ready"})
    copy = store.copy()
    store.put("servers", "s1", {"state": "draining"})
    store.put("servers", "s2", {})
    store.restore(copy)
    assert store.find("servers", "s1")["spec"] == {"state": "ready"}
    assert store.find("servers", "s2") is None
    assert store.put("servers", "s3", {}) == copy.revision + 1


def test_era_rises_with_each_restoration(store) -> None:
    before = get(store, "servers").headers[objects.ERA_HEADER]
    store.restore(store.copy())
    missing = get(store, "servers/s1")
    assert missing.status == HTTPStatus.NOT_FOUND
    assert int(missing.headers[objects.ERA_HEADER]) == int(before) + 1


def test_watch_from_a_lost_revision_is_gone(store) -> None:
    copy = store.copy()
    lost = store.put("servers", "s1", {})
    store.restore(copy)
    assert get(store, f"servers?watch={lost}&wait_ms=50").status == HTTPStatus.GONE
    known = get(store, f"servers?watch={copy.revision}&wait_ms=50")
    assert known.status == HTTPStatus.OK
