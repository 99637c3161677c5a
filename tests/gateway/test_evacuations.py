"""Requests while a data centre is evacuated, and after it is restored."""

from __future__ import annotations

import time

from tests.gateway import support

PROPAGATION_SECONDS = 1.0
"""Time after which a change must be in force on every router."""


def send_requests(router: support.Router, count: int, prefix: str) -> list[int]:
    """Send repeatable requests one after the other; return their statuses."""
    return [
        router.call(f"/calls/{prefix}{number}", f"{prefix}{number}").status
        for number in range(count)
    ]


def test_evacuated_data_centre_gets_no_requests(cluster) -> None:
    """An operator empties a data centre for maintenance.

    Requests that routers keep sending there end when its servers stop.
    """
    near = cluster.add_server("gate-1", zone="hala-a")
    far = cluster.add_server("gate-2", zone="hala-b")
    routers = [cluster.start_router("edge-1"), cluster.start_router("edge-2")]
    cluster.store.put("evacuations", "hala-a", {})
    time.sleep(PROPAGATION_SECONDS)
    received = len(near.received)
    for index, router in enumerate(routers):
        assert send_requests(router, 10, f"a{index}-") == [200] * 10
    assert len(near.received) == received
    assert len(far.received) >= 20


def test_restored_data_centre_gets_requests_again(cluster) -> None:
    near = cluster.add_server("gate-1", zone="hala-a")
    cluster.add_server("gate-2", zone="hala-b")
    router = cluster.start_router()
    cluster.store.put("evacuations", "hala-a", {})
    time.sleep(PROPAGATION_SECONDS)
    cluster.store.remove("evacuations", "hala-a")
    support.wait_for(lambda: "gate-1" in router.container.find("servers").usable())
    assert send_requests(router, 10, "b") == [200] * 10
    assert near.received


def test_router_that_starts_during_an_evacuation_respects_it(cluster) -> None:
    """A router restarts while a data centre is being emptied.

    It must not send requests there before it has read the list of evacuations.
    """
    near = cluster.add_server("gate-1", zone="hala-a")
    cluster.add_server("gate-2", zone="hala-b")
    cluster.store.put("evacuations", "hala-a", {})
    router = support.Router("edge-1", str(cluster.store.address))
    try:
        support.wait_for(lambda: router.container.find("servers").usable())
        assert "gate-1" not in router.container.find("servers").usable()
        support.wait_for(
            lambda: router.container.find("catalogues").current() is not None
        )
        assert send_requests(router, 5, "c") == [200] * 5
    finally:
        router.stop()
    assert near.received == []


def test_request_is_refused_at_once_if_all_its_servers_are_evacuated(cluster) -> None:
    """Every server of a service is in an evacuated data centre.

    Its requests can't be served, so callers must not wait for the timeout.
    """
    server = cluster.add_server("gate-1", zone="hala-a")
    router = cluster.start_router()
    cluster.store.put("evacuations", "hala-a", {})
    time.sleep(PROPAGATION_SECONDS)
    started_at = time.monotonic()
    answer = router.call("/calls/1")
    assert answer.status == 503
    assert answer.getheader("Retry-After")
    assert time.monotonic() - started_at < 0.2
    assert server.received == []
