"""All routers are killed in the middle of streams, which clients then take up again.

The routers start again after a second. Clients take their streams up once the routers
have run for longer than the stable window, beside new streams, while four servers of
the one version serve.
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

STREAMS = 24
NEW_STREAMS = 24
SERVERS = 4
EVENTS, EVENT_SECONDS = 49, 0.1
BROKEN_AFTER_SECONDS = 2.0
"""How long the streams have run when they break."""

DOWN_SECONDS = 1.0
STABLE_SECONDS = 3.0
"""The bound ``stable_window_ms``."""

MARGIN_SECONDS = 0.5
DEADLINE_SECONDS = 12.0
TAKE_UPS_MIN = 12


class Begun(NamedTuple):
    """A stream that has broken: when it began, and what came of it."""

    seed: int
    began_at: float
    answer: clients.Answer


def send(
    router: fleet.Router, seed: int, seconds: float, **headers: str
) -> clients.Answer:
    """Ask for a stream that may be resumed."""
    sent = smallsite.make_stream_headers(seed, int(seconds * 1000))
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    path = smallsite.REMINDER + "x"
    return clients.ask_once(
        router.front, "POST", path, sent, b"x" * 200, seconds=seconds
    )


def run_all(tasks: list) -> list[threading.Thread]:
    """Run functions, each in a thread of its own."""
    threads = [threading.Thread(target=task, daemon=True) for task in tasks]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    return threads


class Play:
    """The streams of one run, before and after they broke."""

    def __init__(self, routers: list[fleet.Router]) -> None:
        self.routers = routers
        self.begun: list[Begun] = []
        self.taken_up: list[tuple[Begun, clients.Answer]] = []
        self.new: list[clients.Answer] = []

    def begin(self, seed: int, seconds: float) -> None:
        """Read a stream for some seconds at most, or until it breaks."""
        began_at = time.monotonic()
        router = self.routers[seed % len(self.routers)]
        channel = clients.Channel(router.front, seconds)
        headers = smallsite.make_stream_headers(seed, int(DEADLINE_SECONDS * 1000))
        answer = channel.ask_until(
            "POST", smallsite.REMINDER + "x", headers, b"x" * 200, began_at + seconds
        )
        self.begun.append(Begun(seed, began_at, answer))

    def take_up(self, begun: Begun) -> None:
        """Ask for the rest of a stream at another router."""
        router = self.routers[(begun.seed + 1) % len(self.routers)]
        left = DEADLINE_SECONDS - (time.monotonic() - begun.began_at)
        answer = send(
            router,
            begun.seed,
            left,
            Last_Event_Id=str(begun.answer.events[-1][0]),
            Resumes=begun.answer.request,
        )
        self.taken_up.append((begun, answer))

    def ask_anew(self, seed: int) -> None:
        """Ask for a new stream."""
        router = self.routers[seed % len(self.routers)]
        self.new.append(send(router, seed, DEADLINE_SECONDS))


def play(notes: record.Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    platform = store.Store()
    platform.start()
    backends = [
        servers.Server(
            platform,
            f"i-lm{place}",
            smallsite.MODEL_SERVICE,
            smallsite.ZONES[place % 3],
            slots=64,
            work_seconds=0.05,
            events=EVENTS,
            event_seconds=EVENT_SECONDS,
        )
        for place in range(SERVERS)
    ]
    for backend in backends:
        backend.start()
    platform.put("config", "main", smallsite.make_config(7))
    routers = fleet.Fleet(folder, smallsite.ZONES, platform.address)
    case = Play(routers.routers)
    try:
        if not routers.start():
            raise record.CannotRun("the routers did not become ready")
        time.sleep(4.0)
        seconds = DEADLINE_SECONDS if has_trouble else BROKEN_AFTER_SECONDS
        threads = run_all(
            [lambda seed=seed: case.begin(seed, seconds) for seed in range(STREAMS)]
        )
        time.sleep(BROKEN_AFTER_SECONDS)
        if has_trouble:
            for router in routers.routers:
                router.kill()
            notes.note("all routers are killed")
            time.sleep(DOWN_SECONDS)
            for router in routers.routers:
                router.start()
            notes.note("all routers are started again")
        else:
            time.sleep(DOWN_SECONDS)
            notes.note("the clients have broken their channels")
        started_at = time.monotonic()
        for thread in threads:
            thread.join(DEADLINE_SECONDS)
        time.sleep(
            max(0.0, started_at + STABLE_SECONDS + MARGIN_SECONDS - time.monotonic())
        )
        if not all(router.wait_ready(2.0) for router in routers.routers):
            raise record.CannotRun("the routers were not ready again")
        notes.note("clients take their streams up, and ask for new ones")
        tasks = [lambda each=each: case.take_up(each) for each in case.begun]
        tasks += [
            lambda seed=seed: case.ask_anew(seed)
            for seed in range(1_000, 1_000 + NEW_STREAMS)
        ]
        for thread in run_all(tasks):
            thread.join(DEADLINE_SECONDS + 2.0)
    finally:
        routers.stop()
        for backend in backends:
            backend.stop()
        platform.stop()
    return judge(notes, case)


def judge(notes: record.Record, case: Play) -> bool:
    """Write down what clients got; returns whether the rule held."""
    for begun, answer in case.taken_up:
        first = begun.answer
        events = [number for number, _ in answer.events]
        notes.note(
            f"stream {first.request}: events 1 to {first.events[-1][0]}; taken up as "
            f"{answer.request}: status {answer.status}, "
            f"events {events[0] if events else 0} to {events[-1] if events else 0}, "
            f"{answer.body[:120] if answer.status != 200 else ''}"
        )
    for answer in case.new:
        notes.note(
            f"new stream {answer.request}: status {answer.status}, "
            f"{len(answer.events)} events"
        )
    goes_on = sum(bool(answer.events) for _, answer in case.taken_up)
    begin = sum(bool(answer.events) for answer in case.new)
    if len(case.taken_up) < TAKE_UPS_MIN or not begin:
        raise record.CannotRun("too few streams were taken up, or no new one began")
    share = goes_on / len(case.taken_up)
    share_new = begin / len(case.new)
    notes.note(
        f"{goes_on} of {len(case.taken_up)} streams went on, {begin} of "
        f"{len(case.new)} new ones began; the rule asks for half of the share"
    )
    return share >= share_new / 2


record.run_case(HERE, play)
