"""The kernel service ``counters``: counts and reports each account's service."""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from celeryspan import configuration, events, ids, kernel
from celeryspan.decisions import homes, reporting, sharing
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import (
        assignment,
        configuration as configuration_service,
        delivery,
        identity,
    )

# Interval at which unreported service is compared with the threshold. At 100 ms the
# homes of a service with short requests grant several slots before they receive each
# other's reports.
REPORT_CHECK_SECONDS = 0.02

# Time before the counters of an ended incarnation are folded into the totals: late
# values may still arrive from peers that were partitioned.
FOLD_DELAY_SECONDS = 60.0


@kernel.register(
    "counters", needs=("assignment", "configuration", "delivery", "identity")
)
class CountersService:
    """Holds the counters of this router and exchanges them with the homes.

    Attributes
    ----------
    lock : RLock
        Guards ``counters`` and any ledger that uses them.
    backlogged : frozenset
        (service, account) pairs with waiting requests, as known to the local home.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = container.find("assignment")
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._identity: identity.IdentityService = container.find("identity")
        self._reporter = reporting.CounterReporter(reporting.ThresholdRule())
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._folds: collections.deque[tuple[float, ids.RouterId, ids.Incarnation]] = (
            collections.deque()
        )
        self._known_homes: dict[ids.ServiceId, frozenset[ids.RouterId]] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="counters", daemon=True)
        self.lock = threading.RLock()
        self.backlogged: frozenset[sharing.Key] = frozenset()
        self.counters = sharing.Counters(
            self._identity.router, self._identity.incarnation, self._find_weight
        )

    def start(self) -> None:
        """Subscribe to counter messages and start reporting."""
        self._delivery.subscribe(messages.Counter, self._handle_counter)
        self._delivery.subscribe(messages.Lift, self._handle_lift)
        self._delivery.subscribe(messages.Pending, self._handle_pending)
        self._delivery.subscribe(messages.Snapshot, self._handle_snapshot)
        self._assignment.subscribe(self._send_to_new_homes)
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped.set()
        self._thread.join()

    def record_service(
        self, service: ids.ServiceId, account: ids.AccountId, units: float
    ) -> None:
        """Record service delivered through this router, in cost units."""
        with self.lock:
            self.counters.record_service(service, account, units)

    def broadcast(self, decisions: Iterable[messages.Lift | messages.Pending]) -> None:
        """Send decisions of the local home to the other homes of the service."""
        for message in decisions:
            self._send_to_homes(message.service, message)

    def report(self) -> dict[str, object]:
        """Return the service received by each account, for the operator."""
        with self.lock:
            totals = {
                f"{service}/{account}": self.counters.received(service, account)
                for service, account in self.counters.keys()
            }
        return {"received": totals}

    def _send_to_new_homes(self, changes: tuple[homes.HomeChange, ...]) -> None:
        """Send the counters to the new homes of each service.

        Every router reports its own counters again. The first of the other homes also
        sends a snapshot of all counters, so that a restart does not affect fairness.
        """
        for service, servers in self._assignment.homes_by_service().items():
            now = frozenset(servers.values())
            before = self._known_homes.get(service, frozenset())
            restarted = {
                change.new
                for change in changes
                if change.server in servers and change.old is None
            }
            self._known_homes[service] = now
            for home in (now - before | (restarted & now)) - {self._identity.router}:
                with self.lock:
                    self._reporter.forget(service)
                if self._identity.router == min(now - {home}, default=None):
                    self._delivery.send(home, self._make_snapshot())

    def _make_snapshot(self) -> messages.Snapshot:
        with self.lock:
            current = self.counters.snapshot()
        return messages.Snapshot(
            current.counters,
            current.lifts,
            tuple(messages.Total(*key, units) for key, units in current.folded.items()),
            tuple(messages.Gone(*item) for item in current.gone.items()),
        )

    def _handle_snapshot(
        self, router: ids.RouterId, _: ids.Incarnation, received: messages.Snapshot
    ) -> None:
        folded = {(item.service, item.account): item.units for item in received.totals}
        gone = {item.router: item.incarnation for item in received.gone}
        with self.lock:
            self.counters.load_snapshot(
                sharing.Snapshot(received.counters, received.lifts, folded, gone)
            )

    def _find_weight(self, account: ids.AccountId) -> float:
        current = self._configuration.current()
        return current.weight(account) if current else configuration.DEFAULT_WEIGHT

    def _run(self) -> None:
        while not self._stopped.wait(REPORT_CHECK_SECONDS):
            try:
                self._report_due()
            except Exception as error:
                # If reporting stopped, the homes' counters would silently diverge.
                events.log(events.Event.TASK_FAILED, task="counters", error=repr(error))

    def _report_due(self) -> None:
        now = time.monotonic()
        with self.lock:
            while self._folds and self._folds[0][0] <= now:
                _, router, incarnation = self._folds.popleft()
                self.counters.fold(router, incarnation)
            own = {
                (item.service, item.account): item
                for item in self.counters.own_counters()
            }
            units = {key: item.units for key, item in own.items()}
            due = self._reporter.find_due(units, None, now)
        for key in due:
            self._send_to_homes(key[0], own[key])

    def _send_to_homes(self, service: ids.ServiceId, message: messages.Message) -> None:
        for home in self._assignment.find_homes(service):
            if home != self._identity.router:
                self._delivery.send(home, message)

    def _handle_counter(
        self, router: ids.RouterId, _: ids.Incarnation, counter: messages.Counter
    ) -> None:
        with self.lock:
            newest = self._incarnations.get(counter.router, ids.Incarnation(0))
            if counter.incarnation > newest:
                self._incarnations[counter.router] = counter.incarnation
                if newest:
                    due = time.monotonic() + FOLD_DELAY_SECONDS
                    self._folds.append((due, counter.router, newest))
            self.counters.merge(counter)

    def _handle_lift(
        self, router: ids.RouterId, _: ids.Incarnation, lift: messages.Lift
    ) -> None:
        with self.lock:
            self.counters.merge_lift(lift)

    def _handle_pending(
        self, router: ids.RouterId, _: ids.Incarnation, pending: messages.Pending
    ) -> None:
        if router == self._identity.router:
            return
        with self.lock:
            self.counters.merge_pending(router, pending)
