"""What callers get when backend servers fail, and what may run twice."""

from __future__ import annotations

import http.client
import threading
import time

import pytest

from tests.gateway import support


def count_runs(*servers) -> int:
    """Return how often requests ran on some servers."""
    return sum(len(server.ran) for server in servers)


def test_request_that_a_full_server_rejects_is_promised_not_to_have_run(
    cluster,
) -> None:
    server = cluster.add_server("gate-1")
    server.script.append("full")
    router = cluster.start_router()
    answer = router.call("/bookings/1")
    assert answer.status == 503
    assert answer.getheader("Retry-After")
    assert answer.getheader("Celeryspan-Server-Stamp") is None
    assert server.ran == []


@pytest.mark.parametrize("failure", ["reset", "cut", "unsigned"])
def test_request_whose_answer_is_lost_runs_once_and_is_promised_nothing(
    cluster, failure: str
) -> None:
    """A booking runs and its answer is lost on the way.

    A repeat would book twice; a promise that it had not run would make the caller
    book again.
    """
    servers = [cluster.add_server("gate-1"), cluster.add_server("gate-2")]
    for server in servers:
        server.script.append(failure)
    router = cluster.start_router()
    answer = router.call("/bookings/1")
    assert answer.status == 502
    assert count_runs(*servers) == 1


@pytest.mark.parametrize("failure", ["reset", "cut", "unsigned", "error", "full"])
def test_repeatable_request_is_sent_to_another_server(cluster, failure: str) -> None:
    servers = [cluster.add_server("gate-1"), cluster.add_server("gate-2")]
    router = cluster.start_router()
    servers[0].script.append(failure)
    servers[1].script.append(failure)
    answer = router.call("/calls/1", method="GET", body=None)
    # Each server fails its first request: the second attempt fails as well.
    assert answer.status in (500, 502, 503)
    assert len(servers[0].seen) == len(servers[1].seen) == 1
    answer = router.call("/calls/1", "r2", method="GET", body=None)
    assert (answer.status, answer.text) == (200, b"served")


def test_failure_of_a_server_is_passed_on_as_it_is(cluster) -> None:
    server = cluster.add_server("gate-1")
    server.script.append("error")
    router = cluster.start_router()
    answer = router.call("/bookings/1")
    assert (answer.status, answer.text) == (500, b"error")
    assert answer.getheader("Celeryspan-Server-Stamp")


def test_second_answer_reaches_nobody(cluster) -> None:
    """A server answers twice on a connection that is then used again.

    The next caller would get the answer to somebody else's booking.
    """
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    server.script.extend(["twice", "serve"])
    for request in ("r1", "r2", "r3"):
        answer = router.call("/bookings/1", request)
        assert answer.status == 200
        assert answer.getheader("Celeryspan-Request-Id") == request
    assert server.ran == ["r1", "r2", "r3"]


def test_answer_without_length_ends_with_its_connection(cluster) -> None:
    server = cluster.add_server("gate-1")
    server.script.append("unframed")
    router = cluster.start_router()
    answer = router.call("/bookings/1")
    assert (answer.status, answer.text) == (200, b"served")


def test_early_answer_to_a_long_body_is_passed_on(cluster) -> None:
    """A server rejects a long request before it has read it, then reads on.

    A router that first writes the whole body, while the server waits to write, stops
    for good; one that uses the connection again sends a request where the rest of the
    body is due.
    """
    server = cluster.add_server("gate-1")
    server.script.append("early")
    router = cluster.start_router()
    answer = router.call("/bookings/1", body=b"x" * 90_000)
    assert answer.status == 413
    assert answer.getheader("Celeryspan-Server-Stamp")
    assert router.call("/bookings/2", "r2").status == 200


def test_server_at_a_used_address_is_not_mistaken(cluster) -> None:
    """A server is gone and another service's has its address.

    Its 421 says that nothing ran; the router must not send there again.
    """
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    server.name = "another"
    answer = router.call("/bookings/1")
    assert answer.status == 503
    assert server.ran == []
    seen = len(server.seen)
    assert router.call("/bookings/2", "r2").status == 503
    assert len(server.seen) == seen


def test_server_that_accepts_no_connection_is_passed_over(cluster) -> None:
    dead = cluster.add_server("gate-1")
    router = cluster.start_router()
    dead.stop()
    alive = cluster.add_server("gate-2")
    support.wait_for(lambda: "gate-2" in router.box.find("servers").usable())
    for number in range(4):
        assert router.call("/bookings/1", f"r{number}").status == 200
    assert len(alive.ran) == 4


