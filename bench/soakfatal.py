"""Requests that crash servers, in addition to the seeded faults of the soak.

They use a separate random generator, so that the faults of a seed do not depend on
them. A crashed server restarts after a while under its name as a new incarnation.
"""

from __future__ import annotations

import contextlib
import http.client
import random
import threading
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from standins import platformserver, sampleconfig

if TYPE_CHECKING:
    from bench import soak, soakparts

BODIES = {b"fatal booking", b"fatal call", b"fatal draft"}
PATHS = {
    b"fatal booking": "/bookings/fatal",
    b"fatal call": "/calls/fatal",
    b"fatal draft": "/drafts/fatal",
}

FATAL_PART = "f00d"
"""Part of prompts that crashes servers; requests with it are all different."""

PART_PATH = "/drafts/"
PART_CRASHES_MAX = 5
"""Number of crashes by the part before the window starts."""

CALL_SECONDS = 4.0
COPIES = (2, 8)
"""Range of the number of copies of a request in one burst."""

GAP_SECONDS = (0.0, 0.5)
"""Range of the time between two copies."""

QUIET_SECONDS = (0.5, 3.0)
"""Range of the time between two bursts."""

EXPIRY_SECONDS = (0.2, 0.8)
"""Range of the time from a crash to the removal of the server's entry."""

RESTART_SECONDS = (0.3, 2.0)
"""Range of the time from the removal of the entry to the next incarnation."""

POLL_SECONDS = 0.002
WINDOW_SECONDS = 3.0
"""Time after the third crash from which copies of a fatal request count as late."""

CRASHES_MAX = 3
"""Number of crashes by one request before the window starts, and number of late copies
that may still reach servers."""


class FatalCaller:
    """Sends bursts of fatal requests and restarts the servers that crash.

    Attributes
    ----------
    bookings : list of str
        Ids of the requests that are not idempotent and may run at most once.
    """

    def __init__(self, run: soak.Soak, seed: int) -> None:
        self._run = run
        self._random = random.Random(f"fatal {seed}")
        self._count = 0
        self.bookings: list[str] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=task, daemon=True)
            for task in (self._send_bursts, self._watch_crashes)
        ]

    def start(self) -> None:
        """Start sending and restarting."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop; crashed servers stay down."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count_excess(self, servers: Iterable[platformserver.PlatformServer]) -> int:
        """Return the number of late copies beyond the allowed number."""
        found = list(servers)
        late = [count_late(body, found) for body in BODIES]
        late.append(count_late_with_part(found))
        return sum(max(0, count - CRASHES_MAX) for count in late)

    def _send_bursts(self) -> None:
        while not self._stopped.wait(self._random.uniform(*QUIET_SECONDS)):
            body = self._random.choice([*sorted(BODIES), b""])
            for _ in range(self._random.randint(*COPIES)):
                self._send(body, self._random.choice(self._run.routers))
                if self._stopped.wait(self._random.uniform(*GAP_SECONDS)):
                    return

    def _send(self, body: bytes, router: soakparts.RouterProcess) -> None:
        """Send a copy of a fatal request, or one with the fatal part without a body."""
        self._count += 1
        request = f"fatal-{self._count}"
        if body == b"fatal booking":
            self.bookings.append(request)
        headers = {
            "Host": sampleconfig.HOST,
            "Celeryspan-Request-Id": request,
            "Celeryspan-Deadline-Ms": "3000",
            "Celeryspan-Credential": sampleconfig.KEY,
        }
        path = PATHS.get(body, f"{PART_PATH}{self._count}")
        if not body:
            body = b"%d" % self._count
            headers[platformserver.PROMPT_PARTS] = (
                f"aaaa:100,{FATAL_PART}:50,{self._count:08x}:10"
            )
            headers["Celeryspan-Token-Count"] = "160,40"
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            connection = http.client.HTTPConnection(*router.front, timeout=CALL_SECONDS)
            with contextlib.closing(connection):
                connection.request("POST", path, body=body, headers=headers)
                connection.getresponse().read()

    def _watch_crashes(self) -> None:
        run = self._run
        while not self._stopped.wait(POLL_SECONDS):
            for index, server in enumerate(list(run.servers)):
                if server.crashed.is_set() and server not in run.crashed:
                    run.proxies[server.name].stop()
                    run.crashed.append(server)
                    threading.Thread(
                        target=self._restart, args=(index, server), daemon=True
                    ).start()

    def _restart(self, index: int, server: platformserver.PlatformServer) -> None:
        """Remove the entry of a crashed server and start its next incarnation."""
        run, name = self._run, server.name
        run.record_event(f"{name} was crashed by {server.crashed_by}")
        time.sleep(self._random.uniform(*EXPIRY_SECONDS))
        if name not in run.leave_times:
            run.store.remove("servers", name)
        time.sleep(self._random.uniform(*RESTART_SECONDS))
        if name in run.leave_times or self._stopped.is_set():
            return
        service = name.partition("-")[0]
        restarted = run.start_server(name, service)
        run.proxies[name].restart(restarted.address)
        run.servers[index] = restarted
        run.register(name, service, run.proxies[name])


def count_late(body: bytes, servers: Iterable[platformserver.PlatformServer]) -> int:
    """Return how many copies reached servers after the window."""
    found = list(servers)
    crashes = [each.crashed_at for each in found if each.crashed_by == body]
    received = [
        request.at
        for server in found
        for request in list(server.received)
        if request.body == body
    ]
    return _count_after(crashes, CRASHES_MAX, received)


def count_late_with_part(servers: Iterable[platformserver.PlatformServer]) -> int:
    """Return how many requests with the fatal part reached servers after the window."""
    found = list(servers)
    crashes = [each.crashed_at for each in found if FATAL_PART in each.crashed_parts]
    received = [
        request.at
        for server in found
        for request in list(server.received)
        if FATAL_PART in request.parts
    ]
    return _count_after(crashes, PART_CRASHES_MAX, received)


def _count_after(crashes: list[float], free: int, received: list[float]) -> int:
    """Count what was received after the window that the last free crash starts."""
    if len(crashes) < free:
        return 0
    late_from = sorted(crashes)[free - 1] + WINDOW_SECONDS
    return sum(at > late_from for at in received)
