"""The platform's limit of memory, and which requests are lost when it strikes."""

from __future__ import annotations

import threading
import time
from collections.abc import Collection, Iterable
from typing import NamedTuple

import clients
import fleet
import record

MEMORY_MEGABYTES = fleet.SMALL_SITE["limits"]["memory_mb"]
CHECK_SECONDS = 0.02
RESTART_SECONDS = 0.5
STABLE_SECONDS = 3.0
"""The bound ``stable_window_ms``: a machine is in touch once it has run for so long."""

ENDED_SECONDS = 0.5
"""A channel that closes so soon after the end of a process was closed by it."""

LOST_MAX = 3
"""More lost requests than this break the rule."""


class Kill(NamedTuple):
    """One end of a process by its memory; times are monotonic, in seconds."""

    router: str
    at: float
    megabytes: float
    uptime: float


class Attempt(NamedTuple):
    """One client attempt; ``place`` is its number on its channel, from 1."""

    router: str
    place: int
    began_at: float
    ended_at: float
    answer: clients.Answer


class MemoryGuard:
    """Kills routers that exceed their memory, and starts them again.

    Attributes
    ----------
    kills : list of Kill
    peaks : dict of str to float
        The most memory that each router has used, in megabytes.
    """

    def __init__(self, notes: record.Record, routers: list[fleet.Router]) -> None:
        self.kills: list[Kill] = []
        self.peaks: dict[str, float] = {}
        self._notes = notes
        self._ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(router,), daemon=True)
            for router in routers
        ]

    def start(self) -> None:
        """Start to read the memory of all routers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop; no router is started any more."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, router: fleet.Router) -> None:
        started_at = time.monotonic()
        while not self._ending.wait(CHECK_SECONDS):
            used = router.read_memory()
            self.peaks[router.name] = max(used, self.peaks.get(router.name, 0.0))
            if used <= MEMORY_MEGABYTES:
                continue
            now = time.monotonic()
            router.kill()
            self.kills.append(Kill(router.name, now, used, now - started_at))
            self._notes.note(f"{router.name} uses {used:.0f} MB and is killed")
            if not self._ending.wait(RESTART_SECONDS):
                router.start()
                started_at = time.monotonic()


def list_lost(
    attempts: Iterable[Attempt], kills: Iterable[Kill], passed_on: Collection[str]
) -> list[Attempt]:
    """Return the requests that the rule LOST counts.

    They came on a kept channel to a machine in touch, were passed on to a sound server,
    and their channel was closed without an answer as the process ended.

    Parameters
    ----------
    passed_on : collection of str
        Ids of the requests whose head has reached a server.
    """
    counted = [kill for kill in kills if kill.uptime > STABLE_SECONDS]
    return [
        each
        for each in attempts
        if each.place > 1
        and each.answer.status == 0
        and each.answer.request in passed_on
        and any(
            kill.router == each.router
            and each.began_at < kill.at
            and abs(each.ended_at - kill.at) < ENDED_SECONDS
            for kill in counted
        )
    ]


def judge(
    notes: record.Record,
    guard: MemoryGuard,
    attempts: list[Attempt],
    passed_on: Collection[str],
) -> bool:
    """Write down what was seen; returns whether the rule held.

    Raises
    ------
    record.CannotRun
        If no request was served.
    """
    for each in sorted(attempts, key=lambda each: each.began_at):
        notes.note(
            f"request {each.answer.request} router {each.router} place {each.place} "
            f"began {each.began_at:.3f} ended {each.ended_at:.3f} "
            f"status {each.answer.status} whole {each.answer.is_whole} "
            f"passed on {each.answer.request in passed_on} {each.answer.error}"
        )
    for name, peak in sorted(guard.peaks.items()):
        notes.note(f"{name}: {peak:.0f} MB at most")
    served = sum(each.answer.status == 200 for each in attempts)
    lost = list_lost(attempts, guard.kills, passed_on)
    for each in lost:
        notes.note(f"lost: {each.answer.request} at {each.router}")
    if not served:
        raise record.CannotRun("no request was served")
    notes.note(
        f"{len(attempts)} requests, {served} served, {len(guard.kills)} ends by "
        f"memory, {len(lost)} requests lost; the rule allows {LOST_MAX}"
    )
    return len(lost) <= LOST_MAX
