"""The kernel service ``counters``: service received by each account, kept and told."""

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

TICK_SECONDS = 0.02
"""How often unreported service is held against the bound, in seconds. At 100 ms the
homes of a service of short requests grant several slots before they hear of each
other."""

FOLD_SECONDS = 60.0
"""How long the counters of an ended incarnation are kept apart, in seconds: late ones
still come by way of peers that were cut off for a while."""


@kernel.register(
    "counters", needs=("assignment", "configuration", "delivery", "identity")
)
class CountersService:
    """Holds the counters of this router, and exchanges them with the homes.

    Attributes
    ----------
    lock : RLock
        Held by whoever reads or changes ``counters`` or a ledger built on them.
    backlogged : frozenset
        (service, account) pairs that wait anywhere, as the home on this router knows.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = box.find("assignment")
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._identity: identity.IdentityService = box.find("identity")
        self._exchange = reporting.CounterReporter(reporting.ThresholdRule())
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
            self._identity.router, self._identity.incarnation, self._weigh
        )

    def start(self) -> None:
        """Begin to exchange."""
        self._delivery.subscribe(messages.Counter, self._take_counter)
        self._delivery.subscribe(messages.Lift, self._take_lift)
        self._delivery.subscribe(messages.Pending, self._take_pending)
        self._delivery.subscribe(messages.Snapshot, self._take_snapshot)
        self._assignment.subscribe(self._teach)
        self._thread.start()

    def stop(self) -> None:
        """End the exchange."""
        self._stopped.set()
        self._thread.join()

    def give(
        self, service: ids.ServiceId, account: ids.AccountId, units: float
    ) -> None:
        """Count service that streamed through this router, in cost units."""
        with self.lock:
            self.counters.record_service(service, account, units)

    def tell(self, found: Iterable[messages.Lift | messages.Pending]) -> None:
        """Tell the other homes of a service what the home on this router decided."""
        for message in found:
            self._send(message.service, message)

    def report(self) -> dict[str, object]:
        """Return the service received by each account, for the operator."""
        with self.lock:
            totals = {
                f"{service}/{account}": self.counters.received(service, account)
                for service, account in self.counters.keys()
            }
        return {"received": totals}

    def _teach(self, moves: tuple[homes.HomeChange, ...]) -> None:
        """Tell the new homes of each service what this router knows.

        Every router tells its own counters again; the first of the other homes also
        sends all that it knows, so that a restart costs no fairness.
        """
        for service, servers in self._assignment.maps().items():
            now = frozenset(servers.values())
            before = self._known_homes.get(service, frozenset())
            moved = {
                move.new
                for move in moves
                if move.server in servers and move.old is None
            }
            self._known_homes[service] = now
            for home in (now - before | (moved & now)) - {self._identity.router}:
                with self.lock:
                    self._exchange.forget(service)
                if self._identity.router == min(now - {home}, default=None):
                    self._delivery.send(home, self._make_snapshot())

    def _make_snapshot(self) -> messages.Snapshot:
        with self.lock:
            found = self.counters.snapshot()
        return messages.Snapshot(
            found.counters,
            found.lifts,
            tuple(messages.Total(*key, units) for key, units in found.folded.items()),
            tuple(messages.Gone(*item) for item in found.gone.items()),
        )

    def _take_snapshot(
        self, router: ids.RouterId, _: ids.Incarnation, found: messages.Snapshot
    ) -> None:
        folded = {(item.service, item.account): item.units for item in found.totals}
        gone = {item.router: item.incarnation for item in found.gone}
        with self.lock:
            self.counters.load_snapshot(
                sharing.Snapshot(found.counters, found.lifts, folded, gone)
            )

    def _weigh(self, account: ids.AccountId) -> float:
        current = self._configuration.current()
        return current.weight(account) if current else configuration.DEFAULT_WEIGHT

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            try:
                self._tell_due()
            except Exception as error:
                # Without counters homes would drift apart unseen; log and go on.
                events.log(events.Event.TASK_FAILED, task="counters", error=repr(error))

    def _tell_due(self) -> None:
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
            due = self._exchange.find_due(units, None, now)
        for key in due:
            self._send(key[0], own[key])

    def _send(self, service: ids.ServiceId, message: messages.Message) -> None:
        for home in self._assignment.find_homes(service):
            if home != self._identity.router:
                self._delivery.send(home, message)

    def _take_counter(
        self, router: ids.RouterId, _: ids.Incarnation, counter: messages.Counter
    ) -> None:
        with self.lock:
            newest = self._incarnations.get(counter.router, ids.Incarnation(0))
            if counter.incarnation > newest:
                self._incarnations[counter.router] = counter.incarnation
                if newest:
                    due = time.monotonic() + FOLD_SECONDS
                    self._folds.append((due, counter.router, newest))
            self.counters.merge(counter)

    def _take_lift(
        self, router: ids.RouterId, _: ids.Incarnation, lift: messages.Lift
    ) -> None:
        with self.lock:
            self.counters.merge_lift(lift)

    def _take_pending(
        self, router: ids.RouterId, _: ids.Incarnation, pending: messages.Pending
    ) -> None:
        if router == self._identity.router:
            return
        with self.lock:
            self.counters.merge_pending(router, pending)
