"""Servers that reject requests, without asking for a rest, beside servers that don't.

Four routers share four plain servers with six slots each; a run takes 80 ms.
"""

from __future__ import annotations

import threading
import time

import pytest

from celeryspan import events
from standins import platformserver
from tests.gateway import support

ROUTERS = 4
SERVERS = 4
SLOTS = 6
RUN_SECONDS = 0.08
REQUESTS_PER_SECOND = 50
TRIALS_PER_SECOND = 1.0
"""Most trial requests of the whole fleet at one rejecting server."""


def start(cluster) -> tuple[list[platformserver.PlatformServer], list[support.Router]]:
    """Start the servers and the routers."""
    servers = [
        cluster.add_server(f"gate-{number}", slots=SLOTS) for number in range(SERVERS)
    ]
    for server in servers:
        serve = server._do_serve

        def serve_slowly(request, connection, serve=serve) -> bool:
            time.sleep(RUN_SECONDS)
            return serve(request, connection)

        server._do_serve = serve_slowly
    routers = [cluster.start_router(f"edge-{number}") for number in range(ROUTERS)]
    membership = [router.container.find("membership") for router in routers]
    support.wait_for(lambda: all(len(each.alive()) >= ROUTERS for each in membership))
    return servers, routers


def send_load(routers: list[support.Router], seconds: float, prefix: str) -> list:
    """Send 50 requests a second to the routers in turn; returns the answers."""
    answers: list = [None] * round(seconds * REQUESTS_PER_SECOND)

    def send(number: int) -> None:
        router = routers[number % len(routers)]
        answers[number] = router.call(
            "/calls/1", f"{prefix}{number}", method="GET", body=None
        )

    threads = []
    began = time.monotonic()
    for number in range(len(answers)):
        delay = began + number / REQUESTS_PER_SECOND - time.monotonic()
        time.sleep(max(0.0, delay))
        threads.append(threading.Thread(target=send, args=(number,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return answers


def measure_served(answers: list) -> float:
    """Return the share of requests that were answered with success."""
    return sum(each.status == 200 for each in answers) / len(answers)


def find_rejecting(routers: list[support.Router]) -> dict:
    """Return what the homes report about rejecting servers, by their names."""
    return {
        name: times
        for router in routers
        for pool in router.container.find("poolhomes").report().values()
        for name, times in pool["rejecting"].items()
    }


def count_rejecting(routers: list[support.Router]) -> float:
    """Return the sum of the gauges of rejecting servers."""
    return sum(
        router.container.find("metrics").registry.get_sample_value(
            "celeryspan_rejecting_servers"
        )
        for router in routers
    )


@pytest.mark.parametrize("rejecting", [1, 2])
def test_requests_are_served_beside_rejecting_servers(cluster, rejecting) -> None:
    """Guards against a rejecting server that looks idle and so attracts requests."""
    servers, routers = start(cluster)
    assert measure_served(send_load(routers, 1.0, "before-")) == 1.0
    bad = servers[:rejecting]
    reached = [len(server.received) for server in bad]
    for server in bad:
        server.is_shedding = True
    began = time.monotonic()
    answers = send_load(routers, 4.0, "during-")
    seconds = time.monotonic() - began
    received = [
        len(server.received) - earlier
        for server, earlier in zip(bad, reached, strict=True)
    ]
    share = measure_served(answers)
    print(f"rejecting={rejecting} served={share:.3f} received={received}")
    assert share >= 0.99
    # Up to three requests are under way when a server begins to reject.
    assert max(received) <= TRIALS_PER_SECOND * seconds + 1 + 3
    for server in bad:
        server.is_shedding = False
    support.wait_for(lambda: measure_served(send_load(routers, 0.5, "again-")) == 1.0)
    answers = send_load(routers, 2.0, "after-")
    share = measure_served(answers)
    print(f"after: served={share:.3f}")
    assert share >= 0.99
    assert all(len(server.ran) > 25 for server in servers)


def test_callers_are_told_the_next_trial_if_all_servers_reject(cluster, logged) -> None:
    """Guards against callers that wait or come back at once, and against late returns.

    Requests must reach the servers within half a second after they accept them again.
    """
    servers, routers = start(cluster)
    assert measure_served(send_load(routers, 0.5, "before-")) == 1.0
    for server in servers:
        server.is_shedding = True
    send_load(routers, 2.0, "first-")
    reached = sum(len(server.received) for server in servers)
    began = time.monotonic()
    answers = send_load(routers, 2.0, "during-")
    seconds = time.monotonic() - began
    received = sum(len(server.received) for server in servers) - reached
    codes = {each.text for each in answers if b"servers-rejecting" in each.text}
    print(f"received={received} of {len(answers)} in {seconds:.2f} s")
    names = {server.name for server in servers}
    assert find_rejecting(routers).keys() == names
    assert count_rejecting(routers) == SERVERS
    assert {each.status for each in answers} == {503}
    assert codes
    assert received <= 2 * seconds + 2
    assert all(float(each.getheader("Retry-After")) <= 1.0 for each in answers)
    for server in servers:
        server.is_shedding = False
    answers = send_load(routers, 3.0, "after-")
    first = next(n for n, each in enumerate(answers) if each.status == 200)
    print(f"first success at request {first}, served={measure_served(answers):.3f}")
    assert first <= 0.6 * REQUESTS_PER_SECOND
    assert measure_served(answers[REQUESTS_PER_SECOND:]) >= 0.99
    support.wait_for(lambda: count_rejecting(routers) == 0)
    for event in (events.Event.SERVER_REJECTS, events.Event.SERVER_REJECTS_NO_MORE):
        lines = support.find_lines(logged, event)
        assert {line["server"] for line in lines} == names
