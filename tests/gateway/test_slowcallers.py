"""Callers that read slowly, on sockets: slots, budget, aborts and time limits."""

from __future__ import annotations

import contextlib
import http.client
import os
import socket
import threading
import types
from collections.abc import Iterator

import pytest

from celeryspan import events, ids
from celeryspan.gateway import callersinks, slowcallers
from celeryspan.services import httpserver
from standins import answerendings, sampleconfig
from tests.gateway import support

EVENT_BYTES = 8192
SOCKET_BUFFER_BYTES = 32_768
OTHER_KEY = "key-of-quay"
BUDGET_MEGABYTES = 0.5
BUDGET_BYTES = int(BUDGET_MEGABYTES * slowcallers.BYTES_PER_MEGABYTE)


@pytest.fixture
def cluster() -> Iterator[support.Cluster]:
    """Return a cluster with two accounts and routes with a long timeout."""
    route = sampleconfig.make_route(
        "/notes/", "stream", "planner", max_attempts=1, timeout_ms=30_000
    )
    accounts = [
        {"name": sampleconfig.ACCOUNT, "api_keys": [sampleconfig.KEY]},
        {"name": "quay", "api_keys": [OTHER_KEY]},
    ]
    configuration = sampleconfig.make_configuration(routes=[route], tenants=accounts)
    with support.open_cluster(configured=False) as cluster:
        cluster.store.put("config", "main", configuration)
        yield cluster


def start_router(cluster: support.Cluster, megabytes: float) -> support.Router:
    """Start a router whose callers' sockets hold little."""
    router = cluster.start_router(held_megabytes_max=megabytes)
    listener = router.container.find("front")._server.socket
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return router


def add_engine(cluster: support.Cluster, events_count: int, **values: object):
    """Start an engine whose streams have events of ``EVENT_BYTES``."""
    engine = cluster.add_server("planner-1", "planner", **values)
    engine.events, engine.event_padding = events_count, EVENT_BYTES
    return engine


@contextlib.contextmanager
def open_stream(
    router: support.Router, request: str, key: str = sampleconfig.KEY
) -> Iterator[http.client.HTTPResponse]:
    """Ask for a stream on a connection that holds little, and read its head."""
    host, _, port = router.settings.caller_address.partition(":")
    connection = http.client.HTTPConnection(host, int(port))
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    connection.sock.settimeout(support.WAIT_SECONDS)
    connection.sock.connect((host, int(port)))
    headers = {
        "Host": support.HOST,
        "Celeryspan-Request-Id": request,
        "Celeryspan-Deadline-Ms": "30000",
        "Celeryspan-Credential": key,
    }
    with contextlib.closing(connection):
        connection.request("POST", "/notes/1", body=b"asked", headers=headers)
        answer = connection.getresponse()
        assert answer.status == 200
        yield answer


def count_events(answer: http.client.HTTPResponse) -> int:
    """Read an answer to its end and return the number of its events."""
    return answer.read().count(b"\n\n")


def get_slow_callers(router: support.Router) -> slowcallers.SlowCallers:
    """Return the service that buffers responses."""
    return router.container.find("slowcallers")


def test_slot_is_released_while_the_caller_still_reads(cluster) -> None:
    """Guards against a slow caller that keeps an engine's only slot."""
    engine = add_engine(cluster, 100, slots=1)
    router = start_router(cluster, 2.0)
    with open_stream(router, "slow") as slow:
        with open_stream(router, "fast") as fast:
            assert count_events(fast) == 100
        assert engine.ran == ["slow", "fast"]
        assert get_slow_callers(router).count_bytes() > 0
        assert (
            b"celeryspan_held_bytes 0.0"
            not in router.container.find("metrics").render()
        )
        assert count_events(slow) == 100
    support.wait_for(lambda: get_slow_callers(router).count_bytes() == 0)


def test_one_slow_reader_in_ten_holds_up_no_other(cluster) -> None:
    """Guards against a slow reader past the budget that delays fast ones."""
    engine = add_engine(cluster, 3000, slots=10)
    router = start_router(cluster, BUDGET_MEGABYTES)
    service = get_slow_callers(router)
    counts, largest, stopped = [], [0], threading.Event()

    def sample() -> None:
        while not stopped.wait(0.001):
            largest[0] = max(largest[0], service.count_bytes())

    def read_fast(number: int) -> None:
        with open_stream(router, f"fast-{number}") as answer:
            counts.append(count_events(answer))

    threads = [threading.Thread(target=read_fast, args=(n,)) for n in range(9)]
    with open_stream(router, "slow") as slow:
        support.wait_for(lambda: service.count_bytes() >= BUDGET_BYTES)
        engine.events = 200
        for thread in (*threads, sampler := threading.Thread(target=sample)):
            thread.start()
        for thread in threads:
            thread.join()
        assert counts == [200] * 9
        assert "slow" in engine._streams  # It was read no further.
        assert count_events(slow) == 3000
    stopped.set()
    sampler.join()
    assert largest[0] <= BUDGET_BYTES * 1.1


