"""A planned stop aborts no requests, and a pool's home that dies is replaced."""

from __future__ import annotations

import http.client
import json
import pathlib
import threading
import time

from celeryspan.gateway import directory, stopping
from tests.gateway import processes, support

SHORT_GRACE_SECONDS = 3.0
"""A grace period that ends before callers have forgotten a router's address."""


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


def test_short_grace_period_cuts_no_request_that_was_taken(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """Guards against requests that are taken until the end of the process cuts them."""
    server = cluster.add_server("planner-1", "planner")
    server.event_seconds = 0.03
    whole: set[str] = set()

    def call(request: str) -> None:
        connection = router.connect()
        try:
            answer = support.send_request(
                connection, "/notes/1", request, body=request.encode()
            )
        except (OSError, http.client.HTTPException):
            return
        if answer.status == 200:
            whole.add(request)

    with processes.run_router(
        tmp_path, str(cluster.store.address), grace_seconds=SHORT_GRACE_SECONDS
    ) as router:
        router.terminate()
        kill_at = time.monotonic() + SHORT_GRACE_SECONDS
        threads = []
        while time.monotonic() < kill_at:
            request = f"r{len(threads)}"
            threads.append(support.run_in_thread(lambda name=request: call(name)))
            time.sleep(0.02)
        router.stop()
        for thread in threads:
            thread.join(support.WAIT_SECONDS)
    assert whole
    assert set(server.ran) == whole


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
