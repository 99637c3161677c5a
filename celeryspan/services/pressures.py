"""The kernel service ``pressures``: waiting requests and free slots over the fleet.

Each router reports what it sees to the few routers that may hold the placement lease,
which sum the reports. With 1,300 routers and 19 models each of the three receives about
130 small frames a second.
"""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import ids, kernel
from celeryspan.decisions import membertable, modelplacement, watchers
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import configuration, delivery, membership

DUTY = "orders"
MAX_CANDIDATES = 2

# Interval between reports. Placement acts on pressure that lasts for 20 s, which covers
# two reports.
REPORT_SECONDS = 10.0

# Maximum age of a report; the sender of an older one has died or is unreachable.
STALE_SECONDS = 25.0


@kernel.register(
    "pressures", needs=("configuration", "delivery", "dispatch", "homes", "membership")
)
class PressuresService:
    """Reports the pressure seen by this router and sums the reports of all routers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._configuration: configuration.ConfigurationService = container.find(
            "configuration"
        )
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._membership: membership.MembershipService = container.find("membership")
        self._dispatch = container.find("dispatch")
        self._homes = container.find("homes")
        self._reports: dict[
            tuple[ids.RouterId, ids.ServiceId], tuple[float, messages.Pressure]
        ] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pressures", daemon=True)

    def start(self) -> None:
        """Start reporting."""
        self._delivery.subscribe(messages.Pressure, self._handle_pressure)
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped.set()
        self._thread.join()

    def candidates(self) -> tuple[ids.RouterId, ...]:
        """Return the routers that may hold the lease."""
        present = [
            member.router
            for member in self._membership.alive()
            if member.state in membertable.PRESENT
        ]
        return watchers.choose(DUTY, present, MAX_CANDIDATES)

    def sum_reports(self) -> dict[ids.ServiceId, modelplacement.Pressure]:
        """Return the pressure on each service, summed over recent reports."""
        oldest = time.monotonic() - STALE_SECONDS
        totals: dict[ids.ServiceId, list[int]] = collections.defaultdict(
            lambda: [0, 0, 0]
        )
        with self._lock:
            self._reports = {
                key: entry for key, entry in self._reports.items() if entry[0] >= oldest
            }
            for _, report in self._reports.values():
                total = totals[report.service]
                total[0] += report.waiting
                total[1] += report.busy
                total[2] += report.slots
        return {name: modelplacement.Pressure(*total) for name, total in totals.items()}

    def measure(self) -> list[messages.Pressure]:
        """Return the pressure seen by this router on each service with a model."""
        current = self._configuration.current()
        if current is None:
            return []
        waiting: collections.Counter[str] = collections.Counter()
        for name, count in self._dispatch.report()["waiting"].items():
            waiting[name.partition("/")[0]] += count
        busy: collections.Counter[str] = collections.Counter()
        slots: collections.Counter[str] = collections.Counter()
        for name, usage in self._homes.report()["servers"].items():
            server = current.servers.get(name)
            if server is not None:
                busy[server.service] += usage["in_use"]
                slots[server.service] += server.slots
        return [
            messages.Pressure(name, waiting[name], busy[name], slots[name])
            for name, service in current.services.items()
            if service.model and (waiting[name] or slots[name])
        ]

    def _handle_pressure(
        self, peer: ids.RouterId, _: ids.Incarnation, report: messages.Pressure
    ) -> None:
        with self._lock:
            self._reports[peer, report.service] = (time.monotonic(), report)

    def _run(self) -> None:
        while not self._stopped.wait(REPORT_SECONDS):
            pressures = self.measure()
            for router in self.candidates():
                for report in pressures:
                    self._delivery.send(router, report)
