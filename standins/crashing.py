"""Stand-in for the servers of a service that crash and are restarted.

As on the platform, the entry of a crashed server is removed after a delay; later
another incarnation with a new id listens at the same address.
"""

from __future__ import annotations

import itertools
import threading
import time
from collections.abc import Collection

from celeryspan import ids
from standins import objects, platformserver, sampleconfig

POLL_SECONDS = 0.01


class CrashingServers:
    """Servers of a service that are restarted whenever they crash.

    Attributes
    ----------
    servers : list of PlatformServer
        The latest incarnation of each server, which may have crashed.
    incarnations : list of PlatformServer
        All incarnations so far, in order of their start.
    crashes : list of (float, ServerId)
        Monotonic time and id of each crashed server.

    Parameters
    ----------
    fatal_bodies : set of bytes
        Bodies of requests that crash any server.
    fatal_parts : set of str
        Parts of prompts that do.
    expiry_seconds, restart_seconds : float
        Delays from a crash to the removal of the entry and to the next start.
    is_framed : bool
        Whether streams come in chunks; otherwise a crash ends them in order.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        service: str,
        count: int,
        fatal_bodies: set[bytes],
        *,
        fatal_parts: Collection[str] = (),
        expiry_seconds: float = 0.3,
        restart_seconds: float = 0.5,
        is_framed: bool = True,
    ) -> None:
        self._store = store
        self._service = service
        self._fatal_bodies = fatal_bodies
        self._fatal_parts = set(fatal_parts)
        self._expiry_seconds = expiry_seconds
        self._restart_seconds = restart_seconds
        self._is_framed = is_framed
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self.incarnations: list[platformserver.PlatformServer] = []
        self.crashes: list[tuple[float, ids.ServerId]] = []
        self.servers = [self._start() for _ in range(count)]
        self._threads = [
            threading.Thread(
                target=self._restart_after_crashes, args=(index,), daemon=True
            )
            for index in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all servers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        for server in self.servers:
            server.stop()

    def list_received(self, body: bytes) -> list[platformserver.ReceivedRequest]:
        """Return the requests with a body that any incarnation received, by time."""
        return [each for each in self._list_all() if each.body == body]

    def list_received_with(self, part: str) -> list[platformserver.ReceivedRequest]:
        """Return the requests with a part that any incarnation received, by time."""
        return [each for each in self._list_all() if part in each.parts]

    def _list_all(self) -> list[platformserver.ReceivedRequest]:
        received = [
            request for server in self.incarnations for request in list(server.received)
        ]
        return sorted(received, key=lambda request: request.at)

    def _start(self, port: int = 0) -> platformserver.PlatformServer:
        name = f"{self._service}-{next(self._numbers)}"
        server = platformserver.PlatformServer(
            name, streams=self._service == "planner", port=port
        )
        server.fatal_bodies = self._fatal_bodies
        server.fatal_parts = self._fatal_parts
        server.is_framed = self._is_framed
        server.start()
        self.incarnations.append(server)
        spec = sampleconfig.make_entry(self._service, server.address)
        self._store.put("servers", name, spec)
        return server

    def _restart_after_crashes(self, index: int) -> None:
        """Restart a server after each crash."""
        while not self._stopped.is_set():
            server = self.servers[index]
            if not server.crashed.wait(POLL_SECONDS):
                continue
            self.crashes.append((time.monotonic(), ids.ServerId(server.name)))
            self._stopped.wait(self._expiry_seconds)
            self._store.remove("servers", server.name)
            self._stopped.wait(self._restart_seconds - self._expiry_seconds)
            if not self._stopped.is_set():
                self.servers[index] = self._start(server.address.port)
