"""Answers whose connections this router ends itself, before the server has."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Callable

import pytest

from celeryspan import ids
from celeryspan.gateway import channels
from standins import platformserver
from tests.gateway import processes, support

EVENTS = 200

REQUEST = (
    b"GET / HTTP/1.1\r\nCeleryspan-Request-Id: r1\r\n"
    b"Celeryspan-Expect-Instance: gate-1\r\n\r\n"
)


def abort_requests(cluster: support.Cluster, router: support.Router) -> None:
    """End the requests in progress like the end of a stop's grace period."""
    router.container.find("front").abort_requests()


def restart_server(cluster: support.Cluster, router: support.Router) -> None:
    """Announce another incarnation of each server, at which nothing listens."""
    for server in cluster.servers:
        service = "planner" if server.streams else "gate"
        address = ids.Address("127.0.0.1", 9)
        entry = support.sampleconfig.make_entry(service, address, born=2)
        cluster.store.put("servers", server.name, entry)


ENDS = {"stop": abort_requests, "restarted server": restart_server}


def for_ends() -> pytest.MarkDecorator:
    """Parametrize a test by the events on which the router ends connections."""
    return pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)


def call_while(
    router: support.Router,
    path: str,
    is_begun: Callable[[], object],
    end: Callable[[], None],
) -> http.client.HTTPResponse | Exception:
    """Return the answer to a request during which an event happens, or its error."""
    found: list[http.client.HTTPResponse | Exception] = []

    def call() -> None:
        headers = {"Celeryspan-Deadline-Ms": "8000"}
        try:
            found.append(router.call(path, headers=headers))
        except (OSError, http.client.HTTPException) as error:
            found.append(error)

    thread = support.run_in_thread(call)
    support.wait_for(is_begun)
    end()
    thread.join(support.WAIT_SECONDS)
    assert not thread.is_alive()
    return found[0]


@for_ends()
@pytest.mark.parametrize("path", ["/drafts/1", "/notes/1"])
@pytest.mark.parametrize("is_framed", [False, True])
def test_stream_that_the_router_ends_is_not_complete(
    cluster, end, path: str, is_framed: bool
) -> None:
    """Guards against a stream of no length that is complete where its router ends."""
    server = cluster.add_server("planner-1", "planner", born=1)
    server.is_framed, server.events, server.event_seconds = is_framed, EVENTS, 0.05
    router = cluster.start_router()
    found = call_while(
        router,
        path,
        lambda: _has_begun(router),
        lambda: end(cluster, router),
    )
    assert isinstance(found, http.client.IncompleteRead), found
    assert len(platformserver.list_versions(found.partial)) < EVENTS


@for_ends()
@pytest.mark.parametrize("path", ["/calls/1", "/bookings/1"])
def test_plain_answer_that_the_router_ends_is_not_complete(
    cluster, end, path: str
) -> None:
    """Guards against a part of a plain answer that is passed on with its length."""
    server = cluster.add_server("gate-1", born=1)
    server.script.extend(["stalled"] * 4)
    router = cluster.start_router()
    found = call_while(
        router, path, server.is_stalled.is_set, lambda: end(cluster, router)
    )
    if isinstance(found, http.client.HTTPResponse):
        assert found.status == 502
    else:
        assert isinstance(found, (OSError, http.client.HTTPException))


def test_channel_tells_its_own_end_from_the_servers(cluster) -> None:
    """Guards against an aborted connection whose end reads like the server's."""
    server = cluster.add_server("gate-1")
    server.script.extend(["stalled", "unframed"])
    router = cluster.start_router()
    entry = router.container.find("servers").usable()[server.name]
    pool: channels.Channels = router.container.find("channels")
    bodies = []
    for is_aborted in (True, False):
        channel = pool.open(entry, at_most_once=True)
        channel.send(REQUEST, _soon())
        answer = channel.receive("GET", ids.RequestId("r1"), _soon())
        if is_aborted:
            assert answer.read1() == platformserver.BODY[:3]
            threading.Timer(0.05, channel.abort, ["a test"]).start()
            with pytest.raises(ConnectionAbortedError):
                answer.read1()
        else:
            bodies.append(answer.read())
        channel.close()
    assert bodies == [platformserver.BODY]


def test_caller_of_http_1_0_sees_that_its_router_was_killed(cluster, tmp_path) -> None:
    """Guards against the end of a process, which ends a body of no length in order."""
    server = cluster.add_server("planner-1", "planner")
    server.events, server.event_seconds = EVENTS, 0.05
    head = (
        f"POST /notes/1 HTTP/1.0\r\nHost: {support.HOST}\r\n"
        f"Celeryspan-Request-Id: r1\r\nCeleryspan-Deadline-Ms: 8000\r\n"
        f"Celeryspan-Credential: {support.KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    with processes.run_router(tmp_path, str(cluster.store.address)) as router:
        host, _, port = router.caller_address.partition(":")
        with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as found:
            found.sendall(head.encode())
            received = b""
            while b"id: 2" not in received:
                received += found.recv(65_536)
            router.stop()
            with pytest.raises(ConnectionResetError):
                while found.recv(65_536):
                    pass


def _soon() -> float:
    return time.monotonic() + support.WAIT_SECONDS


def _has_begun(router: support.Router) -> bool:
    """Whether a stream has brought its first event."""
    slots = router.container.find("places")._slots
    return any(slot.is_begun for slot in list(slots.values()))
