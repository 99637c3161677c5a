"""A planned stop cuts a stream without a length, and the client gets a whole answer."""

from __future__ import annotations

import pathlib
import signal
import socket
import sys
import threading
import time

import clients
import fleet
import record
import runner
import servers
import smallsite
import store

EVENTS = 48
GAP_SECONDS = 0.25
STREAMS = 8
TIME_LIMIT_SECONDS = 15.0

FOLDER = pathlib.Path(__file__).parent


def stream(
    server: servers.Server, request: servers.Request, channel: socket.socket
) -> bool:
    """Send events; the odd requests get chunks, the others an answer of no length."""
    is_chunked = int(request.name.rsplit("-", 1)[1]) % 2 == 1
    headers = {"Content-Type": "text/event-stream"}
    headers |= (
        {"Transfer-Encoding": "chunked"} if is_chunked else {"Connection": "close"}
    )
    channel.sendall(server.format_head(request, 200, headers))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number} of {EVENTS}\n\n".encode()
        if is_chunked:
            event = b"%x\r\n%b\r\n" % (len(event), event)
        channel.sendall(event)
        time.sleep(GAP_SECONDS)
    if is_chunked:
        channel.sendall(b"0\r\n\r\n")
    server.log.add(f"server {server.name} has sent all events of {request.name}")
    return is_chunked


def run_client(
    address: tuple[str, int], name: str, log: record.Record, found: dict
) -> None:
    """Send one request and record the answer."""
    log.add(f"client sends {name}")
    answer = clients.send(
        address,
        name,
        "POST",
        "/draft/1",
        body=b"season",
        seconds=TIME_LIMIT_SECONDS,
        headers={
            "Celeryspan-Model": "m",
            "Celeryspan-Token-Count": f"600,{EVENTS * 6}",
            "Celeryspan-Prefix-Hash": f"5c1e07a2:500,{name.encode().hex()}:100",
        },
    )
    found[name] = answer
    events = answer.body.count(b"\n\n")
    log.add(f"client gets {name}: {answer}, {events} of {EVENTS} events")


def play(log: record.Record, has_trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    platform = store.Store()
    route = smallsite.make_route(
        "/draft/",
        "stream",
        smallsite.ENGINES,
        timeout_ms=15000,
        target_latency_ms=600,
    )
    platform.put("config", "main", smallsite.make_configuration(route))
    for number, zone in enumerate(("bergen-a", "voss"), 1):
        server = servers.Server(
            f"i-{number}", smallsite.ENGINES, zone, stream, log, slots=64
        )
        server.register(platform)
    routers = fleet.Fleet(platform.address, ["bergen-a", "voss"])
    try:
        routers.start()
        time.sleep(1.0)
        first = routers.routers[0]
        found: dict[str, clients.Answer] = {}
        threads = [
            threading.Thread(
                target=run_client, args=(first.front, f"stream-{number}", log, found)
            )
            for number in range(STREAMS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        if has_trouble:
            log.add(f"SIGTERM to {first.name}")
            first.send_signal(signal.SIGTERM)
            until = time.monotonic() + fleet.BOUNDS["grace_s"]
            while first.is_running() and time.monotonic() < until:
                time.sleep(0.02)
            log.add(f"{first.name} has ended: {not first.is_running()}")
            if first.is_running():
                first.send_signal(signal.SIGKILL)
        for thread in threads:
            thread.join()
    finally:
        routers.end()
    false_ends = [
        name
        for name, answer in found.items()
        if answer.status == 200
        and answer.is_whole
        and answer.body.count(b"\n\n") < EVENTS
    ]
    log.add(f"streams that end as complete before their last piece: {false_ends}")
    is_sound = has_trouble or all(
        answer.is_whole and answer.body.count(b"\n\n") == EVENTS
        for answer in found.values()
    )
    return not false_ends and is_sound


if __name__ == "__main__":
    sys.exit(runner.run(FOLDER, play))
