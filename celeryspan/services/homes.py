"""The kernel service ``homes``: grants slots of the servers homed on this router."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import events, ids, kernel
from celeryspan.decisions import grants, homes, limits, partitions
from celeryspan.services import votes, windows
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from celeryspan import metrics
    from celeryspan.services import (
        assignment,
        configuration as configuration_service,
        counters,
        delivery,
        identity,
        vmlist,
    )

# Delay between a message and the decision on grants. The messages of one frame are
# handled one by one; the delay lets a demand count together with its used grants.
BATCH_SECONDS = 0.0005

# Interval at which the other homes of a service receive lifts and the charges for slots
# held. The replay figures in ``docs/design/exchange.md`` apply to this interval.
BROADCAST_SECONDS = 0.02

# Interval at which grants expire and windows are updated: a tenth of the validity of a
# grant.
UPDATE_SECONDS = 0.1

# Time for which a report of held slots is kept for a server that has another home:
# longer than the routers take to agree that a router is dead.
EARLY_REPORT_SECONDS = 10.0


class _EarlyReport(msgspec.Struct, frozen=True):
    held: messages.SlotsHeld
    at: float


@kernel.register(
    "homes",
    needs=(
        "assignment",
        "configuration",
        "counters",
        "delivery",
        "identity",
        "metrics",
        "vmlist",
    ),
)
class HomesService:
    """Grants the slots of the backend servers whose home this router is."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = container.find("assignment")
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        self._counters: counters.CountersService = container.find("counters")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._identity: identity.IdentityService = container.find("identity")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._vmlist: vmlist.VMListService = container.find("vmlist")
        self._lock = self._counters.lock
        self._ledger = grants.Ledger(
            self._identity.router, self._identity.incarnation, self._counters.counters
        )
        self._windows = windows.Windows()
        self._votes = votes.Votes()
        self._early_reports: dict[tuple[ids.ServerId, ids.RouterId], _EarlyReport] = {}
        self._broadcast_at = 0.0
        self._known_routers: frozenset[ids.RouterId] = frozenset()
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="homes", daemon=True)

    def start(self) -> None:
        """Start granting slots."""
        handlers: dict[type, Callable] = {
            messages.Demand: self._ledger.update_demand,
            messages.GrantUsed: self._mark_used,
            messages.GrantEnded: self._ledger.end_grant,
            messages.SlotsHeld: self._set_held,
        }
        for kind, change in handlers.items():
            self._delivery.subscribe(kind, self._make_handler(change))
        self._delivery.subscribe(messages.Vote, self._handle_vote)
        self._assignment.subscribe(self._handle_home_changes)
        self._thread.start()

    def stop(self) -> None:
        """Stop granting; the next homes learn the held slots from the routers."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the backend servers whose home this router is."""
        with self._lock:
            return self._ledger.servers()

    def record_load(self, server: ids.ServerId, load: limits.LoadReport) -> None:
        """Record a load report of a backend server."""
        now = time.monotonic()
        with self._lock:
            if server not in self._ledger.servers():
                return
            self._windows.record_load(server, load, self._ledger.in_use(server), now)
        if load.leaving:
            self._vmlist.mark_leaving(server)
        self._changed.set()

    def report(self) -> dict[str, object]:
        """Return window and slots in use of each server homed here."""
        with self._lock:
            servers = {
                server: {
                    "window": self._ledger.window(server),
                    "in_use": self._ledger.in_use(server),
                }
                for server in self._ledger.servers()
            }
        return {"servers": servers}

    def _make_handler(self, change: Callable) -> Callable:
        def handle(
            router: ids.RouterId,
            incarnation: ids.Incarnation,
            message: messages.Message,
        ) -> None:
            with self._lock:
                self._note_incarnation(router, incarnation)
                change(router, message, time.monotonic())
            self._changed.set()

        return handle

    def _note_incarnation(
        self, router: ids.RouterId, incarnation: ids.Incarnation
    ) -> None:
        """Free the slots held by an earlier incarnation of a router.

        A router that restarts while only suspected is never declared dead; without
        this check its old slots would never be freed.
        """
        newest = self._incarnations.get(router)
        if newest is not None and incarnation > newest:
            self._ledger.forget_router(router)
        self._incarnations[router] = max(incarnation, newest or incarnation)

    def _handle_vote(
        self, router: ids.RouterId, _: ids.Incarnation, vote: messages.Vote
    ) -> None:
        self._votes.record(router, vote, time.monotonic())

    def _handle_home_changes(self, changes: tuple[homes.HomeChange, ...]) -> None:
        """Add and remove servers whose home has changed."""
        own_router = self._identity.router
        current = self._configuration.current()
        now = time.monotonic()
        with self._lock:
            for home_change in changes:
                if home_change.old == own_router:
                    self._remove_server(home_change.server)
                if (
                    home_change.new == own_router
                    and current
                    and home_change.server in current.servers
                ):
                    entry = current.servers[home_change.server]
                    awaited = self._assignment.live_routers() - {own_router}
                    self._windows.add(home_change.server, entry.slots, now)
                    self._ledger.add_server(
                        home_change.server,
                        ids.ServiceId(entry.service),
                        entry.slots,
                        now,
                        awaited,
                    )
                    self._apply_early_reports(home_change.server, now)
                    events.log(events.Event.HOME_TAKEN, server=home_change.server)
            pending = self._ledger.list_pending()
        self._counters.broadcast(pending)
        self._changed.set()

    def _set_held(
        self, router: ids.RouterId, held: messages.SlotsHeld, now: float
    ) -> None:
        """Record the slots that a router holds, also before this router becomes home.

        Routers detect a death at different times. If early reports were dropped, the
        new home would assume that the server is empty and grant all its slots again,
        and the server would get up to twice its window.
        """
        if held.server in self._ledger.servers():
            self._ledger.set_held(router, held, now)
        else:
            self._early_reports[held.server, router] = _EarlyReport(held, now)

    def _mark_used(
        self, router: ids.RouterId, used: messages.GrantUsed, now: float
    ) -> None:
        self._ledger.mark_used(router, used, now)
        self._votes.record_use(router, used.server, now)

    def _apply_early_reports(self, server: ids.ServerId, now: float) -> None:
        for key in [key for key in self._early_reports if key[0] == server]:
            self._ledger.set_held(key[1], self._early_reports.pop(key).held, now)

    def _remove_server(self, server: ids.ServerId) -> None:
        self._ledger.remove_server(server)
        self._windows.forget(server)
        self._votes.forget(server)
        self._metrics.forget_server(server)
        events.log(events.Event.HOME_LEFT, server=server)

    def _run(self) -> None:
        updated_at = 0.0
        while not self._stopped:
            self._changed.wait(BROADCAST_SECONDS)
            self._changed.clear()
            time.sleep(BATCH_SECONDS)
            now = time.monotonic()
            try:
                if now - updated_at >= UPDATE_SECONDS:
                    updated_at = now
                    self._update(now)
                self._issue(now)
            except Exception as error:
                # An error in one decision must not end the only thread that grants
                # slots, or servers would be idle while requests wait.
                events.log(events.Event.TASK_FAILED, task="homes", error=repr(error))

    def _issue(self, now: float) -> None:
        with self._lock:
            issued = self._ledger.issue(now)
            decided: list[messages.Lift | messages.Pending] = []
            if now - self._broadcast_at >= BROADCAST_SECONDS:
                self._broadcast_at = now
                decided += self._ledger.pop_lifts()
                decided += self._ledger.pop_pending()
        for issued_grant in issued:
            self._delivery.send(issued_grant.router, issued_grant.grant)
        self._counters.broadcast(decided)

    def _update(self, now: float) -> None:
        self._forget_absent_routers()
        with self._lock:
            self._early_reports = {
                key: early
                for key, early in self._early_reports.items()
                if now - early.at < EARLY_REPORT_SECONDS
            }
            for grant in self._ledger.expire(now):
                events.log(events.Event.GRANT_EXPIRED, grant=grant)
            for server in self._ledger.servers():
                self._update_window(server, now)
            self._counters.backlogged = self._ledger.backlogged()

    def _update_window(self, server: ids.ServerId, now: float) -> None:
        current = self._configuration.current()
        window = self._windows.update(server, self._ledger.in_use(server), now)
        if current is not None:
            window = partitions.share_window(
                window,
                len(self._known_routers),
                len(current.register.vms),
                self._windows.others_running(server),
            )
        window = self._votes.limit(server, window, now)
        if server in self._vmlist.leaving():
            window = 0
        self._ledger.set_window(server, window)
        self._metrics.set_window(server, window)
        self._metrics.set_grants(server, self._ledger.in_use(server))

    def _forget_absent_routers(self) -> None:
        """Free the slots of routers that died, left or were partitioned."""
        live = frozenset(
            member.router for member in self._assignment.members()
        ) | frozenset({self._identity.router})
        with self._lock:
            for router in self._known_routers - live:
                self._ledger.forget_router(router)
                self._counters.counters.forget_pending(router)
                self._incarnations.pop(router, None)
        self._known_routers = live
