"""Tells the homes how much waits here, as ``reporting.DemandReporter`` decides."""

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

REFRESH_SECONDS = 1.0
"""Demand that stands is reported again, in seconds: covers a report lost with a link,
and lets the age at the homes follow."""


class DemandReporter:
    """Follows what each home believes to wait here, and corrects it.

    Parameters
    ----------
    lock : Lock
        Guards the queues; held by the caller of every method but start and stop.
    send : callable
        Sends a message to a router without waiting.
    note_backlog : callable
        Takes service, account and number of waiting requests, for the metrics.
    """

    def __init__(
        self,
        router: ids.RouterId,
        lock: threading.Lock,
        queues: queueing.Queues,
        places: assignment.AssignmentService,
        send: Callable[[ids.RouterId, messages.Message], None],
        note_backlog: Callable[[ids.ServiceId, ids.AccountId, int], None],
    ) -> None:
        self._router = router
        self._lock = lock
        self._queues = queues
        self._assignment = places
        self._send = send
        self._note_backlog = note_backlog
        self._demands = reporting.DemandReporter()
        self._sequence = 0
        self._turn = 0
        self._due: dict[sharing.Key, float] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="demand", daemon=True)

    def start(self) -> None:
        """Begin to report."""
        self._thread.start()

    def stop(self) -> None:
        """End reporting."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def arrive(self, key: sharing.Key, now: float) -> None:
        """Tell a home of a new request at once if none knows of the account."""
        if self._demands.informed_homes(key):
            self.plan(key, now)
        else:
            self._tell(key, now, again=False)

    def use(self, key: sharing.Key, home: ids.RouterId, now: float) -> None:
        """Note that a request is sent with a grant of a home."""
        self._demands.record_use(key, home, now)
        self.plan(key, now)

    def refuse(self, key: sharing.Key, home: ids.RouterId, now: float) -> None:
        """Note that a grant went back; its home takes it that nothing waits here."""
        self._demands.record_report(key, home, 0)
        self.plan(key, now)

    def forget(self, found: Iterable[ids.RouterId], now: float) -> None:
        """Tell homes that are new or have lost their state everything again."""
        for home in found:
            self._demands.forget(home)
        for key in self._queues.backlogged():
            self._tell(key, now, again=False)

    def plan(self, key: sharing.Key, now: float) -> None:
        """Tell homes soon if one believes something false, else with the next batch."""
        believers = self._demands.informed_homes(key)
        is_urgent = bool(believers) != bool(self._queues.waiting(*key))
        seconds = 0.0 if is_urgent else reporting.DEMAND_BATCH_SECONDS
        self._due[key] = min(self._due.get(key, math.inf), now + seconds)
        if is_urgent:
            self._changed.set()

    def _tell(self, key: sharing.Key, now: float, *, again: bool) -> None:
        """Tell homes how much of an account waits here.

        Parameters
        ----------
        again : bool
            Also tell the homes that have been told the same before.
        """
        waiting = self._queues.waiting(*key)
        stage = self._demands.find_stage(key, waiting, now)
        targets = dict.fromkeys(self._demands.informed_homes(key))
        targets.update(dict.fromkeys(self._choose_homes(key, stage, now)))
        self._sequence += 1
        demand = self._queues.demand(*key, self._sequence, now)
        for home in targets:
            if again or self._demands.reported_waiting(key, home) != waiting:
                self._demands.record_report(key, home, waiting)
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
            found = self._assignment.find_homes(service)
            attempt = self._demands.find_sample_number(key, now)
            return homes.sample_homes(found, self._router, service, attempt)
        if self._demands.informed_homes(key):
            return ()
        self._turn += 1
        servers = self._assignment.map_servers(service)
        first = homes.pick_first_home(servers, self._router, service, self._turn)
        return () if first is None else (first,)

    def _run(self) -> None:
        refreshed = time.monotonic()
        while not self._stopped:
            self._changed.wait(self._find_pause())
            self._changed.clear()
            now = time.monotonic()
            is_refresh = now - refreshed >= REFRESH_SECONDS
            refreshed = now if is_refresh else refreshed
            try:
                with self._lock:
                    self._tell_due(now)
                    if is_refresh:
                        self._tell_again(now)
            except Exception as error:
                # Without reports nothing of this router is ever granted a slot.
                events.log(events.Event.TASK_FAILED, task="demand", error=repr(error))

    def _find_pause(self) -> float:
        with self._lock:
            soonest = min(self._due.values(), default=math.inf)
        return max(0.0, min(REFRESH_SECONDS, soonest - time.monotonic()))

    def _tell_due(self, now: float) -> None:
        for key in [key for key, due in self._due.items() if due <= now]:
            del self._due[key]
            self._tell(key, now, again=False)
            self._note_backlog(*key, self._queues.waiting(*key))

    def _tell_again(self, now: float) -> None:
        for key in self._queues.backlogged():
            self._tell(key, now, again=True)
