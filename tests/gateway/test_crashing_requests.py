"""Tests of requests that crash servers and of the requests that run next to them."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from collections.abc import Iterable, Iterator

import pytest

from standins import crashing
from tests.gateway import support

FATAL = b"divide by zero"

LATE_SENDS_MAX = 3
"""Times that a request may still be sent after it has crashed three servers."""

PROPAGATION_SECONDS = 1.0
"""Time within which all routers know of the third crash; 3 s are required."""

PATHS = {
    "plain": ("/calls/1", "gate"),
    "once only": ("/bookings/1", "gate"),
    "resumable": ("/drafts/1", "planner"),
    "stream once only": ("/notes/1", "planner"),
}


def for_kinds(kinds: Iterable[str]) -> pytest.MarkDecorator:
    """Parametrize a test by kinds of requests."""
    return pytest.mark.parametrize(
        "path, service", [pytest.param(*PATHS[kind], id=kind) for kind in kinds]
    )


@pytest.fixture
def crash(cluster) -> Iterator[callable]:
    """Return a function that starts servers of a service that crash on one body."""
    started: list[crashing.CrashingServers] = []

    def start(service: str, count: int = 3, **values: object):
        servers = crashing.CrashingServers(
            cluster.store, service, count, {FATAL}, **values
        )
        started.append(servers)
        return servers

    yield start
    for servers in started:
        servers.stop()


def ask(
    router: support.Router, path: str, request: str, body: bytes
) -> http.client.HTTPResponse | None:
    """Send a request; return None if the connection breaks."""
    try:
        return router.call(path, request, body=body)
    except (OSError, http.client.HTTPException):
        return None


def repeat(
    routers: list[support.Router], path: str, count: int, gap: float = 0.1
) -> list[http.client.HTTPResponse | None]:
    """Send copies of the fatal request, each with its own id, to routers in turn."""
    answers = []
    for number in range(count):
        router = routers[number % len(routers)]
        answers.append(ask(router, path, f"copy-{time.monotonic_ns()}", FATAL))
        time.sleep(gap)
    return answers


def count_late_sends(servers: crashing.CrashingServers) -> int:
    """Return how many copies reached servers after the third crash was known."""
    assert len(servers.crashes) >= LATE_SENDS_MAX, "too few crashes for this test"
    known_at = sorted(at for at, _ in servers.crashes)[2] + PROPAGATION_SECONDS
    return sum(request.at > known_at for request in servers.list_received(FATAL))


@for_kinds(PATHS)
def test_request_that_crashed_three_servers_reaches_at_most_three_more(
    cluster, crash, path: str, service: str
) -> None:
    """Guards against a resubmitted request that crashes one server after another."""
    servers = crash(service)
    routers = [cluster.start_router(f"edge-{index}") for index in range(2)]
    repeat(routers, path, 30)
    assert count_late_sends(servers) <= LATE_SENDS_MAX


@for_kinds(["resumable", "stream once only"])
def test_request_whose_crashes_end_streams_in_order_is_held(
    cluster, crash, path: str, service: str
) -> None:
    """Guards against crashes that look like the end of a stream without a length."""
    servers = crash(service, is_framed=False)
    routers = [cluster.start_router(f"edge-{index}") for index in range(2)]
    answers = repeat(routers, path, 30)
    assert count_late_sends(servers) <= LATE_SENDS_MAX
    assert all(answer is None or answer.status != 200 for answer in answers)


@for_kinds(["once only"])
def test_crash_limit_persists_when_all_routers_restart(
    cluster, crash, path: str, service: str
) -> None:
    """Guards against restarted routers that forget which requests crash servers."""
    servers = crash(service)
    for restart in range(4):
        routers = [
            cluster.start_router(f"edge-{restart}-{index}") for index in range(2)
        ]
        repeat(routers, path, 8)
        for router in routers:
            router.stop()
    assert count_late_sends(servers) <= LATE_SENDS_MAX


@for_kinds(["plain", "resumable"])
def test_other_requests_of_the_account_are_served_while_one_crashes_servers(
    cluster, crash, path: str, service: str
) -> None:
    """Guards against one request that makes a whole service unavailable."""
    servers = crash(service)
    routers = [cluster.start_router(f"edge-{index}") for index in range(2)]
    fatal = threading.Thread(target=repeat, args=(routers, path, 30), daemon=True)
    fatal.start()
    attempts = []
    for number, router in zip(range(40), itertools.cycle(routers), strict=False):
        body = f"another {number}".encode()
        for attempt in itertools.count(1):
            answer = ask(router, path, f"other-{number}-{attempt}", body)
            if answer is not None and answer.status == 200:
                break
            assert answer is None or answer.status != 429, answer.text
            time.sleep(0.05)
        attempts.append(attempt)
    fatal.join()
    assert count_late_sends(servers) <= LATE_SENDS_MAX
    assert attempts[-10:] == [1] * 10


@for_kinds(["plain", "resumable"])
def test_identical_requests_are_served_while_servers_crash_for_another_reason(
    cluster, crash, path: str, service: str
) -> None:
    """Guards against blaming popular requests for crashes they did not cause."""
    servers = crash(service)
    routers = [cluster.start_router(f"edge-{index}") for index in range(2)]
    statuses = []
    for number, router in zip(range(50), itertools.cycle(routers), strict=False):
        if number % 8 == 4:
            servers.servers[number // 8 % 3].crash()
        for attempt in itertools.count(1):
            answer = ask(router, path, f"poll-{number}-{attempt}", b"")
            if answer is not None and answer.status == 200:
                break
            statuses.append(answer and answer.status)
            assert attempt < 100
            time.sleep(0.02)
    assert len(servers.crashes) >= 5
    assert 429 not in statuses