def test_stream_goes_on_at_another_server_without_a_gap(cluster) -> None:
    """A server breaks off in the middle of an event of a stream that may be resumed.

    The caller must get each event once and whole, as if nothing had happened.
    """
    first = cluster.add_server("planner-1", "planner")
    second = cluster.add_server("planner-2", "planner")
    router = cluster.start_router()
    first.script.append("cut_stream")
    answer = router.call("/drafts/1")
    assert second.seen[0].headers["last-event-id"] == "2"
    assert answer.status == 200
    numbers = [line for line in answer.text.split(b"\n") if line.startswith(b"id:")]
    assert numbers == [b"id: %d" % number for number in range(1, 7)]
    assert answer.text.count(b"data: piece 3\n\n") == 1


def test_stream_that_may_not_be_resumed_is_cut_and_not_ended(cluster) -> None:
    servers = [
        cluster.add_server("planner-1", "planner"),
        cluster.add_server("planner-2", "planner"),
    ]
    for server in servers:
        server.script.append("cut_stream")
    router = cluster.start_router()
    with pytest.raises(http.client.IncompleteRead):
        router.call("/notes/1")
    assert count_runs(*servers) == 1


def test_whole_stream_is_passed_on(cluster) -> None:
    cluster.add_server("planner-1", "planner")
    router = cluster.start_router()
    parts = {
        "Celeryspan-Token-Count": "120,40",
        "Celeryspan-Prefix-Hash": "aa:60,bb:40,cc:20",
    }
    answer = router.call("/notes/1", headers=parts)
    assert answer.text.count(b"\n\n") == 6
    assert answer.getheader("Celeryspan-Server-Stamp")


def test_run_ends_when_its_caller_leaves(cluster) -> None:
    """A caller closes its connection while its request runs.

    The server would work for nobody until the request's timeout.
    """
    server = cluster.add_server("gate-1")
    server.script.append("silent")
    router = cluster.start_router()
    caller = router.connect()
    headers = {"Host": support.HOST, "Celeryspan-Credential": support.KEY}
    caller.request("POST", "/bookings/1", body=b"", headers=headers)
    support.wait_for(lambda: server.ran)
    caller.close()
    support.wait_for(server.left_early.is_set)
    places = router.box.find("places")
    support.wait_for(lambda: places.report()["held"] == 0)


def test_request_of_a_caller_that_has_just_left_is_not_sent(cluster) -> None:
    """A router has far more to do than its processor can, and a caller gives up.

    The thread that notices closed connections had not run for most of a second; the
    request got its place meanwhile and was sent for nobody, after its caller's time.
    """
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    front, carrier = router.box.find("front"), router.box.find("carrier")
    front._server.watch.add = lambda *_: None  # It does not come to look.
    connects, left = carrier._connect, threading.Event()

    def connect_late(order, found, progress):
        left.wait(support.WAIT_SECONDS)
        return connects(order, found, progress)

    carrier._connect = connect_late
    caller = router.connect()
    headers = {"Host": support.HOST, "Celeryspan-Credential": support.KEY}
    caller.request("POST", "/bookings/1", body=b"", headers=headers)
    places = router.box.find("places")
    support.wait_for(lambda: places.report()["held"] == 1)
    caller.close()
    left.set()
    support.wait_for(lambda: front.count() == 0)
    assert places.report()["held"] == 0
    assert server.seen == []


def test_request_whose_time_ends_while_a_server_is_reached_is_not_sent(cluster) -> None:
    """A server takes so long to accept a connection that the caller's time is over.

    The request was sent all the same, and its caller was told that it may have run.
    """
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    channels = router.box.find("channels")
    opens = channels.open

    def open_late(entry, *, once_only):
        time.sleep(0.3)
        return opens(entry, once_only=once_only)

    channels.open = open_late
    answer = router.call("/bookings/1", headers={"Celeryspan-Deadline-Ms": "200"})
    assert answer.status == 503
    assert answer.getheader("Retry-After")
    assert server.seen == []


def test_caller_gets_an_answer_at_the_end_of_its_time(cluster) -> None:
    server = cluster.add_server("gate-1")
    server.script.append("silent")
    router = cluster.start_router()
    answer = router.call("/bookings/1", headers={"Celeryspan-Deadline-Ms": "300"})
    assert answer.status == 504
    assert len(server.ran) == 1


