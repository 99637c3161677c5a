"""The kernel service ``counters``: service received by each account, kept and told."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from celeryspan import configuration, events, ids, kernel
from celeryspan.decisions import exchange, sharing
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
        self._exchange = exchange.Exchange(exchange.Units())
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._lifts: dict[sharing.Key, messages.Lift] = {}
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
        self._assignment.subscribe(lambda _: self.tell_all())
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
            self.counters.give(service, account, units)

    def tell_all(self) -> None:
        """Tell everything again: a home is new and knows nothing."""
        with self.lock:
            self._exchange.forget()
            lifts = list(self._lifts.values())
        self.tell(lifts)

    def tell(self, found: Iterable[messages.Lift | messages.Pending]) -> None:
        """Tell the other homes of a service what the home on this router decided."""
        for message in found:
            if isinstance(message, messages.Lift):
                self._lifts[message.service, message.account] = message
            self._send(message.service, message)

    def report(self) -> dict[str, object]:
        """Return the service received by each account, for the operator."""
        with self.lock:
            totals = {
                f"{service}/{account}": self.counters.received(service, account)
                for service, account in self.counters.keys()
            }
        return {"received": totals}

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
        with self.lock:
            own = {(item.service, item.account): item for item in self.counters.own()}
            units = {key: item.units for key, item in own.items()}
            due = self._exchange.find_due(units, None, time.monotonic())
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
                    self.counters.fold(counter.router, newest)
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
