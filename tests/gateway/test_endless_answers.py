"""Servers that answer with bytes that have no end, in a head or in a body."""

from __future__ import annotations

import http.client
import threading
import time

import pytest

from standins import answerendings, endlessanswers
from tests.gateway import support

STREAM_KINDS = ("event", "comments", "lines that are no events")
PLAIN_KINDS = [kind for kind in endlessanswers.KINDS if kind not in STREAM_KINDS]

LIMITS = {
    "response_head_bytes_max": 16_384,
    "response_body_bytes_max": 4_000_000,
    "response_event_bytes_max": 100_000,
    "response_buffer_bytes_max": 200_000,
}
"""Limits of the routers here, below those of the sockets' own buffers."""

SOCKET_BYTES = 12_000_000
"""What the buffers of two sockets take of an answer that nobody reads."""

REQUESTS = 24
BYTES_MAX = LIMITS["response_body_bytes_max"] + SOCKET_BYTES


class Fleet:
    """Three servers of a service, of which the first answers without end."""

    def __init__(self, cluster: support.Cluster, service: str, kind: str) -> None:
        self.servers = [cluster.add_server(f"{service}-{n}", service) for n in range(3)]
        self.servers[0].endless = kind
        self.router = cluster.start_router(**LIMITS)
        self.statuses: list[int | None] = []

    def call_all(self, path: str, **values: object) -> None:
        """Send requests one after the other."""
        for number in range(REQUESTS):
            try:
                answer = self.router.call(path, f"r{number}", **values)
                self.statuses.append(answer.status)
            except (OSError, http.client.HTTPException):
                self.statuses.append(None)

    def count_runs(self, request: str) -> int:
        """Return how many servers ran a request."""
        return sum(request in server.ran for server in self.servers)

    def check_bounds(self) -> None:
        """Check what was read of one answer, and how often it was asked for."""
        server = self.servers[0]
        assert 0 < server.endless_bytes < BYTES_MAX
        assert len(server.received) <= REQUESTS // 4


@pytest.mark.parametrize("kind", PLAIN_KINDS)
def test_requests_are_served_beside_answers_without_end(cluster, kind: str) -> None:
    """Guards against an endless answer that takes a router's memory or a request."""
    fleet = Fleet(cluster, "gate", kind)
    fleet.call_all("/calls/1", method="GET", body=None)
    assert fleet.statuses == [200] * REQUESTS
    fleet.check_bounds()


@pytest.mark.parametrize("kind", [*STREAM_KINDS, *PLAIN_KINDS])
def test_streams_are_served_beside_answers_without_end(cluster, kind: str) -> None:
    """Guards against a stream that is read for as long as its caller waits."""
    fleet = Fleet(cluster, "planner", kind)
    fleet.call_all("/drafts/1")
    assert fleet.statuses == [200] * REQUESTS
    fleet.check_bounds()


@pytest.mark.parametrize("kind", PLAIN_KINDS)
def test_booking_with_an_endless_answer_counts_as_run(cluster, kind: str) -> None:
    """Guards against a booking that runs again since its answer was no answer."""
    fleet = Fleet(cluster, "gate", kind)
    fleet.call_all("/bookings/1")
    for number, status in enumerate(fleet.statuses):
        assert fleet.count_runs(f"r{number}") <= 1
        is_endless = f"r{number}" in fleet.servers[0].ran
        assert status in ((None, 502, 504) if is_endless else (200,))
    assert fleet.servers[0].ran
    fleet.check_bounds()


def test_endless_answer_ends_at_the_deadline_of_its_request(cluster) -> None:
    """Guards against answers that trickle, on which no read ever times out."""
    server = cluster.add_server("gate-1")
    router = cluster.start_router()
    stop = threading.Event()

    def trickle(*_: object):
        yield b"HTTP/1.1 200 OK\r\n"
        while not stop.wait(0.02):
            yield b"X-Slow: 1\r\n"

    endlessanswers.KINDS["trickle"] = trickle
    server.endless = "trickle"
    try:
        began = time.monotonic()
        answer = router.call("/bookings/1", headers={"Celeryspan-Deadline-Ms": "700"})
        assert answer.status == 504
        assert time.monotonic() - began < support.WAIT_SECONDS / 2
        assert len(server.ran) == 1
    finally:
        stop.set()
        del endlessanswers.KINDS["trickle"]


def test_long_answers_are_whole(cluster) -> None:
    """Guards against long answers that are taken for answers without end."""
    servers = [cluster.add_server(f"gate-{n}") for n in range(2)]
    router = cluster.start_router(**LIMITS)
    body = b"x" * (LIMITS["response_body_bytes_max"] - 1)
    for framing in answerendings.Framing:
        for server in servers:
            server.endings.append(answerendings.Ending(framing, has_end_mark=True))
            server.body = body
        answer = router.call("/calls/1", f"r-{framing.value}", method="GET", body=None)
        assert (answer.status, answer.text) == (200, body)
        for server in servers:
            server.endings.clear()
