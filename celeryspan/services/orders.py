"""The kernel service ``orders``: sends load orders to model engines from one router.

The router that holds the lease brings each engine to the model, adapters, version and
role that the configuration names for its service, and moves servers between services.

A holder may be suspended after it has checked its lease, and send its order after
another router has taken over. An engine that checks fencing numbers refuses the order.
For engines that do not, three rules apply: an order is sent only if the lease outlasts
the maximum duration of an order; a new holder waits for that duration before its first
order; and it reads the state of every engine repeatedly, so that an engine changed by a
late order is corrected.
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

# Engines whose state is read in one round; 10,000 servers take 500 s.
MAX_STATES_PER_ROUND = 20


@kernel.register(
    "orders", needs=("configuration", "identity", "pressures", "store", "vmlist")
)
class OrdersService:
    """Holds the lease for orders, or waits for it if this router is a candidate."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._store: store.StoreService = container.find("store")
        self._pressures: pressures.PressuresService = container.find("pressures")
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        holder = f"{self._identity.router}/{self._identity.incarnation}"
        self._lease_keeper = leasing.LeaseKeeper(self._store, pressures.DUTY, holder)
        self._client = orders.OrderClient()
        self._vm_list: vmlist.VMListService = container.find("vmlist")
        self._drains = drains.ServerDrains(self._vm_list)
        self._server_mover = moves.ServerMover(self._store.client, self._drains, holder)
        self._load_limiter: loading.LoadLimiter | None = None
        self._queue: collections.deque[ids.ServerId] = collections.deque()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self) -> None:
        """Start acquiring the lease and sending orders."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; the lease expires on its own."""
        self._stopped.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return whether this router holds the lease, and the current move."""
        return {
            "holds": self._lease_keeper.holds(),
            "fence": self._lease_keeper.lease.fence,
            "moving": self._server_mover.describe(),
        }

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_SECONDS):
            try:
                self._run_round()
            except Exception as error:
                # An invalid answer of an engine or store must not end the thread.
                events.log(events.Event.TASK_FAILED, task="orders", error=repr(error))

    def _run_round(self) -> None:
        """Renew the lease and, while it is held, send orders and move servers."""
        current = self._configuration.current()
        if current is None or not any(item.model for item in current.register.services):
            return
        candidates = self._pressures.candidates()
        self._lease_keeper.step(wanted=self._identity.router in candidates)
        if not self._lease_keeper.holds():
            self._load_limiter = None
            self._server_mover.cancel()
            self._drains.cancel()
            return
        if self._load_limiter is None:
            self._load_limiter = loading.LoadLimiter(time.monotonic())
        managed = list_managed(current)
        totals, leaving = self._pressures.sum_reports(), self._vm_list.leaving()
        self._server_mover.step(current, managed, totals, leaving, time.monotonic())
        self._reconcile(current, managed)

    def _reconcile(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
    ) -> None:
        if not self._queue:
            self._queue.extend(sorted(managed))
        for _ in range(min(MAX_STATES_PER_ROUND, len(self._queue))):
            server = managed.get(self._queue.popleft())
            if server is None:
                continue
            try:
                self._reconcile_server(
                    server, current.services[ids.ServiceId(server.service)]
                )
            except errors.CeleryspanError as error:
                events.log(
                    events.Event.ORDER_REFUSED, server=server.name, reason=str(error)
                )

    def _reconcile_server(
        self, server: register.Server, service: register.Service
    ) -> None:
        """Read the state of an engine and send an order if it needs one."""
        address = ids.Address.parse(server.address)
        state = self._client.read_state(address)
        self._load_limiter.update(server.name, loading=state.loading)
        wanted = loading.DesiredState(
            service.model, service.adapters, service.version, service.role
        )
        kind = loading.choose_order(wanted, state)
        if kind is None:
            if not state.loading:
                self._mark_ready(server)
            return
        now = time.monotonic()
        if not self._lease_keeper.lease.may_order(
            now, checks_fence=server.checks_fence
        ):
            return
        if kind is loading.OrderKind.LOAD:
            if not self._drains.drain(server, now):
                return
            if not self._load_limiter.try_begin(server.name, now):
                return
            self._drains.mark_ordered(ids.ServerId(server.name))
        fence = self._lease_keeper.lease.fence
        self._client.send(address, kind, wanted, fence)
        events.log(
            events.Event.ORDER_SENT, server=server.name, kind=kind.value, fence=fence
        )

    def _mark_ready(self, server: register.Server) -> None:
        """Make a server that has loaded its model available for requests."""
        if self._server_mover.is_moving_away(server):
            return
        self._drains.finish(ids.ServerId(server.name))
        self._server_mover.record_loaded(ids.ServerId(server.name))


def list_managed(
    current: configuration.Configuration,
) -> dict[ids.ServerId, register.Server]:
    """Return the servers of services whose model the register names."""
    return {
        name: server
        for name, server in current.servers.items()
        if current.services[ids.ServiceId(server.service)].model
    }
