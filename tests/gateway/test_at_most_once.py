"""Requests that may run once only, on routes whose operator allows several attempts."""

from __future__ import annotations

import contextlib
import http.client
import itertools
from collections.abc import Iterator

import pytest

from celeryspan.gateway import places
from standins import sampleconfig
from tests.gateway import support, test_handover

SERVERS = 3
DEADLINE_MS = 1000
PROMISES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request has not run and never will."""

FAILURES = {
    **{f"status {status}": ("error", status) for status in (500, 502, 504)},
    **{f"unproved {status}": ("error", status) for status in (408, 429, 503)},
    "cut": ("cut", 500),
    "reset": ("reset", 500),
    "unsigned": ("unsigned", 500),
    "silent": ("silent", 500),
}
"""Ways in which a run fails, each with the status of a failure."""

STREAM_FAILURES = FAILURES | {"cut stream": ("cut_stream", 500)}
del STREAM_FAILURES["cut"]


class Fleet:
    """Servers of both services that fail each run, and the routers before them."""

    def __init__(self, cluster: support.Cluster) -> None:
        self._numbers = itertools.count(1)
        self._cluster = cluster
        self.gates = [cluster.add_server(f"gate-{n}") for n in range(SERVERS)]
        self.planners = [
            cluster.add_server(f"planner-{n}", "planner") for n in range(SERVERS)
        ]
        self.routers = [cluster.start_router(f"edge-{n}") for n in (1, 2)]
        test_handover.wait_for_peer(self.routers[0])
        test_handover.exhaust(self.routers[0])

    def fail(self, behaviour: str, status: int) -> None:
        """Let each server fail its next runs in a given way."""
        for server in self._cluster.servers:
            server.failure_status = status
            server.script.clear()
            server.script.extend([behaviour] * 8)

    def call(self, path: str, router: int = 1) -> tuple[str, int | None]:
        """Send a request; return its id and status, None without a whole answer."""
        request = f"r{next(self._numbers)}"
        try:
            answer = test_handover.call(
                self.routers[router], path, request, deadline_ms=DEADLINE_MS
            )
        except (OSError, http.client.HTTPException):
            return request, None
        return request, answer.status

    def count_runs(self, request: str) -> int:
        """Return how many servers ran a request."""
        return sum(request in server.ran for server in self._cluster.servers)

    def fail_run(
        self, path: str, failure: tuple[str, int], router: int = 1
    ) -> tuple[int, int | None]:
        """Return runs and status of a request that ran, all runs of which fail.

        Servers that have failed before may rest, so that requests are refused first.
        """
        found: list[tuple[int, int | None]] = []

        def run() -> bool:
            self.fail(*failure)
            request, status = self.call(path, router)
            runs = self.count_runs(request)
            assert runs or status != 200
            found.append((runs, status))
            return runs > 0

        support.wait_for(run)
        return found[-1]


@pytest.fixture(scope="module", params=[1, 2, 3, 9])
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Return a fleet whose routes all allow a number of attempts."""
    routes = [
        sampleconfig.make_route(
            prefix, kind, service, max_attempts=request.param, resumable=is_resumable
        )
        for prefix, kind, service, is_resumable in (
            (sampleconfig.BOOKINGS, "non_idempotent", "gate", False),
            (sampleconfig.CALLS, "idempotent", "gate", False),
            (sampleconfig.NOTES, "stream", "planner", False),
            (sampleconfig.DRAFTS, "stream", "planner", True),
        )
    ]
    with support.open_cluster() as cluster:
        cluster.store.put(
            "config", "main", sampleconfig.make_configuration(2, routes=routes)
        )
        yield Fleet(cluster)


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES)
def test_booking_whose_run_fails_is_not_sent_to_another_server(fleet, failure) -> None:
    """Guards against a booking that a server's failure makes run twice."""
    runs, status = fleet.fail_run("/bookings/1", failure)
    assert runs == 1
    assert status not in (200, *PROMISES)


@pytest.mark.parametrize("failure", STREAM_FAILURES.values(), ids=STREAM_FAILURES)
def test_stream_that_cannot_be_resumed_is_not_begun_twice(fleet, failure) -> None:
    """Guards against a stream that runs twice since its first server failed."""
    runs, status = fleet.fail_run("/notes/1", failure)
    assert runs == 1
    assert status not in PROMISES


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES)
def test_handed_over_booking_whose_run_fails_runs_once(fleet, failure) -> None:
    """Guards against a booking that runs at two servers once a peer serves it."""
    handover = test_handover.get_handover(fleet.routers[0])
    before = handover.report()["total"]
    runs, status = fleet.fail_run("/bookings/1", failure, router=0)
    assert handover.report()["total"] > before
    assert runs == 1
    assert status not in (200, *PROMISES)


def test_booking_that_servers_reject_runs_at_the_next_one(fleet) -> None:
    """Guards against rejections that count as runs, so that attempts are not used."""
    fleet.fail("full", 500)
    for server in fleet.gates:
        server.script.clear()
    fleet.gates[0].script.append("full")
    statuses = [fleet.call("/bookings/1")[1] for _ in range(6)]
    assert statuses.count(200) >= 5


def test_kept_failure_is_not_written_into_a_stream_that_has_begun(
    cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second head amid the events of a stream."""
    route = sampleconfig.make_route(
        "/essays/", "stream", "planner", max_attempts=3, resumable=True
    )
    cluster.store.put(
        "config", "main", sampleconfig.make_configuration(2, routes=[route])
    )
    server = cluster.add_server("planner-1", "planner")
    server.script.extend(["error", "cut_stream"])
    another = cluster.add_server("planner-2", "planner")
    another.script = server.script
    router = cluster.start_router()
    slots = router.container.find("places")
    acquire = slots.acquire

    def acquire_until_begun(*values: object) -> object:
        if not server.script:
            raise places.make_refusal("no-place-in-time", 1.0)
        return acquire(*values)

    monkeypatch.setattr(slots, "acquire", acquire_until_begun)
    head = (
        f"POST /essays/1 HTTP/1.1\r\nHost: {support.HOST}\r\nConnection: close\r\n"
        f"Celeryspan-Request-Id: r1\r\nCeleryspan-Deadline-Ms: 5000\r\n"
        f"Celeryspan-Credential: {support.KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    with contextlib.closing(router.connect()) as caller:
        caller.connect()
        caller.sock.sendall(head.encode())
        received = caller.sock.makefile("rb").read()
    assert b"id: 2" in received
    assert received.count(b"HTTP/1.1 ") == 1
