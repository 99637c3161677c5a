"""An entry of another writer beside the servers, then the kill of all routers.

The entry states a number of milliseconds that no float holds. It names no server to
use; the entries of the servers hold. All routers are killed right after a change of the
configuration was acknowledged, and start again.
"""

from __future__ import annotations

import pathlib
import sys
import threading
import time
from typing import NamedTuple

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import clients  # noqa: E402
import fleet  # noqa: E402
import record  # noqa: E402
import servers  # noqa: E402
import smallsite  # noqa: E402
import store  # noqa: E402

CLIENTS = 9
PAUSE_SECONDS = 0.1
DOWN_SECONDS = 1.0
RECOVER_SECONDS = 12.0
"""The bound ``recover_s`` of the site."""

JUDGED_SECONDS = 8.0
SERVED_MIN = 0.25

FOREIGN_ENTRY = {
    "service": smallsite.PLAIN_SERVICE,
    "address": "127.0.0.1:9",
    "zone": "voss",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 10**400,
    "sequence": 1,
}
"""An entry of another writer: it lacks a version, and no float holds its time."""


class Asked(NamedTuple):
    """One request of a client: when it was sent, and the status of its answer."""

    at: float
    router: str
    status: int


def be_client(
    number: int, routers: list[fleet.Router], asked: list[Asked], ending
) -> None:
    """Send idempotent requests to the routers in turn."""
    headers = {
        "Celeryspan-Credential": smallsite.KEY,
        "Celeryspan-Deadline-Ms": "1500",
    }
    turn = number
    while not ending.wait(PAUSE_SECONDS):
        turn += 1
        router = routers[turn % len(routers)]
        at = time.monotonic()
        answer = clients.ask_once(
            router.front, "GET", smallsite.STATUS + "x", headers, seconds=1.5
        )
        is_served = answer.status == 200 and answer.is_whole
        status = answer.status if is_served or answer.status != 200 else 0
        asked.append(Asked(at, router.name, status))


def measure(asked: list[Asked], since: float, until: float) -> tuple[int, float]:
    """Return how many requests were sent in a span, and which share was served."""
    found = [each.status for each in asked if since <= each.at < until]
    return len(found), found.count(200) / max(1, len(found))


def play(notes: record.Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    platform = store.Store()
    platform.start()
    backends = [
        servers.Server(
            platform, f"i-app{place}", smallsite.PLAIN_SERVICE, smallsite.ZONES[place]
        )
        for place in range(3)
    ]
    for backend in backends:
        backend.start()
    platform.put("config", "main", smallsite.make_config(7))
    routers = fleet.Fleet(folder, smallsite.ZONES, platform.address)
    asked: list[Asked] = []
    ending = threading.Event()
    try:
        if not routers.start():
            raise record.CannotRun("the routers did not become ready")
        time.sleep(3.0)
        for number in range(CLIENTS):
            threading.Thread(
                target=be_client,
                args=(number, routers.routers, asked, ending),
                daemon=True,
            ).start()
        began_at = time.monotonic()
        time.sleep(2.0)
        if has_trouble:
            platform.put("servers", "i-foreign", FOREIGN_ENTRY)
            notes.note("another writer has written the entry i-foreign")
        time.sleep(4.0)
        platform.put("config", "main", smallsite.make_config(9))
        killed_at = time.monotonic()
        for router in routers.routers:
            router.kill()
        notes.note("version 9 is acknowledged; all routers are killed")
        time.sleep(DOWN_SECONDS)
        for router in routers.routers:
            router.start()
        back_at = time.monotonic()
        notes.note("all routers are started again")
        time.sleep(RECOVER_SECONDS + JUDGED_SECONDS)
        ready = [router.is_ready() for router in routers.routers]
        running = [router.process.poll() is None for router in routers.routers]
    finally:
        ending.set()
        time.sleep(0.3)
        routers.stop()
        for backend in backends:
            backend.stop()
        platform.stop()
    for each in sorted(asked):
        notes.note(f"sent {each.at:.3f} to {each.router} status {each.status}")
    before, served_before = measure(asked, began_at, killed_at)
    judged_at = back_at + RECOVER_SECONDS
    after, served_after = measure(asked, judged_at, judged_at + JUDGED_SECONDS)
    notes.note(f"routers that run: {running}, that are ready: {ready}")
    notes.note(
        f"served before: {served_before:.2f} of {before}; served of those sent later "
        f"than {RECOVER_SECONDS:g} s after the routers were back: {served_after:.2f} "
        f"of {after}; the rule asks for {SERVED_MIN}"
    )
    if served_before < SERVED_MIN or not after:
        raise record.CannotRun("too few requests were served or sent")
    return served_after >= SERVED_MIN


record.run_case(HERE, play)
