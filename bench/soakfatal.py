"""Requests that crash servers, beside the seeded faults of the soak.

They draw from a generator of their own, so that the faults of a seed stay as they are.
A crashed server comes back after a while under its name, as another incarnation.
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
CALL_SECONDS = 4.0
COPIES = (2, 8)
"""Least and most copies of a request in one spell."""

GAP_SECONDS = (0.0, 0.5)
QUIET_SECONDS = (0.5, 3.0)
"""Between two copies, and between two spells."""

LAPSE_SECONDS = (0.2, 0.8)
RETURN_SECONDS = (0.3, 2.0)
"""From a crash to the end of the entry, and from there to the next incarnation."""

POLL_SECONDS = 0.002
WINDOW_SECONDS = 3.0
RETRIES_MAX = 3
"""Sends of a request that may reach servers later than the window after it has crashed
the third."""


class FatalCaller:
    """Sends copies of fatal requests by spells, and brings crashed servers back.

    Attributes
    ----------
    bookings : list of str
        Ids of the requests among them that may run once at most.
    """

    def __init__(self, place: soak.Soak, seed: int) -> None:
        self._place = place
        self._random = random.Random(f"fatal {seed}")
        self._count = 0
        self.bookings: list[str] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=task, daemon=True)
            for task in (self._send_spells, self._replace_crashed)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing more; servers that are down stay so."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def count_excess(self, servers: Iterable[platformserver.PlatformServer]) -> int:
        """Return how many sends there were beyond those that are allowed."""
        found = list(servers)
        return sum(max(0, count_late(body, found) - RETRIES_MAX) for body in BODIES)

    def _send_spells(self) -> None:
        while not self._stopped.wait(self._random.uniform(*QUIET_SECONDS)):
            body = self._random.choice(sorted(BODIES))
            for _ in range(self._random.randint(*COPIES)):
                self._send(body, self._random.choice(self._place.routers))
                if self._stopped.wait(self._random.uniform(*GAP_SECONDS)):
                    return

    def _send(self, body: bytes, router: soakparts.RouterProcess) -> None:
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
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            connection = http.client.HTTPConnection(*router.front, timeout=CALL_SECONDS)
            with contextlib.closing(connection):
                connection.request("POST", PATHS[body], body=body, headers=headers)
                connection.getresponse().read()

    def _replace_crashed(self) -> None:
        place = self._place
        while not self._stopped.wait(POLL_SECONDS):
            for index, server in enumerate(list(place.servers)):
                if server.crashed.is_set() and server not in place.crashed:
                    place.proxies[server.name].stop()
                    place.crashed.append(server)
                    threading.Thread(
                        target=self._replace, args=(index, server), daemon=True
                    ).start()

    def _replace(self, index: int, server: platformserver.PlatformServer) -> None:
        """Let the entry of a crashed server lapse, and start it again."""
        place, name = self._place, server.name
        place.note(f"{name} crashes by {server.crashed_by}")
        time.sleep(self._random.uniform(*LAPSE_SECONDS))
        if name not in place.left:
            place.store.remove("servers", name)
        time.sleep(self._random.uniform(*RETURN_SECONDS))
        if name in place.left or self._stopped.is_set():
            return
        service = name.partition("-")[0]
        again = place.start_server(name, service)
        place.proxies[name].start_again(again.address)
        place.servers[index] = again
        place.enter(name, service, place.proxies[name])


def count_late(body: bytes, servers: Iterable[platformserver.PlatformServer]) -> int:
    """Return how many copies arrived later than the window after the third crash."""
    found = list(servers)
    crashes = sorted(each.crashed_at for each in found if each.crashed_by == body)
    if len(crashes) < RETRIES_MAX:
        return 0
    late_from = crashes[2] + WINDOW_SECONDS
    return sum(
        request.at > late_from
        for server in found
        for request in list(server.received)
        if request.body == body
    )
