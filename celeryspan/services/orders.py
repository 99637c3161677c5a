"""The kernel service ``orders``: one router orders the model engines about.

It brings each engine to the model, adapters, version and role that the configuration
wants of its service, and moves servers between services.

Failure guarded against: a holder is paused after it asked whether it still holds the
duty, and sends its order when another router has taken over. An engine that checks
fencing numbers refuses it. Towards one that ignores them three things stand: an order
is sent only if the lease lasts longer than the greatest time of an order; a new holder
waits that time before its first order; and it reads the state of each engine, again
and again, so that an engine that an old order has changed is ordered back.
"""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import configuration, errors, events, ids, kernel, register
from celeryspan.adapters import orders
from celeryspan.decisions import loading
from celeryspan.services import drains, leasing, moves, pressures

if TYPE_CHECKING:
    from celeryspan.services import (
        configuration as configuration_service,
        identity,
        store,
        vmlist,
    )

ROUND_SECONDS = 1.0

STATES_PER_ROUND = 20
"""Engines asked for their state in a round; 10,000 servers take 500 s."""


@kernel.register(
    "orders", needs=("configuration", "identity", "pressures", "store", "vmlist")
)
class OrdersService:
    """Holds the duty of orders, or waits for it if it should."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._store: store.StoreService = box.find("store")
        self._pressures: pressures.PressuresService = box.find("pressures")
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        holder = f"{self._identity.router}/{self._identity.incarnation}"
        self._keeper = leasing.LeaseKeeper(self._store, pressures.DUTY, holder)
        self._client = orders.OrderClient()
        self._departures: vmlist.VMListService = box.find("vmlist")
        self._drains = drains.Drains(self._departures)
        self._mover = moves.Mover(self._store.client, self._drains, holder)
        self._limit: loading.LoadLimiter | None = None
        self._queue: collections.deque[ids.ServerId] = collections.deque()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self) -> None:
        """Begin to hold or to wait."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; the lease runs out by itself."""
        self._stopped.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return whether this router holds the duty, and the move under way."""
        return {
            "holds": self._keeper.holds(),
            "fence": self._keeper.lease.fence,
            "moving": self._mover.describe(),
        }

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_SECONDS):
            try:
                self._work()
            except Exception as error:
                # An engine or a store that answers nonsense must not end all orders.
                events.log(events.Event.TASK_FAILED, task="orders", error=repr(error))

    def _work(self) -> None:
        """One round: keep the lease, and if it is held, do the duty."""
        current = self._configuration.current()
        if current is None or not any(item.model for item in current.register.services):
            return
        candidates = self._pressures.candidates()
        self._keeper.step(wanted=self._identity.router in candidates)
        if not self._keeper.holds():
            self._limit = None
            self._mover.give_up()
            self._drains.give_up()
            return
        if self._limit is None:
            self._limit = loading.LoadLimiter(time.monotonic())
        managed = list_managed(current)
        totals, leaving = self._pressures.sum_reports(), self._departures.leaving()
        self._mover.work(current, managed, totals, leaving, time.monotonic())
        self._reconcile(current, managed)

    def _reconcile(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
    ) -> None:
        if not self._queue:
            self._queue.extend(sorted(managed))
        for _ in range(min(STATES_PER_ROUND, len(self._queue))):
            server = managed.get(self._queue.popleft())
            if server is None:
                continue
            try:
                self._bring(server, current.services[ids.ServiceId(server.service)])
            except errors.CeleryspanError as error:
                events.log(
                    events.Event.ORDER_REFUSED, server=server.name, reason=str(error)
                )

    def _bring(self, server: register.Server, service: register.Service) -> None:
        """Read the state of one engine and send the order it needs, if any."""
        address = ids.Address.parse(server.address)
        state = self._client.read_state(address)
        self._limit.update(server.name, loading=state.loading)
        wanted = loading.DesiredState(
            service.model, service.adapters, service.version, service.role
        )
        kind = loading.choose_order(wanted, state)
        if kind is None:
            if not state.loading:
                self._finish(server)
            return
        now = time.monotonic()
        if not self._keeper.lease.may_order(now, checks_fence=server.checks_fence):
            return
        if kind is loading.OrderKind.LOAD:
            if not self._drains.is_quiet(server, now):
                return
            if not self._limit.try_begin(server.name, now):
                return
            self._drains.note_ordered(ids.ServerId(server.name))
        fence = self._keeper.lease.fence
        self._client.send(address, kind, wanted, fence)
        events.log(
            events.Event.ORDER_SENT, server=server.name, kind=kind.value, fence=fence
        )

    def _finish(self, server: register.Server) -> None:
        """Let a server that has what its service wants have work."""
        if self._mover.holds_back(server):
            return
        self._drains.finish(ids.ServerId(server.name))
        self._mover.note_loaded(ids.ServerId(server.name))


def list_managed(
    current: configuration.Configuration,
) -> dict[ids.ServerId, register.Server]:
    """Return the servers of services whose model the register names."""
    return {
        name: server
        for name, server in current.servers.items()
        if current.services[ids.ServiceId(server.service)].model
    }
