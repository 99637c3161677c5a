"""Releases of engine software, and callers that take streams up, for the soak.

They use random generators of their own, so that the faults of a seed do not depend on
them. Each release replaces engines one at a time, new ones first; engines that crash
come back under their id with the newest version. Meanwhile callers leave streams in the
middle and take them up at other routers.
"""

from __future__ import annotations

import collections
import contextlib
import http.client
import random
import threading
from typing import TYPE_CHECKING

from bench import soakparts
from standins import platformserver, sampleconfig

if TYPE_CHECKING:
    from bench import soak

SERVICE = "planner"

CALLERS = 4

QUIET_SECONDS = (2.0, 5.0)
"""Range of the time between two releases."""

STEP_SECONDS = (0.3, 1.5)
"""Range of the time between two engines of one release."""

PAUSE_SECONDS = (0.0, 0.8)
"""Range of the time after which a caller takes its stream up."""

TRIES_MAX = 8

CALL_SECONDS = 5.0


class Releases(soakparts.RepeatedTask):
    """Releases new versions of the engines' software.

    Attributes
    ----------
    version : str
        The version with which engines start.
    """

    def __init__(self, run: soak.Soak, seed: int) -> None:
        super().__init__()
        self.version = "v1"
        self._number = 1
        self._run = run
        self._random = random.Random(f"releases {seed}")

    def choose_pause(self) -> float:
        """Return the seconds until the next release."""
        return self._random.uniform(*QUIET_SECONDS)

    def step(self) -> None:
        """Release a version; a stop may come in the middle of it."""
        self._number += 1
        self.version = f"v{self._number}"
        self._run.record_event(f"release of {self.version}")
        for server in self._choose_replaced():
            self._run.replace_server(server)
            if self.stopped.wait(self._random.uniform(*STEP_SECONDS)):
                return

    def _choose_replaced(self) -> list[platformserver.PlatformServer]:
        """Return the engines that a release replaces: all, or only some of them."""
        ready = [
            each
            for each in self._run.servers
            if each.streams and each.name not in self._run.leave_times
        ]
        count = self._random.choice((1, len(ready) // 2 + 1, len(ready)))
        return self._random.sample(ready, min(count, len(ready)))


class ResumingCaller:
    """Leaves streams in the middle and takes them up, one at a time.

    Attributes
    ----------
    counts : Counter
        Streams by what became of them.
    mixed : list of str
        Streams that hold events of two versions.
    """

    def __init__(
        self, name: str, routers: list[soakparts.RouterProcess], seed: int
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.mixed: list[str] = []
        self._name = name
        self._routers = routers
        self._random = random.Random(f"{name} {seed}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop and wait for the last stream."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        count = 0
        while not self._stopped.wait(self._random.uniform(0.0, 0.1)):
            count += 1
            self._play(f"{self._name}-{count}")

    def _play(self, stream: str) -> None:
        """Receive one stream, in several requests."""
        origin = ""
        versions: list[str] = []
        for number in range(TRIES_MAX):
            request = f"{stream}-{number}"
            if not versions:
                origin = request
            router = self._random.choice(self._routers)
            status, found = self._receive(router, request, origin, len(versions))
            if versions:
                self.counts["taken_up"] += 1
                self.counts["went_on"] += status == 200
            versions += found
            if len(versions) >= platformserver.EVENTS or self._stopped.is_set():
                break
            self._stopped.wait(self._random.uniform(*PAUSE_SECONDS))
        if len(set(versions)) > 1:
            self.mixed.append(f"{origin}: {versions}")

    def _receive(
        self, router: soakparts.RouterProcess, request: str, origin: str, last: int
    ) -> tuple[int, list[str]]:
        """Receive some events; returns the status, 0 for none, and their versions."""
        headers = {
            "Host": sampleconfig.HOST,
            "Celeryspan-Request-Id": request,
            "Celeryspan-Deadline-Ms": "3000",
            "Celeryspan-Credential": sampleconfig.KEY,
        }
        if last:
            headers[platformserver.LAST_EVENT_ID] = str(last)
            headers[platformserver.RESUMES] = origin
        body = b""
        status = 0
        connection = http.client.HTTPConnection(*router.front, timeout=CALL_SECONDS)
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            connection.request("POST", sampleconfig.DRAFTS + "1", headers=headers)
            answer = connection.getresponse()
            status = answer.status
            wanted = self._random.randint(1, platformserver.EVENTS)
            while status == 200 and (line := answer.readline()):
                body += line
                if body.count(b"\n\n") >= wanted:
                    break
        connection.close()
        whole = body[: body.rfind(b"\n\n") + 2] if status == 200 else b""
        return status, platformserver.list_versions(whole)
