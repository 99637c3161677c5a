"""Stand-in for the servers of one service that crash and come back.

A crashed server's entry lapses a while later, and another incarnation with an id of its
own listens at the same address after that, as the platform starts it.
"""

from __future__ import annotations

import itertools
import threading
import time

from celeryspan import ids
from standins import desk, objects, platformserver

POLL_SECONDS = 0.01


class CrashingServers:
    """Servers of one service, started again whenever they crash.

    Attributes
    ----------
    servers : list of PlatformServer
        Those that are there now, also between a crash and the next start.
    incarnations : list of PlatformServer
        All that ever were.
    crashes : list of (float, ServerId)
        When servers crashed, on the monotonic clock.

    Parameters
    ----------
    fatal : set of bytes
        Bodies of requests that crash each server.
    lapse_seconds, return_seconds : float
        From a crash to the end of the entry, and to the next incarnation.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        service: str,
        count: int,
        fatal: set[bytes],
        *,
        lapse_seconds: float = 0.3,
        return_seconds: float = 0.5,
    ) -> None:
        self._store = store
        self._service = service
        self._fatal = fatal
        self._lapse_seconds = lapse_seconds
        self._return_seconds = return_seconds
        self._names = itertools.count(1)
        self._stopped = threading.Event()
        self.incarnations: list[platformserver.PlatformServer] = []
        self.crashes: list[tuple[float, ids.ServerId]] = []
        self.servers = [self._start() for _ in range(count)]
        self._tasks = [
            threading.Thread(target=self._keep, args=(index,), daemon=True)
            for index in range(count)
        ]
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop all servers."""
        self._stopped.set()
        for task in self._tasks:
            task.join()
        for server in self.servers:
            server.stop()

    def list_seen(self, body: bytes) -> list[platformserver.Seen]:
        """Return what arrived with a body, at any incarnation, in order."""
        found = [
            seen
            for server in self.incarnations
            for seen in list(server.seen)
            if seen.body == body
        ]
        return sorted(found, key=lambda seen: seen.at)

    def _start(self, port: int = 0) -> platformserver.PlatformServer:
        name = f"{self._service}-{next(self._names)}"
        server = platformserver.PlatformServer(
            name, streams=self._service == "planner", port=port
        )
        server.fatal = self._fatal
        server.start()
        self.incarnations.append(server)
        spec = desk.make_entry(self._service, server.address)
        self._store.put("servers", name, spec)
        return server

    def _keep(self, index: int) -> None:
        """Start one server again after each crash."""
        while not self._stopped.is_set():
            server = self.servers[index]
            if not server.crashed.wait(POLL_SECONDS):
                continue
            self.crashes.append((time.monotonic(), ids.ServerId(server.name)))
            self._stopped.wait(self._lapse_seconds)
            self._store.remove("servers", server.name)
            self._stopped.wait(self._return_seconds - self._lapse_seconds)
            if not self._stopped.is_set():
                self.servers[index] = self._start(server.address.port)
