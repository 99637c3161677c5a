"""Readers record as applied only what has been applied."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import pytest

from celeryspan import storedobjects
from celeryspan.decisions import relays
from celeryspan.gateway import followers
from celeryspan.platform import objects
from standins import objects as store_standin, sampleconfig
from tests.gateway import support


class FailingHandler:
    """Fails the first calls, then records the names of the objects."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.names: set[str] = set()

    def replace(self, listing: storedobjects.Listing) -> None:
        self._fail()
        self.names = {each.name for each in listing.objects}

    def apply(self, changes: storedobjects.Changes) -> None:
        self._fail()
        self.names |= {change.object.name for change in changes.changes}

    def record_store_unreachable(self) -> None:
        """Do nothing."""

    def record_store_reachable(self) -> None:
        """Do nothing."""

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("not applied")


class Publisher:
    """Sends nothing."""

    def publish(self, kind: str) -> None:
        """Do nothing."""

    def record_era(self, era: int) -> None:
        """Do nothing."""

    def send_held(self, kind: str) -> None:
        """Do nothing."""


@pytest.fixture
def store() -> Iterator[store_standin.ObjectStore]:
    """Return a store."""
    store = store_standin.ObjectStore()
    store.start()
    yield store
    store.stop()


@pytest.mark.parametrize("failures", [1, 2])
def test_objects_that_a_handler_failed_to_apply_are_passed_on_again(
    store, failures: int
) -> None:
    """Guards against a router that never takes a list because of one failure."""
    store.put("servers", "s1", {})
    handler = FailingHandler(failures)
    client = objects.ObjectClient(str(store.address))
    follower = followers.Follower(client, "servers", handler, "edge-1")
    duties = relays.choose_duties("edge-1", {"edge-1": "hala-a"})
    follower.relays.set_duties(duties, is_settled=True)
    follower.start(Publisher())
    with contextlib.closing(client):
        support.wait_for(lambda: handler.names == {"s1"})
        handler.failures = 1
        store.put("servers", "s2", {})
        support.wait_for(lambda: handler.names == {"s1", "s2"})
        follower.stop()


@pytest.mark.parametrize("value", [10**400, {"deep": None}, "\x00"])
def test_router_starts_beside_an_entry_of_another_writer(value: object) -> None:
    """Guards against restarted routers that an entry of another writer keeps out."""
    with contextlib.ExitStack() as stack:
        cluster = support.Cluster(stack)
        cluster.add_server("s1")
        entry = sampleconfig.make_entry("gate", "127.0.0.1:9", cold_left_ms=value)
        cluster.store.put("servers", "foreign", entry)
        cluster.store.put("config", "main", support.make_configuration(1))
        router = support.Router("edge-1", str(cluster.store.address))
        stack.callback(router.stop)
        servers = router.container.find("servers")
        support.wait_for(lambda: "s1" in servers.usable())
        assert "foreign" not in servers.usable()
