"""The kernel service ``pressures``: what waits and what is free, over the fleet.

Each router tells the few that may hold the duty of placement what it sees; these add
it up. At 1,300 routers and 19 models this is about 130 small frames a second at each
of the three.
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
CANDIDATES = 2

REPORT_SECONDS = 10.0
"""Placement looks at pressure that lasts for 20 s; two reports fall into that."""

STALE_SECONDS = 25.0
"""A report older than this is of a router that died or was cut off."""


@kernel.register(
    "pressures", needs=("configuration", "delivery", "dispatch", "homes", "membership")
)
class PressuresService:
    """Reports this router's view, and adds up those of all."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._configuration: configuration.ConfigurationService = box.find(
            "configuration"
        )
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._membership: membership.MembershipService = box.find("membership")
        self._dispatch = box.find("dispatch")
        self._homes = box.find("homes")
        self._reports: dict[
            tuple[ids.RouterId, ids.ServiceId], tuple[float, messages.Pressure]
        ] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="pressures", daemon=True)

    def start(self) -> None:
        """Begin to report."""
        self._delivery.subscribe(messages.Pressure, self._take)
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped.set()
        self._thread.join()

    def candidates(self) -> tuple[ids.RouterId, ...]:
        """Return the routers that may hold the duty."""
        present = [
            member.router
            for member in self._membership.alive()
            if member.state in membertable.PRESENT
        ]
        return watchers.choose(DUTY, present, CANDIDATES)

    def sum_up(self) -> dict[ids.ServiceId, modelplacement.Pressure]:
        """Return the pressure on each service over the routers heard lately."""
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
        """Return what this router sees of each service whose engines it may order."""
        current = self._configuration.current()
        if current is None:
            return []
        waiting: collections.Counter[str] = collections.Counter()
        for name, count in self._dispatch.report()["waiting"].items():
            waiting[name.partition("/")[0]] += count
        busy: collections.Counter[str] = collections.Counter()
        slots: collections.Counter[str] = collections.Counter()
        for name, found in self._homes.report()["servers"].items():
            server = current.servers.get(name)
            if server is not None:
                busy[server.service] += found["in_use"]
                slots[server.service] += server.slots
        return [
            messages.Pressure(name, waiting[name], busy[name], slots[name])
            for name, service in current.services.items()
            if service.model and (waiting[name] or slots[name])
        ]

    def _take(
        self, peer: ids.RouterId, _: ids.Incarnation, report: messages.Pressure
    ) -> None:
        with self._lock:
            self._reports[peer, report.service] = (time.monotonic(), report)

    def _run(self) -> None:
        while not self._stopped.wait(REPORT_SECONDS):
            found = self.measure()
            for router in self.candidates():
                for report in found:
                    self._delivery.send(router, report)
