"""A planned stop aborts no requests, and a pool's home that dies is replaced."""

from __future__ import annotations

import json
import threading

from celeryspan.gateway import directory, stopping
from tests.gateway import support


def test_stopping_router_serves_callers_that_still_have_its_address(cluster) -> None:
    """A router stops while callers still have its address and open connections.

    If it ended at once, it would cut requests on open connections and refuse new ones.
    """
    server = cluster.add_server("planner-1", "planner")
    server.event_seconds = 0.05
    router = cluster.start_router()
    connection = router.connect()
    support.send_request(connection, "/notes/1")
    stop = router.container.find("stopping")
    threading.Thread(target=stop.begin).start()
    support.wait_for(lambda: router.container.find("front").draining)
    answer = support.send_request(connection, "/notes/1", "r2")
    assert answer.status == 200
    assert answer.getheader("Connection") == "close"
    assert router.call("/notes/1", "r3").status == 200
    assert stop.finished.wait(support.WAIT_SECONDS)
    assert len(server.ran) == 3


def test_request_late_in_a_stop_is_refused_and_not_aborted(cluster) -> None:
    """A caller with a cached address sends a long request shortly before the end.

    A request accepted 3.1 s after the signal ran for four seconds and was cut at the
    end of the grace period, though other routers could have served it.
    """
    server = cluster.add_server("planner-1", "planner")
    router = cluster.start_router()
    front = router.container.find("front")
    threading.Thread(target=router.container.find("stopping").begin).start()
    support.wait_for(lambda: front.refusing)
    answer = router.call("/notes/1")
    assert answer.status == 503
    assert json.loads(answer.text)["error"]["code"] == "stopping"
    assert server.received == []


def test_refusals_begin_before_the_last_cached_address_expires() -> None:
    accepted_seconds = (
        stopping.CACHED_TTLS_MAX * directory.ADDRESSES_TTL_SECONDS
        - stopping.REFUSAL_MARGIN_SECONDS
    )
    assert (
        2.5
        <= accepted_seconds
        < stopping.CACHED_TTLS_MAX * directory.ADDRESSES_TTL_SECONDS
    )


def test_requests_are_served_after_the_home_of_their_pool_has_stopped(cluster) -> None:
    """The router that is the home of a pool stops.

    Without a new home, requests on the other routers would wait until they time out.
    """
    cluster.add_server("gate-1")
    routers = [cluster.start_router(f"edge-{number}") for number in range(3)]
    for router in routers:
        membership = router.container.find("membership")
        support.wait_for(lambda found=membership: len(found.alive()) == 3)
    assert routers[0].call("/bookings/1").status == 200
    home = next(r for r in routers if r.container.find("poolhomes").report())
    routers.remove(home)
    home.stop()
    for number, router in enumerate(routers):
        answer = router.call("/calls/1", f"after-{number}", method="GET", body=None)
        assert answer.status == 200
