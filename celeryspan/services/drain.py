"""The kernel service ``drain``: a stop that cuts nothing."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import configuration, events, kernel

if TYPE_CHECKING:
    from celeryspan import settings
    from celeryspan.services import caller, membership

# Time in which all routers hear that this one leaves, in seconds: probes spread a
# fact through a fleet of a thousand routers within a few rounds of a second.
SPREAD_SECONDS = 3.0

# How often it is looked whether requests are in progress, in seconds.
LOOK_SECONDS = 0.05

# Time for telling callers that their request was cut, in seconds.
TELL_SECONDS = 1.0


@kernel.register("drain", needs=("caller", "configuration", "membership"))
class Drain:
    """Brings a router to its end without cutting a request.

    Attributes
    ----------
    finished : Event
        Set once the process may end; set it to end at once.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._settings: settings.Settings = box.settings
        self._caller: caller.Caller = box.find("caller")
        self._membership: membership.Membership = box.find("membership")
        self._configuration = box.find("configuration")
        self._lock = threading.Lock()
        self._began = 0.0
        self.finished = threading.Event()

    def start(self) -> None:
        """Follow the planned stops in the rules."""
        self._configuration.subscribe(self._follow)

    def stop(self) -> None:
        """Cut what is still in progress, and say what it was.

        Reached with requests in progress only by a second signal or after the
        greatest time of a stop.
        """
        self.finished.set()
        found = self._caller.cancel_in_progress()
        if not found:
            return
        events.log(events.Event.STOP_CUT_REQUESTS, requests=found)
        end = time.monotonic() + TELL_SECONDS
        while self._caller.in_progress and time.monotonic() < end:
            time.sleep(LOOK_SECONDS)

    def report(self) -> dict[str, object]:
        """Return the state for the operator."""
        seconds = time.monotonic() - self._began if self._began else 0.0
        return {"draining": bool(self._began), "seconds": round(seconds, 1)}

    def begin(self) -> None:
        """Stop gracefully and set ``finished``; a second call does nothing.

        Callers keep the answer of ``GET /v1/addresses`` for a while. Until it has
        run out everywhere, this router serves whoever comes.
        """
        with self._lock:
            if self._began:
                return
            self._began = time.monotonic()
        end = self._began + self._settings.drain_seconds
        self._caller.draining = True
        self._membership.leave()
        self.finished.wait(
            min(
                SPREAD_SECONDS + self._settings.address_seconds,
                self._settings.drain_seconds,
            )
        )
        if not self.finished.is_set():
            self._caller.stop_listening()
        while self._caller.in_progress and time.monotonic() < end:
            if self.finished.wait(LOOK_SECONDS):
                return
        self.finished.set()

    def _follow(self, current: configuration.Configuration) -> None:
        if self._settings.router in current.rules.planned_stops:
            threading.Thread(target=self.begin, name="drain", daemon=True).start()
