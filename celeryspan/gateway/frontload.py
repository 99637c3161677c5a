"""Measures the load of the front and adjusts how many requests it serves.

Three signs count: how late threads wake up, how long callers wait to be dispatched, and
the share of the processor time in use. Each can be low while the router has no time
left.
"""

from __future__ import annotations

import resource
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import events, kernel, metrics
from celeryspan.decisions import arrivalqueue, handover, overload, saturation

if TYPE_CHECKING:
    from celeryspan.gateway import front
    from celeryspan.services import httpserver, membership

TICK_SECONDS = 0.1

REPORT_SECONDS = 1.0
"""Interval at which metrics are set, and at which late arrivals are logged."""


class FrontLoad:
    """The limits of the front, adjusted by a thread of their own.

    Parameters
    ----------
    count_at_peers : callable
        Returns the number of requests that peers serve for this router.

    Attributes
    ----------
    limit : ConcurrencyLimiter
        Requests that the router serves at once; those above it are refused.
    local_limit : ConcurrencyLimiter
        Requests that it serves itself while peers can take others.
    """

    def __init__(
        self,
        served: front.Front,
        server: httpserver.Server,
        container: kernel.Kernel,
        count_at_peers: Callable[[], int],
    ) -> None:
        settings = container.settings
        self.limit = overload.ConcurrencyLimiter(settings.caller_threads)
        self.local_limit = handover.make_limiter(settings.caller_threads)
        self._front = served
        self._server = server
        self._count_at_peers = count_at_peers
        self._membership: membership.MembershipService = container.find("membership")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._busyness = saturation.BusyDetector()
        self._processor = saturation.ProcessorMeter(settings.processor_share)
        self._reported_at = float("-inf")
        self._reported_limit = self.limit.limit
        self._delay_max = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="lateness", daemon=True)

    def start(self) -> None:
        """Start to measure."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to measure."""
        self._stopped.set()

    def report(self) -> dict[str, object]:
        """Return limits and measurements for the operator."""
        return {
            "in_progress_max": self.limit.limit,
            "local_max": self.local_limit.limit,
            "lateness_seconds": round(self.limit.lateness, 3),
            "accept_delay_seconds": round(self._delay_max, 3),
            "processor_use": round(self._processor.use, 2),
        }

    def _run(self) -> None:
        while not self._stopped.is_set():
            began = time.monotonic()
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            self._record(now - began - TICK_SECONDS, now)
            self._report(now)

    def _record(self, late: float, now: float) -> None:
        """Adjust the limits and the busy state of this router."""
        local = self._front.count_local()
        delay = self._server.take_accept_delay()
        self._delay_max = max(self._delay_max, delay)
        self._processor.record(_measure_processor_time(), now)
        self.limit.record(late, local, now)
        self.local_limit.record(max(late, delay), local, now, self._processor.use)
        if self._busyness.record(self.limit.lateness, now):
            self._membership.set_busy(self._busyness.is_busy)

    def _report(self, now: float) -> None:
        """Set the metrics and log what is late, at intervals."""
        limit, before = self.limit.limit, self._reported_limit
        self._reported_limit = limit
        if limit < before:
            events.log(
                events.Event.REQUEST_LIMIT_LOWERED,
                limit=limit,
                in_progress=self._front.count_in_progress(),
                lateness=round(self.limit.lateness, 3),
            )
        if limit == before and now - self._reported_at < REPORT_SECONDS:
            return
        idle, busy = self._server.count_connections()
        self._metrics.set_connections(idle, busy, limit)
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._metrics.set_accept_delay(self._delay_max)
        if self._delay_max > arrivalqueue.LATE_SECONDS:
            events.log(
                events.Event.ARRIVALS_LATE,
                delay=round(self._delay_max, 3),
                queued=self._server.count_arrivals(),
                local=self._front.count_local(),
                at_peers=self._count_at_peers(),
                processor_use=round(self._processor.use, 2),
            )
        self._reported_at, self._delay_max = now, 0.0


def _measure_processor_time() -> float:
    """Return the processor time that this process has used, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
