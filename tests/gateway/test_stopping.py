"""A planned stop cuts nothing, and a home that dies is replaced."""

from __future__ import annotations

import json
import threading

from celeryspan.gateway import directory, stopping
from tests.gateway import support


def test_stop_serves_old_addresses_and_ends_connections_with_notice(place) -> None:
    """A router is told to stop while callers still hold its address.

    Requests on kept connections would be cut, or new ones refused, by a router that
    ends at once.
    """
    server = place.add_server("planner-1", "planner")
    server.event_seconds = 0.05
    router = place.start_router()
    kept = router.connect()
    support.ask(kept, "/notes/1")
    stop = router.box.find("stopping")
    threading.Thread(target=stop.begin).start()
    support.wait_for(lambda: router.box.find("front").draining)
    answer = support.ask(kept, "/notes/1", "r2")
    assert answer.status == 200
    assert answer.getheader("Connection") == "close"
    assert router.call("/notes/1", "r3").status == 200
    assert stop.finished.wait(support.WAIT_SECONDS)
    assert len(server.ran) == 3


def test_request_that_comes_late_in_a_stop_is_refused_and_not_cut(place) -> None:
    """A caller with an old address sends a long request just before a router's end.

    It was taken 3.1 s after the signal, ran for four seconds, and was cut when the
    grace was over, though other routers could have served it.
    """
    server = place.add_server("planner-1", "planner")
    router = place.start_router()
    front = router.box.find("front")
    threading.Thread(target=router.box.find("stopping").begin).start()
    support.wait_for(lambda: front.refusing)
    answer = router.call("/notes/1")
    assert answer.status == 503
    assert json.loads(answer.text)["error"]["code"] == "stopping"
    assert server.received == []


def test_refusals_begin_before_the_last_caller_has_learnt_of_the_stop() -> None:
    taken = stopping.KEEPS * directory.KEEP_SECONDS - stopping.TAKEN_MARGIN_SECONDS
    assert 2.5 <= taken < stopping.KEEPS * directory.KEEP_SECONDS


def test_requests_are_served_when_the_home_of_their_pool_has_gone(place) -> None:
    """The router that decides for a pool ends without a word.

    Requests that wait at the others would wait until their timeouts, and new ones too.
    """
    place.add_server("gate-1")
    routers = [place.start_router(f"edge-{number}") for number in range(3)]
    for router in routers:
        membership = router.box.find("membership")
        support.wait_for(lambda found=membership: len(found.alive()) == 3)
    assert routers[0].call("/bookings/1").status == 200
    home = next(r for r in routers if r.box.find("poolhomes").report())
    routers.remove(home)
    home.stop()
    for number, router in enumerate(routers):
        answer = router.call("/calls/1", f"after-{number}", method="GET", body=None)
        assert answer.status == 200
