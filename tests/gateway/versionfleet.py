"""Routers as processes before engines of several versions, and streams over tries."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import pathlib
import threading
import time

from standins import platformserver
from tests.gateway import processes, support

ROUTERS = 3
STREAM_SECONDS = 6.0
DEADLINE_SECONDS = 14.0


@dataclasses.dataclass
class Stream:
    """A stream as its caller sees it over its tries."""

    origin: str
    events: list[int] = dataclasses.field(default_factory=list)
    refusals: list[bytes] = dataclasses.field(default_factory=list)
    versions: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_whole(self) -> bool:
        """Whether all events have arrived, in order and of one version."""
        expected = list(range(1, platformserver.EVENTS + 1))
        return self.events == expected and len(self.versions) == 1

    def ask(
        self, router: processes.ProcessRouter, request: str, *, names_origin: bool
    ) -> None:
        """Send a request and read what comes until the answer or the router ends."""
        headers = {
            "Host": support.HOST,
            "Celeryspan-Request-Id": request,
            "Celeryspan-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "Celeryspan-Credential": support.KEY,
        }
        if request != self.origin:
            headers["Last-Event-Id"] = str(self.events[-1])
            if names_origin:
                headers["Resumes"] = self.origin
        with (
            contextlib.suppress(OSError, http.client.HTTPException),
            contextlib.closing(router.connect()) as connection,
        ):
            connection.request("POST", "/drafts/1", body=b"asked", headers=headers)
            answer = connection.getresponse()
            if answer.status != 200:
                self.refusals.append(answer.read())
            while line := answer.readline():
                self._record(line)

    def _record(self, line: bytes) -> None:
        if line.startswith(b"id: "):
            self.events.append(int(line[4:]))
        self.versions.update(platformserver.list_versions(line))


class Fleet:
    """Routers as processes beside a store and engines."""

    def __init__(self, stack: contextlib.ExitStack, folder: pathlib.Path) -> None:
        self.cluster = support.Cluster(stack)
        routes = [
            support.make_route(
                "/drafts/",
                "stream",
                "planner",
                resumable=True,
                timeout_ms=int(DEADLINE_SECONDS * 1000),
                target_latency_ms=4000,
                max_gap_ms=4000,
            )
        ]
        configuration = support.make_configuration(routes=routes)
        self.cluster.store.put("config", "main", configuration)
        self.engines: dict[str, list[platformserver.PlatformServer]] = {}
        self._stack, self._folder = stack, folder

    def add_engines(self, version: str, count: int = 6) -> None:
        """Start engines of a version."""
        self.engines[version] = [
            self.cluster.add_server(f"gpu-{version}-{n}", "planner", version=version)
            for n in range(count)
        ]
        for engine in self.engines[version]:
            engine.event_seconds = STREAM_SECONDS / platformserver.EVENTS

    def replace_engines(self) -> None:
        """Let engines of another version take the place of all others."""
        for engine in self.engines.pop("v1"):
            self.cluster.store.remove("servers", engine.name)
        self.add_engines("v2")

    def restart_engines(self) -> None:
        """Let all engines come back under their ids with another version."""
        for engine in self.engines["v1"]:
            engine.version = "v2"
            born = int(time.time() * 1000)
            self.cluster.register_server(engine, "planner", version="v2", born=born)

    def silence_store(self, seconds: float = 1.5) -> None:
        """Let the store answer nothing for some time."""
        self.cluster.store.faults.silent = True
        threading.Timer(seconds, self._answer_again).start()

    def _answer_again(self) -> None:
        self.cluster.store.faults.silent = False

    def start_routers(self) -> list[processes.ProcessRouter]:
        """Start the routers, which are stopped at the end."""
        return [
            self._stack.enter_context(
                processes.run_router(
                    self._folder, str(self.cluster.store.address), name=f"edge-{number}"
                )
            )
            for number in range(ROUTERS)
        ]


def ask_all(
    streams: list[Stream],
    routers: list[processes.ProcessRouter],
    prefix: str,
    *,
    names_origin: bool,
) -> list[threading.Thread]:
    """Send one request for each stream, to the routers in turn."""
    return [
        support.run_in_thread(
            lambda stream=stream, number=number: stream.ask(
                routers[(number + bool(prefix)) % len(routers)],
                prefix + stream.origin,
                names_origin=names_origin,
            )
        )
        for number, stream in enumerate(streams)
    ]
