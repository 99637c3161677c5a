"""Servers that answer with bytes without end: ``make bench NAME=endless``.

Two router processes stand before four servers of one service, one of which answers all
requests so. For each kind the bench prints what callers got, how often that server was
asked and how much the routers read of it, and the routers' peak memory.
"""

from __future__ import annotations

import collections
import contextlib
import http.client
import pathlib
import tempfile
import threading
import time

from bench import soakendless, soakparts, tables
from standins import endlessanswers, objects, platformserver, ports, sampleconfig

ROUTERS = 2
SERVERS = 4
MEMORY_MEGABYTES = 300

REQUESTS_PER_SECOND = 30
SECONDS = 6.0
PLAIN_DEADLINE_SECONDS = 1.5
STREAM_DEADLINE_SECONDS = 15.0

STREAM_KINDS = ("event", "comments", "lines that are no events", "trailers")
KINDS = {
    sampleconfig.CALLS: ("none", *endlessanswers.KINDS),
    sampleconfig.DRAFTS: ("none", *STREAM_KINDS),
}
"""Kinds that are played, by route."""

BYTES_PER_MEGABYTE = 1_000_000


class Play:
    """One kind of answers without end, before routers of their own."""

    def __init__(self, kind: str, path: str, stack: contextlib.ExitStack) -> None:
        service = "planner" if path.startswith(sampleconfig.DRAFTS) else "gate"
        self._path = path
        self.results: collections.Counter[str] = collections.Counter()
        store = objects.ObjectStore()
        store.start()
        stack.callback(store.stop)
        store.put("config", "main", make_configuration())
        self.servers = []
        for number in range(SERVERS):
            server = platformserver.PlatformServer(
                f"{service}-{number}", streams=service == "planner"
            )
            server.start()
            stack.callback(server.stop)
            entry = sampleconfig.make_entry(service, server.address)
            store.put("servers", server.name, entry)
            self.servers.append(server)
        self.servers[0].endless = "" if kind == "none" else kind
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        free = ports.find_ports(4 * ROUTERS)
        self.routers = [
            soakparts.RouterProcess(
                f"edge-{number}",
                store.address,
                free[4 * number : 4 * number + 4],
                folder,
                memory_megabytes=MEMORY_MEGABYTES,
            )
            for number in range(ROUTERS)
        ]
        for router in self.routers:
            router.start()
            stack.callback(router.kill)
        sampleconfig.wait_for(lambda: all(each.is_ready() for each in self.routers))

    def run(self) -> None:
        """Send requests at a steady rate and wait for their ends."""
        threads = []
        for number in range(int(REQUESTS_PER_SECOND * SECONDS)):
            thread = threading.Thread(target=self._call, args=(number,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(1 / REQUESTS_PER_SECOND)
        for thread in threads:
            thread.join()

    def _call(self, number: int) -> None:
        is_stream = self._path.startswith(sampleconfig.DRAFTS)
        seconds = STREAM_DEADLINE_SECONDS if is_stream else PLAIN_DEADLINE_SECONDS
        router = self.routers[number % ROUTERS]
        caller = http.client.HTTPConnection(*router.front, timeout=seconds + 1.0)
        headers = {
            "Host": sampleconfig.HOST,
            "Celeryspan-Request-Id": f"r{number}",
            "Celeryspan-Deadline-Ms": str(int(seconds * 1000)),
            "Celeryspan-Credential": sampleconfig.KEY,
        }
        with contextlib.closing(caller):
            try:
                caller.request("POST", self._path + "1", body=b"asked", headers=headers)
                answer = caller.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.results["lost"] += 1
                return
        kinds = {200: "whole", 502: "lost", 504: "lost"}
        self.results[kinds.get(answer.status, "other")] += 1


def make_configuration() -> dict:
    """Return a configuration whose requests may run more than once."""
    found = sampleconfig.make_configuration()
    for route in found["routes"]:
        route["timeout_ms"] = int(STREAM_DEADLINE_SECONDS * 1000)
    return found


def play(path: str, kind: str) -> dict[str, object]:
    """Play one kind on one route; returns a row of the table."""
    with contextlib.ExitStack() as stack:
        one = Play(kind, path, stack)
        one.run()
        first = one.servers[0]
        return {
            "whole": one.results["whole"],
            "502, 504 or cut": one.results["lost"],
            "other": one.results["other"],
            "peak MB": round(max(map(soakendless.read_peak, one.routers))),
            "asked": len(first.received),
            "MB of one answer": round(first.endless_bytes / BYTES_PER_MEGABYTE, 1),
        }


def run(arguments: list[str]) -> int:
    """Play all kinds, or those whose names hold one of the arguments."""
    for path, kinds in KINDS.items():
        chosen = [
            kind
            for kind in kinds
            if not arguments or any(word in kind for word in arguments)
        ]
        tables.print_patterns([path], chosen, play)
    return 0
