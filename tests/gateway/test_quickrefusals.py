"""Refusals on the thread that accepts: which bytes they take, and what callers get."""

from __future__ import annotations

import http.client
import json
import socket
import threading

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan.decisions import overload
from celeryspan.gateway import quickrefusals
from tests.gateway import support

ID = b"celeryspan-request-id"
HEAD = (
    b"POST /bookings/1 HTTP/1.1\r\nHost: desk.example\r\nCeleryspan-Request-Id: r7\r\n"
)
WHOLE = HEAD + b"Content-Length: 3\r\n\r\nabc"


def test_whole_request_is_found_with_its_id() -> None:
    found = quickrefusals.find_request(WHOLE, ID)
    assert found == quickrefusals.Glimpse(len(WHOLE), b"r7")


def test_request_without_body_is_whole_at_the_end_of_its_head() -> None:
    assert quickrefusals.find_request(HEAD + b"\r\n", ID) is not None


@pytest.mark.parametrize("size", range(len(WHOLE)))
def test_request_that_has_not_come_whole_is_left(size: int) -> None:
    assert quickrefusals.find_request(WHOLE[:size], ID) is None


@pytest.mark.parametrize(
    "data",
    [
        WHOLE + b"P",
        WHOLE + WHOLE,
        HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        HEAD + b"Content-Length: 3\r\ncontent-length : 4\r\n\r\nabc",
        HEAD + b"Content-Length: +3\r\n\r\nabc",
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        b"\r\n" + WHOLE,
        b"GET / HTTP/0.9\r\n\r\n",
    ],
)
def test_bytes_whose_end_is_in_doubt_go_the_usual_way(data: bytes) -> None:
    """A caller hides a second request behind the first one's length.

    Whoever takes the wrong number of bytes reads the rest as a request of its own.
    """
    assert quickrefusals.find_request(data, ID) is None


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_looked_at_without_an_error(data: bytes) -> None:
    for each in (data, HEAD + data, WHOLE + data):
        found = quickrefusals.find_request(each, ID)
        assert found is None or found.size == len(each)


@pytest.fixture
def full(cluster, monkeypatch):
    """Return a router that takes no request more, and its server."""
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    monkeypatch.setattr(
        overload.ConcurrencyLimiter, "admits", lambda self, count: False
    )
    return router, server


def test_refused_caller_is_told_that_nothing_ran_and_when_to_return(full) -> None:
    router, server = full
    answer = router.call("/bookings/1", "r9")
    check_refusal(answer, "r9")
    assert json.loads(answer.text)["error"]["code"] == "router-full"
    assert server.seen == []


def test_request_that_comes_in_one_piece_ends_its_connection(full) -> None:
    """Refused where it lies, a request's connection ends: nothing behind it is read."""
    router, server = full
    host, _, port = router.settings.caller_address.partition(":")
    with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as caller:
        caller.sendall(WHOLE)
        answer = http.client.HTTPResponse(caller)
        answer.begin()
        check_refusal(answer, "r7")
        assert answer.getheader("Connection") == "close"
        error = json.loads(answer.read())["error"]
        assert (error["code"], error["outcome"]) == ("router-full", "not-run")
        assert caller.recv(1) == b""
    assert server.seen == []


def check_refusal(answer: http.client.HTTPResponse, request: str) -> None:
    """Check what every refusal says, whichever way it was written."""
    assert answer.status == 503
    assert answer.getheader("Celeryspan-Request-Id") == request
    assert float(answer.getheader("Retry-After")) > 0


def test_request_that_comes_in_two_parts_is_refused_too(full) -> None:
    router, server = full
    host, _, port = router.settings.caller_address.partition(":")
    with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as caller:
        caller.sendall(WHOLE[:-1])
        threading.Event().wait(0.05)
        caller.sendall(WHOLE[-1:])
        assert caller.recv(65_536).startswith(b"HTTP/1.1 503 ")
    assert server.seen == []


def test_caller_that_reads_late_still_gets_its_refusal(full) -> None:
    """A caller sends its request and reads only after the router has closed."""
    router, _ = full
    host, _, port = router.settings.caller_address.partition(":")
    with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as caller:
        caller.sendall(WHOLE)
        assert router.call("/bookings/1", "r10").status == 503
        assert caller.recv(65_536).startswith(b"HTTP/1.1 503 ")


def test_refusal_takes_no_thread(full) -> None:
    """One account sends several times what a router can pass on.

    Each refusal took a thread, which those requests that were taken had to wait for.
    """
    router, _ = full
    threads = router.box.find("front")._server.requests
    handed = []
    put = threads.put
    threads.put = lambda connection: (handed.append(connection), put(connection))
    host, _, port = router.settings.caller_address.partition(":")
    for _ in range(20):
        with socket.create_connection((host, int(port)), support.WAIT_SECONDS) as call:
            call.sendall(WHOLE)
            assert call.recv(65_536).startswith(b"HTTP/1.1 503 ")
    assert handed == []
