"""What becomes of requests that crash servers, and of those beside them."""

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

RETRIES_MAX = 3
"""Sends of a request after it has crashed three servers."""

NEWS_SECONDS = 1.0
"""Time in which the third crash is known everywhere; the users allow 3 s."""

PATHS = {
    "plain": ("/calls/1", "gate"),
    "once only": ("/bookings/1", "gate"),
    "resumable": ("/drafts/1", "planner"),
    "stream once only": ("/notes/1", "planner"),
}


def pick(kinds: Iterable[str]) -> pytest.MarkDecorator:
    """Run a test for requests of some kinds."""
    return pytest.mark.parametrize(
        "path, service", [pytest.param(*PATHS[kind], id=kind) for kind in kinds]
    )


@pytest.fixture
def crash(place) -> Iterator[callable]:
    """Return what starts the servers of a service, which crash on one body."""
    started: list[crashing.CrashingServers] = []

    def start(service: str, count: int = 3, **values: object):
        servers = crashing.CrashingServers(
            place.store, service, count, {FATAL}, **values
        )
        started.append(servers)
        return servers

    yield start
    for servers in started:
        servers.stop()


def ask(
    router: support.Router, path: str, request: str, body: bytes
) -> http.client.HTTPResponse | None:
    """Send one request; None if its answer breaks off."""
    try:
        return router.call(path, request, body=body)
    except (OSError, http.client.HTTPException):
        return None


def repeat(
    routers: list[support.Router], path: str, count: int, gap: float = 0.1
) -> list[http.client.HTTPResponse | None]:
    """Send copies of the fatal request, each under its own id, by all routers."""
    answers = []
    for number in range(count):
        router = routers[number % len(routers)]
        answers.append(ask(router, path, f"copy-{time.monotonic_ns()}", FATAL))
        time.sleep(gap)
    return answers


def count_late(servers: crashing.CrashingServers) -> int:
    """Return how many copies reached servers once the third crash was known."""
    assert len(servers.crashes) >= RETRIES_MAX, "fewer crashes than the test is about"
    known_at = sorted(at for at, _ in servers.crashes)[2] + NEWS_SECONDS
    return sum(request.at > known_at for request in servers.list_received(FATAL))


@pick(PATHS)
def test_request_that_crashed_three_servers_reaches_at_most_three_more(
    place, crash, path: str, service: str
) -> None:
    """Guards against one request that crashes server after server."""
    servers = crash(service)
    routers = [place.start_router(f"edge-{index}") for index in range(2)]
    repeat(routers, path, 30)
    assert count_late(servers) <= RETRIES_MAX


@pick(["once only"])
def test_bound_of_crashes_outlasts_the_restart_of_all_routers(
    place, crash, path: str, service: str
) -> None:
    """Guards against routers that forget, once restarted, what crashed servers."""
    servers = crash(service)
    for life in range(4):
        routers = [place.start_router(f"edge-{life}-{index}") for index in range(2)]
        repeat(routers, path, 8)
        for router in routers:
            router.stop()
    assert count_late(servers) <= RETRIES_MAX


@pick(["plain", "resumable"])
def test_other_requests_of_the_account_are_served_beside_one_that_crashes_servers(
    place, crash, path: str, service: str
) -> None:
    """Guards against a whole service that is down because of one request."""
    servers = crash(service)
    routers = [place.start_router(f"edge-{index}") for index in range(2)]
    fatal = threading.Thread(target=repeat, args=(routers, path, 30), daemon=True)
    fatal.start()
    tries = []
    for number, router in zip(range(40), itertools.cycle(routers), strict=False):
        body = f"another {number}".encode()
        for attempt in itertools.count(1):
            answer = ask(router, path, f"other-{number}-{attempt}", body)
            if answer is not None and answer.status == 200:
                break
            assert answer is None or answer.status != 429, answer.text
            time.sleep(0.05)
        tries.append(attempt)
    fatal.join()
    assert count_late(servers) <= RETRIES_MAX
    assert tries[-10:] == [1] * 10


@pick(["plain", "resumable"])
def test_equal_requests_are_served_while_servers_crash_for_another_reason(
    place, crash, path: str, service: str
) -> None:
    """Guards against popular requests that are taken for the cause of crashes."""
    servers = crash(service)
    routers = [place.start_router(f"edge-{index}") for index in range(2)]
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
