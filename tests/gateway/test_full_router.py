"""A router receives many times its concurrency limit on real sockets."""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import pathlib
import socket
import threading
import time

import pytest

from celeryspan import events
from celeryspan.decisions import arrivalqueue, handover
from celeryspan.gateway import frontload
from celeryspan.services import requestconnection
from tests.gateway import processes, support

THREADS = 8
CALLERS = 160
"""Concurrent callers, twenty times the router's limit."""

LONG_DEADLINE = {"Celeryspan-Deadline-Ms": "30000"}

RESOLVE_PATH = "/v1/resolve?name=desk.example&region=r&zone=hala-a"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """The answer that one caller received."""

    request: str
    status: int
    retry_after: str | None
    body: bytes


def ask(router: processes.ProcessRouter, request: str) -> CallerResult:
    """Send one request on a new connection."""
    with contextlib.closing(processes.connect(router.caller_address)) as connection:
        answer = support.send_request(
            connection, "/notes/1", request, headers=LONG_DEADLINE
        )
        retry_after = answer.getheader("Retry-After")
        return CallerResult(request, answer.status, retry_after, answer.text)


def send_and_leave(router: support.Router, request: str) -> None:
    """Send a whole request on a new connection and close it."""
    host, _, port = router.settings.caller_address.partition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            f"GET /calls/1 HTTP/1.1\r\nHost: {support.HOST}\r\n"
            f"Celeryspan-Request-Id: {request}\r\n"
            f"Celeryspan-Credential: {support.KEY}\r\n\r\n".encode()
        )


def test_every_caller_of_a_full_router_is_served_or_gets_a_retry_time(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """All callers of an account use one router at once, far above its limit.

    Callers could not connect, or their requests were not read before the deadline. The
    directory of the same process did not answer, so that they stayed with this router.
    Each caller must get the complete stream or a correct refusal with Retry-After.
    """
    engine = cluster.add_server("planner-1", "planner", slots=64)
    engine.event_seconds = 0.02
    store = str(cluster.store.address)
    with processes.run_router(tmp_path, store, threads=THREADS) as router:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            futures = [pool.submit(ask, router, f"r{n}") for n in range(CALLERS)]
            assert router.get(router.directory_address, RESOLVE_PATH) == 200
            assert router.get(router.ready_address, "/v1/readyz") == 200
            results = [each.result() for each in futures]
    served = {each.request for each in results if each.status == 200}
    refused = {each.request for each in results if each.status == 503}
    assert len(served) + len(refused) == CALLERS
    assert served
    assert refused
    assert set(engine.ran) == served, "a refused request must not have run"
    for each in results:
        if each.status == 200:
            assert each.body.endswith(b"piece 6\n\n")
        else:
            assert float(each.retry_after or 0) > 0


def test_callers_that_left_before_they_were_accepted_are_not_served(
    cluster: support.Cluster, logged: list, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a late router that serves only requests nobody waits for."""
    cluster.add_server("gate-1", "gate")
    router = cluster.start_router()
    server = router.container.find("front")._server
    may_dispatch, dispatch = threading.Event(), server.dispatch_connection

    def wait(connection: requestconnection.Connection) -> None:
        may_dispatch.wait(support.WAIT_SECONDS)
        dispatch(connection)

    monkeypatch.setattr(server, "dispatch_connection", wait)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        first = pool.submit(router.call, "/bookings/1", "first")
        time.sleep(0.2)
        for number in range(CALLERS):
            send_and_leave(router, f"left-{number}")
        last = pool.submit(router.call, "/bookings/1", "last")
        time.sleep(0.2)
        may_dispatch.set()
        assert first.result().status == last.result().status == 200
    render = router.container.find("directory").render_metrics
    counted = f'celeryspan_refusals_total{{code="abandoned"}} {CALLERS}.0'
    support.wait_for(lambda: counted in render().decode())
    refused = support.find_lines(logged, events.Event.REQUEST_REFUSED)
    assert not [line for line in refused if line["code"] == "caller-left"]


def test_router_that_has_used_up_its_share_of_a_core_serves_less_itself(
    cluster: support.Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a small VM at its limit that seems to have half a core left."""
    monkeypatch.setattr(
        frontload, "_measure_processor_time", lambda: 0.5 * time.monotonic()
    )
    router = cluster.start_router(processor_share=0.5)
    found = router.container.find("front")
    started_with = handover.make_limiter(router.settings.caller_threads).limit
    support.wait_for(lambda: found.report()["local_max"] < started_with / 2)


def test_late_arrivals_are_logged_with_what_the_router_does(
    cluster: support.Cluster, logged: list, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers whose wait to be accepted no line shows."""
    router = cluster.start_router()
    monkeypatch.setattr(arrivalqueue, "LATE_SECONDS", -1.0)
    support.wait_for(lambda: support.find_lines(logged, events.Event.ARRIVALS_LATE))
    line = support.find_lines(logged, events.Event.ARRIVALS_LATE)[-1]
    assert (line["queued"], line["local"], line["at_peers"]) == (0, 0, 0)
    assert "celeryspan_accept_delay_seconds 0.0" in (
        router.container.find("directory").render_metrics().decode()
    )
