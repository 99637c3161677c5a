"""Idle connections of callers at their bound, on real sockets."""

from __future__ import annotations

import contextlib
import http.client
import resource
import socket
import threading
from collections.abc import Iterator

import pytest

from celeryspan import ids
from celeryspan.services import callerconnections, httpserver

BOUND = 32
WAIT_SECONDS = 10.0
CALM = ("127.0.0.2", 0)
FLOOD = ("127.0.0.3", 0)


class Stand:
    """A server of a few connections, and its callers."""

    def __init__(self) -> None:
        self.hold = threading.Event()
        self.hold.set()
        self.server = httpserver.Server(
            ids.Address("127.0.0.1", 0),
            self._serve,
            threads=8,
            body_bytes_max=1,
            log=lambda _: None,
            connections_max=BOUND,
        )
        self.server.open()
        self._stack = contextlib.ExitStack()

    def _serve(self, _: object, start: object) -> list[bytes]:
        assert self.hold.wait(WAIT_SECONDS)
        start("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def connect(self, source: tuple[str, int]) -> http.client.HTTPConnection:
        """Return a connection of one caller that stays open."""
        address = self.server.address
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=WAIT_SECONDS, source_address=source
        )
        return self._stack.enter_context(contextlib.closing(connection))

    def stop(self) -> None:
        """End callers and server."""
        self._stack.close()
        self.server.shut_down()


@pytest.fixture
def stand() -> Iterator[Stand]:
    found = Stand()
    yield found
    found.stop()


def ask(connection: http.client.HTTPConnection) -> http.client.HTTPResponse:
    """Send one request and read its answer to the end."""
    connection.request("GET", "/")
    answer = connection.getresponse()
    assert answer.read() == b"ok"
    return answer


def test_answers_announce_the_end_before_the_bound_is_reached(stand: Stand) -> None:
    connections = [stand.connect(FLOOD) for _ in range(2 * BOUND)]
    announced = [ask(each).getheader("Connection") == "close" for each in connections]
    assert not any(announced[: BOUND // 2])
    assert announced[-1]


def test_calm_caller_keeps_its_connection_while_another_one_opens_many(
    stand: Stand,
) -> None:
    """A caller holds one connection; another one opens four times what may be open.

    The calm caller's next request is answered on the connection that it has.
    """
    calm = stand.connect(CALM)
    ask(calm)
    calm.auto_open = 0  # A request on another connection would raise.
    address = stand.server.address
    with contextlib.ExitStack() as stack:
        for _ in range(4 * BOUND):
            silent = socket.create_connection(tuple(address), WAIT_SECONDS, FLOOD)
            stack.enter_context(silent)
        assert ask(calm).status == 200


def test_callers_that_send_nothing_hold_no_thread(stand: Stand) -> None:
    address = stand.server.address
    with contextlib.ExitStack() as stack:
        for _ in range(BOUND // 2):
            stack.enter_context(socket.create_connection(tuple(address), WAIT_SECONDS))
        assert ask(stand.connect(CALM)).status == 200
        assert stand.server.count_connections()[1] <= 1


def test_request_that_has_come_is_served_and_its_connection_not_given_up(
    stand: Stand,
) -> None:
    """Requests come on connections that were idle while the bound is reached.

    To close one of these would lose a request that its caller has sent.
    """
    used = [stand.connect(FLOOD) for _ in range(BOUND // 2)]
    for each in used:
        ask(each)
    stand.hold.clear()
    for each in used[:4]:
        each.request("GET", "/")
    address = stand.server.address
    with contextlib.ExitStack() as stack:
        for _ in range(2 * BOUND):
            silent = socket.create_connection(tuple(address), WAIT_SECONDS, FLOOD)
            stack.enter_context(silent)
        stand.hold.set()
        for each in used[:4]:
            assert each.getresponse().read() == b"ok"


def test_less_of_settings_and_system_holds() -> None:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    least = callerconnections.compute_budget(64)
    assert least.callers < callerconnections.compute_budget(allowed).callers
    assert (
        callerconnections.compute_budget(2 * allowed)
        == callerconnections.compute_budget()
    )
