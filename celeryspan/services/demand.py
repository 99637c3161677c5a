"""Sends demand to homes at the times that ``reporting.DemandReporter`` decides."""

from __future__ import annotations

import math
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import events, ids
from celeryspan.decisions import homes, reporting

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from celeryspan.decisions import queueing, sharing
    from celeryspan.services import assignment
    from celeryspan.wire import messages

# Interval at which unchanged demand is sent again: replaces a report lost with a link
# and updates the waiting time known to the homes.
RESEND_SECONDS = 1.0


class DemandSender:
    """Tracks the demand last reported to each home, and sends corrections.

    Parameters
    ----------
    lock : Lock
        Guards the queues; held by the caller of every method except start and stop.
    send : callable
        Sends a message to a router without waiting.
    set_backlog : callable
        Called with service, account and number of waiting requests, for metrics.
    """

    def __init__(
        self,
        router: ids.RouterId,
        lock: threading.Lock,
        queues: queueing.Queues,
        assignments: assignment.AssignmentService,
        send: Callable[[ids.RouterId, messages.Message], None],
        set_backlog: Callable[[ids.ServiceId, ids.AccountId, int], None],
    ) -> None:
        self._router = router
        self._lock = lock
        self._queues = queues
        self._assignment = assignments
        self._send = send
        self._set_backlog = set_backlog
        self._reported = reporting.DemandReporter()
        self._sequence = 0
        self._first_home_counter = 0
        self._due: dict[sharing.Key, float] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="demand", daemon=True)

    def start(self) -> None:
        """Start reporting."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def record_arrival(self, key: sharing.Key, now: float) -> None:
        """Report a new request, at once if no home knows that the account waits."""
        if self._reported.informed_homes(key):
            self.schedule_report(key, now)
        else:
            self._report(key, now, resend=False)

    def record_used_grant(
        self, key: sharing.Key, home: ids.RouterId, now: float
    ) -> None:
        """Record that a request is sent under a grant of a home."""
        self._reported.record_use(key, home, now)
        self.schedule_report(key, now)

    def record_unused_grant(
        self, key: sharing.Key, home: ids.RouterId, now: float
    ) -> None:
        """Record a returned grant, after which its home assumes that nothing waits."""
        self._reported.record_report(key, home, 0)
        self.schedule_report(key, now)

    def resend_all(self, new_homes: Iterable[ids.RouterId], now: float) -> None:
        """Send all demand to homes that are new or have lost their state."""
        for home in new_homes:
            self._reported.forget(home)
        for key in self._queues.backlogged():
            self._report(key, now, resend=False)

    def schedule_report(self, key: sharing.Key, now: float) -> None:
        """Schedule a report, at once if homes must start or stop granting slots."""
        informed = self._reported.informed_homes(key)
        is_urgent = bool(informed) != bool(self._queues.waiting(*key))
        seconds = 0.0 if is_urgent else reporting.DEMAND_BATCH_SECONDS
        self._due[key] = min(self._due.get(key, math.inf), now + seconds)
        if is_urgent:
            self._changed.set()

    def _report(self, key: sharing.Key, now: float, *, resend: bool) -> None:
        """Report the waiting requests of an account to the homes.

        Parameters
        ----------
        resend : bool
            Also send to homes whose last report had the same count.
        """
        waiting = self._queues.waiting(*key)
        stage = self._reported.find_stage(key, waiting, now)
        targets = dict.fromkeys(self._reported.informed_homes(key))
        targets.update(dict.fromkeys(self._choose_homes(key, stage, now)))
        self._sequence += 1
        demand = self._queues.demand(*key, self._sequence, now)
        for home in targets:
            if resend or self._reported.reported_waiting(key, home) != waiting:
                self._reported.record_report(key, home, waiting)
                self._send(home, demand)
        if stage is reporting.Stage.ONE:
            self._due[key] = now + reporting.ESCALATE_SECONDS
            self._changed.set()
        elif stage is reporting.Stage.ALL:
            self._due[key] = now + reporting.RESAMPLE_SECONDS

    def _choose_homes(
        self, key: sharing.Key, stage: reporting.Stage, now: float
    ) -> Iterable[ids.RouterId]:
        service, _ = key
        if stage is reporting.Stage.NONE:
            return ()
        if stage is reporting.Stage.ALL:
            candidates = self._assignment.find_homes(service)
            attempt = self._reported.find_sample_number(key, now)
            return homes.sample_homes(candidates, self._router, service, attempt)
        if self._reported.informed_homes(key):
            return ()
        self._first_home_counter += 1
        servers = self._assignment.find_homes_by_server(service)
        first = homes.pick_first_home(
            servers, self._router, service, self._first_home_counter
        )
        return () if first is None else (first,)

    def _run(self) -> None:
        refreshed = time.monotonic()
        while not self._stopped:
            self._changed.wait(self._find_wait_seconds())
            self._changed.clear()
            now = time.monotonic()
            is_refresh = now - refreshed >= RESEND_SECONDS
            refreshed = now if is_refresh else refreshed
            try:
                with self._lock:
                    self._report_due(now)
                    if is_refresh:
                        self._resend(now)
            except Exception as error:
                # If reporting stopped, this router would get no more slots.
                events.log(events.Event.TASK_FAILED, task="demand", error=repr(error))

    def _find_wait_seconds(self) -> float:
        with self._lock:
            soonest = min(self._due.values(), default=math.inf)
        return max(0.0, min(RESEND_SECONDS, soonest - time.monotonic()))

    def _report_due(self, now: float) -> None:
        for key in [key for key, due in self._due.items() if due <= now]:
            del self._due[key]
            self._report(key, now, resend=False)
            self._set_backlog(*key, self._queues.waiting(*key))

    def _resend(self, now: float) -> None:
        for key in self._queues.backlogged():
            self._report(key, now, resend=True)
