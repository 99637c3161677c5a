"""Calls of the store, and what a call without an answer may have done."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import errors
from celeryspan.platform import objects
from standins import objects as store_standin


@pytest.fixture
def store() -> Iterator[store_standin.ObjectStore]:
    """Return a running store."""
    found = store_standin.ObjectStore()
    found.start()
    yield found
    found.stop()


@pytest.fixture
def client(store) -> Iterator[objects.ObjectClient]:
    """Return a client of it."""
    found = objects.ObjectClient(str(store.address))
    yield found
    found.close()


def test_list_is_read_page_by_page(store, client) -> None:
    store.page = 2
    for number in range(5):
        store.put("servers", f"s{number}", {"number": number})
    listing = client.list_objects("servers")
    assert [found.name for found in listing.objects] == [f"s{n}" for n in range(5)]
    assert listing.at == max(found.revision for found in listing.objects)


def test_watch_waits_for_as_long_as_it_says(store, client) -> None:
    """A change comes later than a connection may take to open.

    A watch that ends by that limit sees nothing but failures, and routers learn of a
    leaving server by lists alone, seconds late.
    """
    at = client.list_objects("servers").at
    wait = objects.CONNECT_SECONDS + 0.3
    threading.Timer(wait, store.put, ("servers", "s1", {})).start()
    changes = client.watch("servers", at, 5.0)
    assert [change.object.name for change in changes.changes] == ["s1"]
    assert client.watch("servers", changes.at, 0.05).changes == ()


def test_watch_shows_a_deletion(store, client) -> None:
    store.put("servers", "s1", {})
    at = client.list_objects("servers").at
    store.remove("servers", "s1")
    (change,) = client.watch("servers", at, 1.0).changes
    assert change.is_deleted and change.object.name == "s1"


def test_watch_of_a_forgotten_history_says_so(store, client) -> None:
    at = client.list_objects("servers").at
    store.put("servers", "s1", {})
    store.compact()
    with pytest.raises(errors.HistoryGone):
        client.watch("servers", at, 1.0)


def test_writes_of_another_revision_lose(client) -> None:
    made = client.create("routers", "edge-1", {"life": 1})
    with pytest.raises(errors.Conflict):
        client.create("routers", "edge-1", {"life": 2})
    changed = client.replace("routers", "edge-1", {"life": 2}, made.revision)
    with pytest.raises(errors.Conflict):
        client.replace("routers", "edge-1", {"life": 3}, made.revision)
    client.replace_status("routers", "edge-1", {"seen": True}, changed.revision)
    found = client.get("routers", "edge-1")
    assert (found.spec, found.status) == ({"life": 2}, {"seen": True})
    with pytest.raises(errors.Conflict):
        client.delete("routers", "edge-1", made.revision)
    client.delete("routers", "edge-1", found.revision)
    with pytest.raises(errors.NotFound):
        client.get("routers", "edge-1")


def test_call_without_an_answer_may_have_been_done(store, client) -> None:
    store.faults.lose_answers = 1
    with pytest.raises(errors.StoreUnavailable) as caught:
        client.create("routers", "edge-1", {})
    assert not isinstance(caught.value, errors.StoreRefused)
    assert client.get("routers", "edge-1").spec == {}


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_did_nothing(store, client, status: int) -> None:
    store.faults.refuse_status = status
    with pytest.raises(errors.StoreRefused):
        client.create("routers", "edge-1", {})
    store.faults.refuse_status = 0
    with pytest.raises(errors.NotFound):
        client.get("routers", "edge-1")


@pytest.mark.parametrize("broken", [{}, None, {"metadata": {"name": 7}}, "bytes"])
def test_object_that_cannot_be_read_hides_no_other(store, client, broken) -> None:
    """Another writer leaves an object that is none at the end of a page.

    If it ended the list, every router would lose all servers behind it.
    """
    store.page = 2
    for number in range(4):
        store.put("servers", f"s{number}", {"number": number})
    store._objects["servers"]["s1"] = broken
    listing = client.list_objects("servers")
    assert [found.name for found in listing.objects] == ["s0", "s2", "s3"]
    at = listing.at
    store._changes.append((at + 1, "servers", broken, False))
    store._revision = at + 1
    store.put("servers", "s9", {})
    changes = client.watch("servers", at, 1.0)
    assert [change.object.name for change in changes.changes] == ["s9"]


def test_page_without_a_readable_object_is_an_error_and_no_end(store, client) -> None:
    """The list would end early, and all servers behind that page would be gone."""
    store.page = 1
    for number in range(3):
        store.put("servers", f"s{number}", {})
    store._objects["servers"]["s1"] = {}
    with pytest.raises(errors.StoreUnavailable, match="readable"):
        client.list_objects("servers")


@hypothesis.given(data=strategies.binary(max_size=60))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_body_is_read_or_is_an_error_of_the_store(data: bytes) -> None:
    client = objects.ObjectClient("127.0.0.1:1")
    try:
        assert isinstance(client._parse(data, "GET servers"), dict)
    except errors.StoreUnavailable as error:
        assert error.step == "GET servers"


def test_bytes_that_are_no_text_spoil_their_own_value_only(client) -> None:
    found = client._parse(b'{"entries":[{"a":"\xff\xfe"},{"b":1}]}', "GET servers")
    assert found["entries"][1] == {"b": 1}
