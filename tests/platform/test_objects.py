"""The object API client: calls, refusals, and calls without a response."""

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
    """Yield a running store."""
    found = store_standin.ObjectStore()
    found.start()
    yield found
    found.stop()


@pytest.fixture
def client(store) -> Iterator[objects.ObjectClient]:
    """Yield a client of the store."""
    found = objects.ObjectClient(str(store.address))
    yield found
    found.close()


def test_list_is_read_page_by_page(store, client) -> None:
    store.page_size = 2
    for number in range(5):
        store.put("servers", f"s{number}", {"number": number})
    listing = client.list_objects("servers")
    assert [found.name for found in listing.objects] == [f"s{n}" for n in range(5)]
    assert listing.revision == max(found.revision for found in listing.objects)


def test_change_on_a_page_that_was_read_is_watched(store, client) -> None:
    """Guards against a change between two pages that is missed until the next one."""
    store.page_size = 1
    for number in range(2):
        store.put("servers", f"s{number}", {"number": number})

    def change_once(_: int) -> None:
        client._record_era = lambda _: None
        store.put("servers", "s0", {"number": 7})

    client._record_era = change_once
    listing = client.list_objects("servers")
    assert [found.spec["number"] for found in listing.objects] == [0, 1]
    changes = client.watch("servers", listing.revision, 0.0).changes
    assert [found.object.spec["number"] for found in changes] == [7]


def test_watch_timeout_is_independent_of_the_connect_timeout(store, client) -> None:
    """The change arrives after the connect timeout has passed.

    A watch limited by the connect timeout would always fail, and routers would learn of
    a leaving server seconds late, from the periodic list.
    """
    at = client.list_objects("servers").revision
    wait = objects.CONNECT_TIMEOUT_SECONDS + 0.3
    threading.Timer(wait, store.put, ("servers", "s1", {})).start()
    changes = client.watch("servers", at, 5.0)
    assert [change.object.name for change in changes.changes] == ["s1"]
    assert client.watch("servers", changes.revision, 0.05).changes == ()


def test_watch_reports_a_deletion(store, client) -> None:
    store.put("servers", "s1", {})
    at = client.list_objects("servers").revision
    store.remove("servers", "s1")
    (change,) = client.watch("servers", at, 1.0).changes
    assert change.is_deleted and change.object.name == "s1"


def test_watch_of_compacted_history_raises_history_gone(store, client) -> None:
    at = client.list_objects("servers").revision
    store.put("servers", "s1", {})
    store.compact()
    with pytest.raises(errors.HistoryGone):
        client.watch("servers", at, 1.0)


def test_write_at_an_old_revision_conflicts(client) -> None:
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


def test_call_without_a_response_may_have_been_executed(store, client) -> None:
    store.faults.lose_answers = 1
    with pytest.raises(errors.StoreUnavailable) as caught:
        client.create("routers", "edge-1", {})
    assert not isinstance(caught.value, errors.StoreRefused)
    assert client.get("routers", "edge-1").spec == {}


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_was_not_executed(store, client, status: int) -> None:
    store.faults.refuse_status = status
    with pytest.raises(errors.StoreRefused):
        client.create("routers", "edge-1", {})
    store.faults.refuse_status = 0
    with pytest.raises(errors.NotFound):
        client.get("routers", "edge-1")


@pytest.mark.parametrize("malformed", [{}, None, {"metadata": {"name": 7}}, "bytes"])
def test_malformed_object_does_not_hide_others(store, client, malformed) -> None:
    """Another system writes a malformed object, here the last one of a page.

    If the list ended there, every router would lose all servers after it.
    """
    store.page_size = 2
    for number in range(4):
        store.put("servers", f"s{number}", {"number": number})
    store._objects["servers"]["s1"] = malformed
    listing = client.list_objects("servers")
    assert [found.name for found in listing.objects] == ["s0", "s2", "s3"]
    at = listing.revision
    store._changes.append((at + 1, "servers", malformed, False))
    store._revision = at + 1
    store.put("servers", "s9", {})
    changes = client.watch("servers", at, 1.0)
    assert [change.object.name for change in changes.changes] == ["s9"]


def test_page_without_a_readable_object_is_an_error(store, client) -> None:
    """Treating the page as the end of the list would lose all servers after it."""
    store.page_size = 1
    for number in range(3):
        store.put("servers", f"s{number}", {})
    store._objects["servers"]["s1"] = {}
    with pytest.raises(errors.StoreUnavailable, match="readable"):
        client.list_objects("servers")


@hypothesis.given(data=strategies.binary(max_size=60))
@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
def test_any_body_is_parsed_or_raises_store_unavailable(data: bytes) -> None:
    client = objects.ObjectClient("127.0.0.1:1")
    try:
        assert isinstance(client._parse(data, "GET servers"), dict)
    except errors.StoreUnavailable as error:
        assert error.step == "GET servers"


def test_invalid_utf8_affects_only_its_own_value(client) -> None:
    found = client._parse(b'{"entries":[{"a":"\xff\xfe"},{"b":1}]}', "GET servers")
    assert found["entries"][1] == {"b": 1}


def test_answer_without_an_era_belongs_to_the_one_stated_last(store, client) -> None:
    """Guards against answers that are ignored for ever once the store states no era."""
    store.put("servers", "s1", {})
    era = client.list_objects("servers").era
    store.era = None
    listing = client.list_objects("servers")
    assert listing.era == listing.objects[0].era == era > 0


def test_list_across_a_restoration_counts_as_no_answer(store, client) -> None:
    """Guards against a list whose pages are of two eras."""
    store.page_size = 1
    for number in range(2):
        store.put("servers", f"s{number}", {})
    copy = store.copy()

    def restore_once(era: int) -> None:
        if store.era == 1:
            store.restore(copy)

    client._record_era = restore_once
    with pytest.raises(errors.StoreUnavailable, match="two pages"):
        client.list_objects("servers")
    assert len(client.list_objects("servers").objects) == 2


@pytest.mark.parametrize("era", ["", "-1", "1.5", "9" * 10, "one"])
def test_malformed_era_counts_as_no_answer(store, client, era) -> None:
    store.era = era
    with pytest.raises(errors.StoreUnavailable, match="expected an era"):
        client.list_objects("servers")
