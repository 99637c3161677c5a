"""The kernel service ``drain``: graceful shutdown of a router."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import configuration, events, kernel

if TYPE_CHECKING:
    from celeryspan import settings
    from celeryspan.services import caller, membership

# Time until all routers know that this one is leaving: probes gossip a fact through a
# fleet of a thousand routers in a few rounds of one second.
LEAVE_SPREAD_SECONDS = 3.0

# Time for the first requests of connections that were accepted last.
ARRIVAL_SECONDS = 0.5

# Part of drain_seconds that is kept for requests in progress, however long callers keep
# addresses.
FINISH_SHARE = 0.5

# Interval of the checks for requests in progress.
CHECK_INTERVAL_SECONDS = 0.05

# Time to tell callers that their requests were cut.
CANCEL_TIMEOUT_SECONDS = 1.0


@kernel.register("drain", needs=("caller", "configuration", "membership"))
class Drain:
    """Shuts a router down without cutting requests in progress.

    Attributes
    ----------
    finished : Event
        Set once the process may exit; setting it ends the drain at once.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._settings: settings.Settings = container.settings
        self._caller: caller.Caller = container.find("caller")
        self._membership: membership.Membership = container.find("membership")
        self._configuration = container.find("configuration")
        self._lock = threading.Lock()
        self._began_at = 0.0
        self.finished = threading.Event()

    def start(self) -> None:
        """Watch the rules for a planned stop of this router."""
        self._configuration.subscribe(self._drain_if_planned)

    def stop(self) -> None:
        """Cancel the requests still in progress and log them.

        Requests are still in progress only after a second signal, or once
        ``drain_seconds`` have passed.
        """
        self.finished.set()
        found = self._caller.cancel_in_progress()
        if not found:
            return
        events.log(events.Event.STOP_CUT_REQUESTS, requests=found)
        deadline = time.monotonic() + CANCEL_TIMEOUT_SECONDS
        while self._caller.in_progress and time.monotonic() < deadline:
            time.sleep(CHECK_INTERVAL_SECONDS)

    def report(self) -> dict[str, object]:
        """Return whether the router is draining, and for how long."""
        seconds = time.monotonic() - self._began_at if self._began_at else 0.0
        return {"draining": bool(self._began_at), "seconds": round(seconds, 1)}

    def begin(self) -> None:
        """Drain the router and set ``finished``; a second call does nothing.

        Callers cache the answer of ``GET /v1/addresses``. Until it has expired
        everywhere, this router still serves new requests. Those that come later, on
        connections that were kept open, are refused: the end of the drain would cut
        them.
        """
        with self._lock:
            if self._began_at:
                return
            self._began_at = time.monotonic()
        deadline = self._began_at + self._settings.drain_seconds
        self._caller.draining = True
        self._membership.leave()
        self.finished.wait(
            min(
                LEAVE_SPREAD_SECONDS + self._settings.address_seconds,
                self._settings.drain_seconds * (1 - FINISH_SHARE),
            )
        )
        if not self.finished.is_set():
            self._caller.stop_listening()
            self.finished.wait(ARRIVAL_SECONDS)
            self._caller.refusing = True
        while self._has_requests() and time.monotonic() < deadline:
            if self.finished.wait(CHECK_INTERVAL_SECONDS):
                return
        self.finished.set()

    def _has_requests(self) -> bool:
        return bool(self._caller.in_progress or self._caller.count_arriving())

    def _drain_if_planned(self, current: configuration.Configuration) -> None:
        if self._settings.router in current.rules.planned_stops:
            threading.Thread(target=self.begin, name="drain", daemon=True).start()