def test_stream_of_a_server_that_started_again_goes_on_elsewhere_at_once(
    cluster,
) -> None:
    """An engine goes dark in a stream, and starts again under its id.

    Its old connections stay silent: without the word of its entry the caller would
    wait for its deadline, though another engine could go on.
    """
    first = cluster.add_server("gpu-1", "planner", born=1_000)
    router = cluster.start_router()
    first.script.append("silent")
    answers = []
    headers = {"Celeryspan-Deadline-Ms": "60000", "Celeryspan-Token-Count": "90,6"}
    asking = threading.Thread(
        target=lambda: answers.append(router.call("/drafts/1", headers=headers))
    )
    asking.start()
    support.wait_for(lambda: first.seen)
    second = cluster.add_server("gpu-2", "planner", born=1_500)
    support.wait_for(lambda: "gpu-2" in router.box.find("servers").usable())
    cluster.register_server(first, "planner", born=2_000)
    asking.join(timeout=support.WAIT_SECONDS)
    assert answers and answers[0].status == 200
    assert second.ran == ["r1"]


def test_stream_goes_on_elsewhere_though_the_entry_had_lapsed_in_between(
    cluster,
) -> None:
    """A dark engine's entry lapses, and comes back when the engine has started again.

    A router that compared the two lists alone would take it for a server that is new,
    and leave the stream on the dead connection until its deadline.
    """
    first = cluster.add_server("gpu-1", "planner", born=1_000)
    router = cluster.start_router()
    usable = router.box.find("servers").usable
    first.script.append("silent")
    answers = []
    headers = {"Celeryspan-Deadline-Ms": "60000", "Celeryspan-Token-Count": "90,6"}
    asking = threading.Thread(
        target=lambda: answers.append(router.call("/drafts/1", headers=headers))
    )
    asking.start()
    support.wait_for(lambda: first.seen)
    cluster.store.remove("servers", "gpu-1")
    support.wait_for(lambda: "gpu-1" not in usable())
    second = cluster.add_server("gpu-2", "planner", born=1_500)
    cluster.register_server(first, "planner", born=2_000)
    asking.join(timeout=support.WAIT_SECONDS)
    assert answers and answers[0].status == 200
    assert first.ran + second.ran == ["r1", "r1"]


def test_entry_written_over_by_another_writer_names_no_server(cluster) -> None:
    """Another writer replaces the entry of a server; its address serves no more."""
    server = cluster.add_server("gate-1")
    other = cluster.add_server("gate-2")
    router = cluster.start_router()
    cluster.store.put("servers", "gate-1", {"service": "gate", "address": 7})
    usable = router.box.find("servers").usable
    support.wait_for(lambda: set(usable()) == {"gate-2"})
    for number in range(4):
        assert router.call("/calls/1", f"r{number}").status == 200
    assert (len(server.ran), len(other.ran)) == (0, 4)


def test_caller_that_leaves_late_cuts_nobody_elses_request(cluster) -> None:
    """A caller reads its answer and closes; another request has its server connection.

    The closing was still told to the first request's step, which ended the connection
    to the server: the second caller got 502, and nobody knew whether its booking had
    run. One in some 2,000 calls ended so where callers closed after each answer.
    """
    server = cluster.add_server("planner-1", "planner")
    router = cluster.start_router()
    watch = router.box.find("front")._server.watch
    closings = []
    add = watch.add
    watch.add = lambda sock, callback: (closings.append(callback), add(sock, callback))
    # It closes only in ``closings``: a closing before the answer's end is no late one.
    first = router.connect()
    assert support.send_request(first, "/notes/1", "r1").status == 200
    # The connection is kept after the answer was read, and the engine is asked what it
    # keeps on one of its own.
    support.wait_for(lambda: router.box.find("channels")._by_age and server.lists)
    connections = server.connections
    server.event_seconds = 0.2
    kept = router.connect()
    second: list[bytes] = []
    thread = threading.Thread(
        target=lambda: second.append(support.send_request(kept, "/notes/1", "r2").text)
    )
    thread.start()
    support.wait_for(lambda: "r2" in server.ran)
    closings[0]()
    thread.join()
    assert server.connections == connections, (
        "the second request was to have the connection"
    )
    assert second[0].endswith(b"piece 6\n\n")
