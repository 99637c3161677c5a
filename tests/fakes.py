"""In-memory fakes of kernel services."""

from __future__ import annotations

import threading
from collections.abc import Callable

from celeryspan import configuration, dispatch, errors, ids
from celeryspan.wire import messages


class Slot:
    """A slot that records how it was used."""

    def __init__(self, server: ids.ServerId) -> None:
        self.server = server
        self.units = 0.0
        self.endings: list[tuple[dispatch.Ending, float]] = []
        self.ended = threading.Event()
        self.expired = False

    def use(self) -> None:
        if self.expired:
            raise errors.NotRun("the grant has expired", code="grant-expired")

    def progress(self, units: float) -> None:
        self.units += units

    def note_cached(self, blocks: int) -> None:
        pass

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        self.endings.append((ending, cost))
        self.ended.set()


class Dispatch:
    """Grants a slot of the first matching server that is not excluded."""

    def __init__(self, servers: list[ids.ServerId]) -> None:
        self.servers = servers
        self.slots: list[Slot] = []
        self.cancelled: dict[ids.RequestId, threading.Event] = {}
        self.full = False
        self.waiting = threading.Event()

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def acquire(self, work: dispatch.Work) -> Slot:
        if self.full:
            event = self.cancelled.setdefault(work.request, threading.Event())
            self.waiting.set()
            event.wait(10)
            raise errors.NotRun("removed from the queue", code="cancelled", status=503)
        for server in self.servers:
            if server.startswith(work.service) and server not in work.excluded:
                slot = Slot(server)
                self.slots.append(slot)
                return slot
        raise errors.NotRun(
            "all servers are excluded", code="no-server", status=503, retry_after=1.0
        )

    def cancel(self, request: ids.RequestId) -> None:
        self.cancelled.setdefault(request, threading.Event()).set()


class Configuration:
    """Provides one configuration."""

    def __init__(self, value: configuration.Configuration | None) -> None:
        self.value = value

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def current(self) -> configuration.Configuration | None:
        return self.value

    def subscribe(self, handler: Callable[[configuration.Configuration], None]) -> None:
        self.handler = handler


class Membership:
    """Provides the members that a test sets."""

    def __init__(self) -> None:
        self.incarnation = ids.Incarnation(7)
        self.left = False
        self.members: list[messages.Member] = []

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def alive(self) -> list[messages.Member]:
        return self.members

    def find(self, router: ids.RouterId) -> messages.Member | None:
        return next((item for item in self.members if item.router == router), None)

    def leave(self) -> None:
        self.left = True


class Store:
    """An object API; a test may make it unavailable or lose its answers."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.down = False
        self.answers_lost = 0
        self._lock = threading.Lock()

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def get(self, key: str, *, background: bool = False) -> tuple[bytes, int]:
        self._check()
        if key not in self.values:
            raise errors.NotFound("no such key", step="read", peer="store")
        return self.values[key]

    def create(self, key: str, value: bytes, *, background: bool = False) -> int:
        self._check()
        with self._lock:
            if key in self.values:
                raise errors.Conflict("it exists", step="create", peer="store")
            self.values[key] = (value, 1)
        self._lose()
        return 1

    def update(
        self, key: str, value: bytes, version: int, *, background: bool = False
    ) -> int:
        self._check()
        if self.values[key][1] != version:
            raise errors.Conflict("another version", step="update", peer="store")
        self.values[key] = (value, version + 1)
        return version + 1

    def _check(self) -> None:
        if self.down:
            raise errors.StoreNotAsked("the store is down", peer="store")

    def _lose(self) -> None:
        if self.answers_lost:
            self.answers_lost -= 1
            raise errors.StoreUnavailable("no answer", step="create", peer="store")