def test_aborted_response_never_looks_complete(cluster, logged) -> None:
    """Guards against an aborted response that its caller takes for a whole one."""
    add_engine(cluster, 200, slots=8)
    router = start_router(cluster, BUDGET_MEGABYTES)
    service = get_slow_callers(router)
    with contextlib.ExitStack() as stack:
        answers = {
            request: stack.enter_context(open_stream(router, request))
            for request in ("r0", "r1", "r2")
        }
        support.wait_for(lambda: service.count_bytes() >= BUDGET_BYTES)
        answers["other"] = stack.enter_context(open_stream(router, "other", OTHER_KEY))
        support.wait_for(
            lambda: support.find_lines(logged, events.Event.RESPONSE_ABORTED)
        )
        assert service.count_bytes() <= BUDGET_BYTES * 1.1
        first = support.find_lines(logged, events.Event.RESPONSE_ABORTED)[0]
        assert first["account"] == support.ACCOUNT
        results: dict[str, int | None] = {}
        for request, answer in answers.items():
            try:
                results[request] = count_events(answer)
            except http.client.IncompleteRead:
                results[request] = None
    aborted = support.find_lines(logged, events.Event.RESPONSE_ABORTED)
    missing = {request for request, count in results.items() if count is None}
    assert missing == {line["request"] for line in aborted}
    assert {count for count in results.values() if count is not None} <= {200}


@pytest.mark.parametrize("events_count", [100, 100_000])
def test_caller_that_stops_reading_is_dropped(
    cluster, logged, monkeypatch, events_count: int
) -> None:
    """Guards against bytes and slots that are kept for a caller that reads no more.

    Its response is complete at the router, or is still being read.
    """
    monkeypatch.setattr(httpserver, "CALLER_TIMEOUT_SECONDS", 0.5)
    add_engine(cluster, events_count, slots=1)
    router = start_router(cluster, 2.0)
    service = get_slow_callers(router)
    with open_stream(router, "stuck") as stuck:
        support.wait_for(lambda: service.count_bytes() > 0)
        support.wait_for(lambda: service.count_bytes() == 0)
        with pytest.raises(http.client.IncompleteRead):
            stuck.read()
    support.wait_for(lambda: router.container.find("front").count_local() == 0)
    assert support.find_lines(logged, events.Event.RESPONSE_ABORTED) == []


def test_buffered_bytes_do_not_wait_for_the_next_event(cluster) -> None:
    """Guards against events that arrive only when their stream goes on."""
    engine = add_engine(cluster, 2, slots=1)
    engine.event_padding = 1_000_000
    engine.event_seconds = 60.0
    router = start_router(cluster, 4.0)
    with open_stream(router, "paused") as answer:
        support.wait_for(lambda: get_slow_callers(router).count_bytes() > 0)
        assert len(answer.read(1_000_000)) == 1_000_000
        assert "paused" in engine._streams


def test_fast_caller_costs_one_system_call_for_each_write(monkeypatch) -> None:
    """Guards against waits, locks and registrations on the path of fast callers."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(1.0)
        connection = types.SimpleNamespace(socket=ours, mark_answered=lambda: None)
        request = types.SimpleNamespace(
            conn=connection, close_connection=False, response_protocol="HTTP/1.1"
        )
        sink = callersinks.CallerSink(request, close_after=False)
        sink.enable_buffer(None, ids.RequestId("r"), ids.AccountId(""), None)
        sink._slow_callers = object()  # Any use of it fails.
        sink._lock = None
        written = []
        monkeypatch.setattr(
            callersinks.os,
            "write",
            lambda *a, write=os.write: written.append(a) or write(*a),
        )
        sink.write_head(200, "OK", [])
        for _ in range(10):
            sink.write(b"event")
        sink.finish()
        assert len(written) == 12
        assert theirs.recv(4096).endswith(b"5\r\nevent\r\n0\r\n\r\n")


def test_slow_caller_sees_that_its_stream_was_broken_off(cluster) -> None:
    """Guards against a buffered part of a broken stream that looks like a whole one."""
    engine = add_engine(cluster, 40)
    engine.endings.append(
        answerendings.Ending(answerendings.Framing.CONNECTION, 30, 100)
    )
    router = start_router(cluster, BUDGET_MEGABYTES)
    with open_stream(router, "r1") as answer:
        places = router.container.find("places")
        support.wait_for(lambda: places.report()["held"] == 0)
        with pytest.raises(http.client.IncompleteRead):
            answer.read()
