"""The kernel service ``outliers``: detects failing and slow backend servers.

Each router votes at the server's home on the basis of its own requests. The home acts
once half of the routers that use the server agree.
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

# Interval at which ejections are checked and votes in force are sent again.
VOTE_INTERVAL_SECONDS = 1.0

FAILED_ENDINGS = frozenset({dispatch.Ending.FAILED, dispatch.Ending.TIMED_OUT})
COUNTED_ENDINGS = FAILED_ENDINGS | {dispatch.Ending.ANSWERED}


@kernel.register("outliers", needs=("assignment", "delivery"))
class OutliersService:
    """Keeps one outlier detector for each service, and votes at the homes."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = container.find("assignment")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._detectors: dict[ids.ServiceId, outliers.OutlierDetector] = {}
        self._ejected: set[ids.ServerId] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="outliers", daemon=True)

    def start(self) -> None:
        """Start voting."""
        self._assignment.subscribe(lambda _: self._update_servers())
        self._thread.start()

    def stop(self) -> None:
        """Stop voting; votes expire at the homes."""
        self._stopped.set()
        self._thread.join()

    def record(
        self, slot: slots.HeldSlot, ending: dispatch.Ending, cost: float
    ) -> None:
        """Record how the use of a slot ended."""
        if ending not in COUNTED_ENDINGS:
            return
        now = time.monotonic()
        service = slot.grant.service
        with self._lock:
            detector = self._detectors.setdefault(service, outliers.OutlierDetector())
            changes = detector.record(
                slot.server, ending in FAILED_ENDINGS, now - slot.granted_at, cost, now
            )
        self._apply(changes)

    def record_running(
        self, totals: dict[tuple[ids.ServiceId, ids.ServerId], slots.RunningTotals]
    ) -> None:
        """Record the speed of running requests; a slow server may never finish them."""
        now = time.monotonic()
        changes = []
        with self._lock:
            for (service, server), (seconds, units) in totals.items():
                detector = self._detectors.setdefault(
                    service, outliers.OutlierDetector()
                )
                changes += detector.record_running(server, seconds, units, now)
        self._apply(changes)

    def report(self) -> dict[str, object]:
        """Return the servers that this router votes against."""
        return {"ejected": sorted(self._ejected)}

    def _update_servers(self) -> None:
        """Update the servers of each service, whose number limits the ejections."""
        now = time.monotonic()
        with self._lock:
            for service, homes in self._assignment.homes_by_service().items():
                detector = self._detectors.setdefault(
                    service, outliers.OutlierDetector()
                )
                for server in homes:
                    detector.add(server, now)
                for server in detector.servers() - homes.keys():
                    detector.remove(server)
                    self._ejected.discard(server)

    def _run(self) -> None:
        while not self._stopped.wait(VOTE_INTERVAL_SECONDS):
            now = time.monotonic()
            with self._lock:
                detectors = list(self._detectors.values())
                changes = [
                    trial
                    for detector in detectors
                    for trial in detector.start_due_trials(now)
                ]
            self._apply(changes)
            for server in tuple(self._ejected):
                self._vote(server, is_failing=True)

    def _apply(self, changes: list[outliers.Change]) -> None:
        """Vote; the vote stays during a trial, since it leaves one slot in any case."""
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
