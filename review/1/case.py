"""A server fails a request that it ran, and the request runs at another server."""

from __future__ import annotations

import collections
import pathlib
import random
import socket
import sys
import time

import clients
import fleet
import record
import runner
import servers
import smallsite
import store

REQUESTS = 60
FAILED_SHARE = 0.45
WORK_SECONDS = 0.015
SEED = 58

FOLDER = pathlib.Path(__file__).parent


class Grey:
    """Serves requests, and fails some of them after they have run."""

    def __init__(self, *, has_trouble: bool) -> None:
        self._random = random.Random(SEED)
        self._share = FAILED_SHARE if has_trouble else 0.0

    def answer(
        self, server: servers.Server, request: servers.Request, channel: socket.socket
    ) -> bool:
        """Run a request and answer it."""
        time.sleep(WORK_SECONDS)
        failed = self._random.random() < self._share
        status, body = (500, b"failed") if failed else (200, b"booked")
        headers = {
            "Content-Type": "text/plain",
            "Content-Length": str(len(body)),
            "Keep-Alive": "timeout=15",
        }
        server.log.add(f"server {server.name} answers {request.name}: {status}")
        channel.sendall(server.format_head(request, status, headers) + body)
        return True


def play(log: record.Record, has_trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    platform = store.Store()
    route = smallsite.make_route(
        "/yard/", "non_idempotent", smallsite.PLAIN, max_attempts=2
    )
    platform.put("config", "main", smallsite.make_configuration(route))
    grey = Grey(has_trouble=has_trouble)
    started = []
    for number, zone in enumerate(("bergen-a", "bergen-b", "voss", "forde"), 1):
        server = servers.Server(f"i-{number}", smallsite.PLAIN, zone, grey.answer, log)
        server.register(platform)
        started.append(server)
    routers = fleet.Fleet(platform.address, ["bergen-a", "voss"])
    answers = {}
    try:
        routers.start()
        time.sleep(1.0)
        for number in range(REQUESTS):
            name = f"booking-{number}"
            address = routers.routers[number % 2].front
            answers[name] = clients.send(
                address, name, "POST", "/yard/1", body=b"gang 7", seconds=1.5
            )
            log.add(f"client gets {name}: {answers[name]}")
    finally:
        routers.end()
    runs = collections.Counter(name for server in started for name in server.runs)
    twice = sorted(name for name, count in runs.items() if count > 1)
    log.add(f"{len(twice)} of {REQUESTS} requests ran more than once: {twice}")
    is_sound = has_trouble or all(each.status == 200 for each in answers.values())
    return not twice and is_sound


if __name__ == "__main__":
    sys.exit(runner.run(FOLDER, play))
