"""The kernel service ``stopping``: a planned stop that cuts nothing."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import events, kernel
from celeryspan.gateway import directory as directory_module

if TYPE_CHECKING:
    from celeryspan.gateway import directory, front
    from celeryspan.services import membership

KEEPS = 3
"""Callers keep an answer of the directory up to this many times as long as it says."""

TAKEN_MARGIN_SECONDS = 0.1
"""New requests are refused this long before the last caller has learnt that this router
leaves: a stream taken later than that may outlast the grace, and would be cut by the
end of the process; a caller that is refused has time to go elsewhere."""

END_SECONDS = 0.6
"""Before the end of the grace what is still in progress is ended in order."""

TICK_SECONDS = 0.05

QUIET_SECONDS = 0.4
"""Without a request for this long after all callers know, the process ends."""


@kernel.register("stopping", needs=("directory", "front", "membership"))
class Stopping:
    """Leaves the directory, serves on for those who still come, then ends.

    Attributes
    ----------
    finished : Event
        Set once the process may end.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._directory: directory.Directory = box.find("directory")
        self._front: front.Front = box.find("front")
        self._membership: membership.MembershipService = box.find("membership")
        self._grace = box.settings.grace_seconds
        self._begun = threading.Lock()
        self.finished = threading.Event()

    def start(self) -> None:
        """Do nothing until the stop begins."""

    def stop(self) -> None:
        """Do nothing: the others stop by themselves."""

    def begin(self) -> None:
        """Stop gracefully; a second call does nothing."""
        if not self._begun.acquire(blocking=False):
            return
        began = time.monotonic()
        end = began + self._grace - END_SECONDS
        self._directory.draining = True
        self._front.draining = True
        self._membership.leave()
        known = began + KEEPS * directory_module.KEEP_SECONDS
        self._wait(known - TAKEN_MARGIN_SECONDS)
        self._front.refusing = True
        quiet_since = time.monotonic()
        while time.monotonic() < end:
            if self._front.count_in_progress():
                quiet_since = time.monotonic()
            if time.monotonic() - quiet_since > QUIET_SECONDS:
                break
            time.sleep(TICK_SECONDS)
        cut = self._front.abort_requests()
        events.log(events.Event.STOP_CUT_REQUESTS, requests=cut, count=len(cut))
        self.finished.set()

    def _wait(self, until: float) -> None:
        while time.monotonic() < until:
            time.sleep(TICK_SECONDS)
