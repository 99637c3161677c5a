"""Requests that crash servers and share nothing but one part of their prompts."""

from __future__ import annotations

import http.client
import itertools
import threading
import time

import pytest

from celeryspan.decisions import suspectfeatures
from celeryspan.wire import messages
from standins import answerendings, crashing, platformserver
from tests.gateway import support

FATAL_PART = "f00d"
FIRST_PART = "aaaa"
OTHER_PART = "bbbb"

LATE_SENDS_MAX = 3
"""Requests with the part that may still reach servers after the fifth crash."""

CRASHES_FREE = 5

PROPAGATION_SECONDS = 1.0
"""Time within which all routers know of a crash; 3 s are required."""

PATHS = ["/drafts/1", "/notes/1"]
PROMPTS = {
    "first": [FATAL_PART, OTHER_PART],
    "middle": [FIRST_PART, FATAL_PART],
    "last but one": [FIRST_PART, OTHER_PART, FATAL_PART],
}

numbers = itertools.count(1)


def ask(
    router: support.Router, path: str, parts: list[str], count: int = 1
) -> list[int | None]:
    """Send requests that are all different; return the status of each.

    The last part of each prompt is its own. None stands for a broken connection.
    """
    statuses: list[int | None] = []
    for number in itertools.islice(numbers, count):
        prompt = ",".join(f"{part}:100" for part in [*parts, f"{number:08x}"])
        headers = {
            platformserver.PROMPT_PARTS: prompt,
            "Celeryspan-Token-Count": f"{100 * (len(parts) + 1)},40",
        }
        try:
            answer = router.call(
                path, f"r{number}", body=b"%d" % number, headers=headers
            )
            statuses.append(answer.status)
        except (OSError, http.client.HTTPException):
            statuses.append(None)
    return statuses


class Play:
    """Fatal requests beside sound ones of the same account and the same other parts.

    Attributes
    ----------
    sound : list of int or None
        Statuses of the sound requests, in the order in which they were sent.
    """

    def __init__(
        self, cluster: support.Cluster, path: str, parts: list[str], routers: int = 2
    ) -> None:
        self.servers = crashing.CrashingServers(
            cluster.store, "planner", 3, set(), fatal_parts={FATAL_PART}
        )
        self.routers = [
            cluster.start_router(f"edge-{number}") for number in range(routers)
        ]
        self.sound: list[int | None] = []
        self._path = path
        self._fatal = parts
        self._sound = [part for part in parts if part != FATAL_PART]

    def run(self, seconds: float = 5.0) -> None:
        """Send both kinds of requests at the same time."""
        until = time.monotonic() + seconds
        fatal = threading.Thread(target=self._send_fatal, args=(until,), daemon=True)
        fatal.start()
        for router in itertools.cycle(self.routers):
            if time.monotonic() >= until:
                break
            self.sound += ask(router, self._path, self._sound)
            time.sleep(0.05)
        fatal.join()

    def count_late_sends(self) -> int:
        """Return how many fatal requests reached servers after the fifth crash."""
        crashed_at = sorted(at for at, _ in self.servers.crashes)
        if len(crashed_at) < CRASHES_FREE:
            return 0
        known_at = crashed_at[CRASHES_FREE - 1] + PROPAGATION_SECONDS
        received = self.servers.list_received_with(FATAL_PART)
        return sum(request.at > known_at for request in received)

    def _send_fatal(self, until: float) -> None:
        for router in itertools.cycle(self.routers):
            if time.monotonic() >= until:
                return
            ask(router, self._path, self._fatal)
            time.sleep(0.1)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("parts", PROMPTS.values(), ids=PROMPTS)
def test_requests_with_a_fatal_part_stop_reaching_servers(
    cluster, path: str, parts: list[str]
) -> None:
    """Guards against a part of prompts that crashes one server after another."""
    play = Play(cluster, path, parts)
    play.run()
    play.servers.stop()
    assert play.count_late_sends() <= LATE_SENDS_MAX
    assert play.sound[-20:] == [200] * 20


def test_fatal_part_stays_held_when_all_routers_restart(cluster) -> None:
    """Guards against restarted routers that forget which parts crash servers."""
    play = Play(cluster, "/notes/1", PROMPTS["middle"])
    play.run(3.0)
    for router in play.routers:
        router.stop()
    play.routers = [cluster.start_router(f"edge-{number}") for number in (8, 9)]
    play.run(2.0)
    play.servers.stop()
    assert play.count_late_sends() <= LATE_SENDS_MAX
    assert play.sound[-10:] == [200] * 10


def test_popular_part_is_served_while_servers_crash_for_another_reason(
    cluster,
) -> None:
    """Guards against parts that are blamed for crashes beside which they ran."""
    servers = crashing.CrashingServers(cluster.store, "planner", 3, set())
    routers = [cluster.start_router(f"edge-{number}") for number in range(2)]
    statuses: list[int | None] = []
    for number, router in zip(range(70), itertools.cycle(routers), strict=False):
        if number % 10 == 4:
            servers.servers[number // 10 % 3].crash()
        statuses += ask(router, "/notes/1", [FIRST_PART, OTHER_PART])
        time.sleep(0.02)
    servers.stop()
    assert len(servers.crashes) >= CRASHES_FREE
    assert 429 not in statuses
    assert statuses[-5:] == [200] * 5


@pytest.mark.parametrize("is_crash", [False, True])
def test_unframed_answer_is_whole_and_acquits_only_if_its_server_is_alive(
    cluster, is_crash: bool
) -> None:
    """Guards against a crash between two events that ends a stream and acquits it."""
    server = cluster.add_server("planner-1", "planner")
    server.endings.append(answerendings.Ending(answerendings.Framing.CONNECTION))
    server.stops_after_answer = is_crash
    router = cluster.start_router()
    service = router.container.find("quarantine")
    fingerprinter = router.container.find("crashwatch")._fingerprinter
    value = fingerprinter.compute_feature(suspectfeatures.Kind.PART, FIRST_PART)
    strike = messages.Strike("gone@0", int(time.time() * 1000), 1, 0, True)
    service.merge([messages.Suspect(0, value, 0, (strike,), 1)])
    assert ask(router, "/notes/1", [FIRST_PART]) == [None if is_crash else 200]
    places = router.container.find("places")
    support.wait_for(lambda: places.report()["held"] == 0)
    (suspect,) = [each for each in service.list_suspects() if each.whole == value]
    assert bool(suspect.acquitted_ms) is not is_crash
