"""A router that is asked for more than it can pass on hands requests to others."""

from __future__ import annotations

import random

import pytest

from celeryspan import ids, states
from celeryspan.decisions import beliefs, handovers
from celeryspan.platform import names
from celeryspan.wire import messages
from tests.gateway import support

MARK = names.HANDED_OVER.encode()


def start_two(place) -> tuple[support.Router, support.Router]:
    """Start two routers that know each other; the first one is full."""
    first, second = place.start_router("edge-1"), place.start_router("edge-2")
    for router in (first, second):
        members = router.box.find("membership")
        support.wait_for(
            lambda members=members: (
                len(members.alive()) == 2
                and all(each.member.generation for each in members.list_beliefs())
            )
        )
    fill(first)
    return first, second


def fill(router: support.Router) -> None:
    """Let a router take nothing more."""
    router.box.find("front")._overload.admits = lambda _: False


def test_full_router_hands_a_request_over(place) -> None:
    """All callers of one account use one small VM and ignore the list of routers.

    It refused nine of ten of their requests while the routers beside it idled.
    """
    server = place.add_server("gate-1")
    first, second = start_two(place)
    answer = first.call("/bookings/7?stand=12", headers={"X-Note": "urgent"})
    assert (answer.status, answer.text) == (200, b"served")
    assert answer.getheader("Celeryspan-Request-Id") == "r1"
    (seen,) = server.seen
    assert (seen.target, seen.body) == ("/bookings/7?stand=12", b"asked")
    assert seen.headers["x-note"] == "urgent"
    assert names.HANDED_OVER.lower() not in seen.headers
    front = first.box.find("front")
    support.wait_for(lambda: front.count() == 0)
    assert second.box.find("front").count() == 0


def test_stream_comes_whole_through_a_full_router(place) -> None:
    server = place.add_server("planner-1", "planner")
    server.event_seconds = 0.01
    first, _ = start_two(place)
    answer = first.call("/drafts/1")
    assert answer.status == 200
    assert answer.text.count(b"id:") == server.events
    assert server.ran == ["r1"]


def test_request_is_handed_over_once(place) -> None:
    """All routers of a data centre are full.

    Handed from one to the next a request would go round until its time is over, and
    cost each of them a part of the processor that they lack.
    """
    server = place.add_server("gate-1")
    first, second = start_two(place)
    fill(second)
    answer = first.call("/bookings/1")
    assert answer.status == 503
    assert answer.getheader("Retry-After")
    assert server.seen == []


def test_router_that_has_died_is_passed_over(place) -> None:
    """The router to which a request is handed was killed a moment ago."""
    server = place.add_server("gate-1")
    first, second = start_two(place)
    second.box.find("front")._server.stop_listening()
    answer = first.call("/bookings/1")
    assert answer.status == 503
    assert answer.getheader("Retry-After")
    assert server.seen == []


def test_run_ends_when_the_caller_of_a_handed_request_leaves(place) -> None:
    server = place.add_server("gate-1")
    server.script.append("silent")
    first, second = start_two(place)
    caller = first.connect()
    headers = {"Host": support.HOST, "Celeryspan-Credential": support.KEY}
    caller.request("POST", "/bookings/1", body=b"", headers=headers)
    support.wait_for(lambda: server.ran)
    caller.close()
    support.wait_for(server.left_early.is_set)
    support.wait_for(lambda: first.box.find("front").count() == 0)
    support.wait_for(lambda: second.box.find("front").count() == 0)


def test_answer_that_breaks_off_does_not_look_whole(place) -> None:
    """The server stops in the middle of a stream that nobody may resume."""
    server = place.add_server("planner-1", "planner")
    server.script.append("cut_stream")
    first, _ = start_two(place)
    with pytest.raises(Exception):  # noqa: B017
        first.call("/notes/1")
    assert server.ran == ["r1"]


def test_mark_keeps_all_but_what_concerns_the_connection() -> None:
    request = (
        b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n"
        b"Content-Length: 3\r\n\r\n\r\nb"
    )
    marked = handovers.mark(request, MARK)
    assert marked == (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        b"Connection: close\r\n" + MARK + b": 1\r\n\r\n\r\nb"
    )
    assert handovers.mark(marked, MARK) is None


def make_belief(name: str, **values: object) -> beliefs.Belief:
    """Return what is believed of a router that takes part."""
    given = {
        "router": ids.RouterId(name),
        "incarnation": ids.Incarnation(1),
        "state": states.MemberState.ALIVE,
        "data_centre": ids.DataCentreId("hala-a"),
        "caller_address": ids.Address("10.0.0.1", 1),
        "peer_address": ids.Address("10.0.0.1", 2),
        "generation": ids.Generation(1),
        "refutations": 0,
        **values,
    }
    return beliefs.Belief(messages.Member(**given), 0.0)


def test_only_routers_that_can_serve_are_chosen() -> None:
    known = [
        make_belief("edge-2", state=states.MemberState.SUSPECT),
        make_belief("edge-3", state=states.MemberState.LEAVING),
        make_belief("edge-4", generation=ids.Generation(0)),
        make_belief("edge-5", data_centre=ids.DataCentreId("hala-b")),
        make_belief("edge-6"),
        make_belief("edge-7"),
    ]
    generator = random.Random(1)

    def choose(count: int, tried: set[str]) -> str | None:
        found = handovers.choose_peer(known[:count], "hala-a", tried, 1.0, generator)
        return found and found.router

    assert {choose(6, set()) for _ in range(50)} == {"edge-6", "edge-7"}
    assert choose(6, {"edge-6"}) == "edge-7"
    assert choose(5, {"edge-6"}) is None
