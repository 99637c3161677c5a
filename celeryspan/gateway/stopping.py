"""The kernel service ``stopping``: a planned stop that aborts no requests."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import events, kernel
from celeryspan.gateway import directory as directory_module

if TYPE_CHECKING:
    from celeryspan.gateway import directory, front
    from celeryspan.services import membership

CACHED_TTLS_MAX = 3
"""Maximum time for which callers cache an answer of the directory, as a multiple of its
TTL."""

REFUSAL_MARGIN_SECONDS = 0.1
"""Time before the last cached address expires from which new requests are refused. A
stream accepted later may outlast the grace period and would be cut by the end of the
process, whereas a refused caller has time to use another router."""

ABORT_MARGIN_SECONDS = 0.6
"""Time before the end of the grace period at which requests in progress are aborted
with an error, rather than cut by the end of the process."""

FINISH_SHARE = 0.5
"""Part of the grace period, less that margin, that is kept for requests in progress,
however long callers cache addresses."""

POLL_INTERVAL_SECONDS = 0.05

QUIET_SECONDS = 0.4
"""Time without requests, once new ones are refused, after which the process ends."""


@kernel.register("stopping", needs=("directory", "front", "membership"))
class Stopping:
    """Leaves the directory, serves callers that still have the address, then ends.

    Attributes
    ----------
    finished : Event
        Set when the process may end.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._directory: directory.Directory = container.find("directory")
        self._front: front.Front = container.find("front")
        self._membership: membership.MembershipService = container.find("membership")
        self._grace_seconds = container.settings.grace_seconds
        self._begin_lock = threading.Lock()
        self.finished = threading.Event()

    def start(self) -> None:
        """Do nothing until the stop begins."""

    def stop(self) -> None:
        """Do nothing: the kernel stops the other services."""

    def begin(self) -> None:
        """Stop gracefully; a second call does nothing."""
        if not self._begin_lock.acquire(blocking=False):
            return
        started_at = time.monotonic()
        abort_at = started_at + self._grace_seconds - ABORT_MARGIN_SECONDS
        self._directory.draining = True
        self._front.draining = True
        self._membership.leave()
        cached_until = (
            started_at + CACHED_TTLS_MAX * directory_module.ADDRESSES_TTL_SECONDS
        )
        finish_from = started_at + (abort_at - started_at) * (1 - FINISH_SHARE)
        self._wait_until(min(cached_until - REFUSAL_MARGIN_SECONDS, finish_from))
        self._front.refusing = True
        quiet_since = time.monotonic()
        while time.monotonic() < abort_at:
            if self._front.count_in_progress():
                quiet_since = time.monotonic()
            if time.monotonic() - quiet_since > QUIET_SECONDS:
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        cut = self._front.abort_requests()
        events.log(events.Event.STOP_CUT_REQUESTS, requests=cut, count=len(cut))
        self.finished.set()

    def _wait_until(self, until: float) -> None:
        while time.monotonic() < until:
            time.sleep(POLL_INTERVAL_SECONDS)
