"""The entry of a router in a store that is restored from a copy."""

from __future__ import annotations

import pytest

from celeryspan.gateway import fleet
from celeryspan.platform import names
from tests.gateway import support


@pytest.fixture(autouse=True)
def _check_soon(monkeypatch) -> None:
    monkeypatch.setattr(fleet, "CHECK_DELAY_SECONDS_MAX", 0.2)


def find_peer_address(cluster: support.Cluster) -> str | None:
    """Return the address in the stored entry of the router."""
    found = cluster.store.find(names.ROUTER_KIND, "edge-1")
    return found["spec"]["peer_address"] if found else None


def test_entry_that_the_store_has_lost_is_written_again(cluster) -> None:
    """Guards against a router that others can't find, as it once wrote its entry."""
    copy = cluster.store.copy()
    router = cluster.start_router()
    support.wait_for(lambda: find_peer_address(cluster))
    cluster.store.restore(copy)
    support.wait_for(lambda: find_peer_address(cluster) == router.settings.peer_address)


def test_earlier_address_in_the_copy_is_replaced(cluster) -> None:
    """Guards against peers that connect to an address of an earlier start."""
    earlier = {"peer_address": "127.0.0.1:1", "data_centre": "hala-a"}
    cluster.store.put(names.ROUTER_KIND, "edge-1", earlier)
    copy = cluster.store.copy()
    router = cluster.start_router()
    own = router.settings.peer_address
    support.wait_for(lambda: find_peer_address(cluster) == own)
    cluster.store.restore(copy)
    support.wait_for(lambda: find_peer_address(cluster) == own)
