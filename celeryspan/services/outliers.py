"""The kernel service ``outliers``: judges backend servers by the answers seen here.

What a router finds it tells the server's home, which acts once half of the routers
that use the server agree.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import dispatch, events, ids, kernel
from celeryspan.decisions import outliers
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import assignment, delivery, slots

TICK_SECONDS = 1.0
"""How often ejections are looked at and standing votes are cast again, in seconds."""

FAILED = frozenset({dispatch.Ending.FAILED, dispatch.Ending.TIMED_OUT})
JUDGED = FAILED | {dispatch.Ending.ANSWERED}


@kernel.register("outliers", needs=("assignment", "delivery"))
class OutliersService:
    """Keeps one judgement for each service, and votes at the homes."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = box.find("assignment")
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._judges: dict[ids.ServiceId, outliers.OutlierDetector] = {}
        self._ejected: set[ids.ServerId] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="outliers", daemon=True)

    def start(self) -> None:
        """Begin to vote."""
        self._assignment.subscribe(lambda _: self._follow_servers())
        self._thread.start()

    def stop(self) -> None:
        """End voting; votes expire at the homes."""
        self._stopped.set()
        self._thread.join()

    def record(
        self, slot: slots.HeldSlot, ending: dispatch.Ending, cost: float
    ) -> None:
        """Take in how the use of a slot ended."""
        if ending not in JUDGED:
            return
        now = time.monotonic()
        service = slot.grant.service
        with self._lock:
            judge = self._judges.setdefault(service, outliers.OutlierDetector())
            changes = judge.record(
                slot.server, ending in FAILED, now - slot.given_at, cost, now
            )
        self._apply(changes)

    def observe(
        self, sums: dict[tuple[ids.ServiceId, ids.ServerId], slots.Sums]
    ) -> None:
        """Take in seconds and units of what runs: a server may be too slow to end."""
        now = time.monotonic()
        changes = []
        with self._lock:
            for (service, server), (seconds, units) in sums.items():
                judge = self._judges.setdefault(service, outliers.OutlierDetector())
                changes += judge.record_running(server, seconds, units, now)
        self._apply(changes)

    def report(self) -> dict[str, object]:
        """Return the servers that this router votes against."""
        return {"ejected": sorted(self._ejected)}

    def _follow_servers(self) -> None:
        """Know all servers of each service, which the floor under them counts."""
        now = time.monotonic()
        with self._lock:
            for service, homes in self._assignment.maps().items():
                judge = self._judges.setdefault(service, outliers.OutlierDetector())
                for server in homes:
                    judge.add(server, now)
                for server in judge.servers() - homes.keys():
                    judge.remove(server)
                    self._ejected.discard(server)

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            now = time.monotonic()
            with self._lock:
                judges = list(self._judges.values())
                changes = [
                    each for judge in judges for each in judge.start_due_trials(now)
                ]
            self._apply(changes)
            for server in tuple(self._ejected):
                self._vote(server, is_failing=True)

    def _apply(self, changes: list[outliers.Change]) -> None:
        """Vote; a trial keeps the vote, since it leaves one slot anyway."""
        for change in changes:
            if change.standing is outliers.Standing.EJECTED:
                self._ejected.add(change.server)
                events.log(
                    events.Event.SERVER_EJECTED,
                    server=change.server,
                    reason=change.reason,
                )
                self._vote(change.server, is_failing=True)
            elif change.standing is outliers.Standing.GOOD:
                self._ejected.discard(change.server)
                events.log(events.Event.SERVER_RETURNED, server=change.server)
                self._vote(change.server, is_failing=False)

    def _vote(self, server: ids.ServerId, *, is_failing: bool) -> None:
        home = self._assignment.find_home(server)
        if home is not None:
            self._delivery.send(home, messages.Vote(server, is_failing))
