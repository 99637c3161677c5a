"""The kernel service ``homes``: the ledger of the backend servers kept here."""

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

BATCH_SECONDS = 0.0005
"""Messages of one frame are handled one by one; grants are decided after the batch,
so that a demand and the grants used that belong to it count together."""

TELL_SECONDS = 0.02
"""How often the other homes of a service hear of slots held, in seconds; the replay's
figures in ``docs/design/exchange.md`` stand for this period."""

TICK_SECONDS = 0.1
"""How often grants expire and windows are set again, in seconds: a tenth of the
validity of a grant."""


EARLY_SECONDS = 10.0
"""How long a report of slots held is kept for a server whose home is elsewhere, in
seconds: longer than the routers take to agree about a death."""


class _Early(msgspec.Struct, frozen=True):
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
    """Hands out the slots of the backend servers whose home this router is."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = box.find("assignment")
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        self._counters: counters.CountersService = box.find("counters")
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._identity: identity.IdentityService = box.find("identity")
        self._metrics: metrics.Metrics = box.find("metrics")
        self._vmlist: vmlist.VMListService = box.find("vmlist")
        self._lock = self._counters.lock
        self._ledger = grants.Ledger(
            self._identity.router, self._identity.incarnation, self._counters.counters
        )
        self._windows = windows.Windows()
        self._votes = votes.Votes()
        self._early: dict[tuple[ids.ServerId, ids.RouterId], _Early] = {}
        self._told_at = 0.0
        self._known: frozenset[ids.RouterId] = frozenset()
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="homes", daemon=True)

    def start(self) -> None:
        """Begin to hand out slots."""
        handlers: dict[type, Callable] = {
            messages.Demand: self._ledger.update_demand,
            messages.GrantUsed: self._use,
            messages.GrantEnded: self._ledger.end_grant,
            messages.SlotsHeld: self._hold,
        }
        for kind, change in handlers.items():
            self._delivery.subscribe(kind, self._make_handler(change))
        self._delivery.subscribe(messages.Vote, self._take_vote)
        self._assignment.subscribe(self._move)
        self._thread.start()

    def stop(self) -> None:
        """Hand out nothing more; the next homes learn from the routers."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the backend servers whose home this router is."""
        with self._lock:
            return self._ledger.servers()

    def take_load(self, server: ids.ServerId, load: limits.LoadReport) -> None:
        """Take in what a backend server reports about itself."""
        now = time.monotonic()
        with self._lock:
            if server not in self._ledger.servers():
                return
            self._windows.report(server, load, self._ledger.in_use(server), now)
        if load.leaving:
            self._vmlist.mark_leaving(server)
        self._changed.set()

    def report(self) -> dict[str, object]:
        """Return window and slots in use of each server kept here."""
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
        """Free what the earlier life of a router held.

        A router that restarts within the time of suspicion is never declared dead;
        without this its old slots would stay taken for good.
        """
        newest = self._incarnations.get(router)
        if newest is not None and incarnation > newest:
            self._ledger.forget_router(router)
        self._incarnations[router] = max(incarnation, newest or incarnation)

    def _take_vote(
        self, router: ids.RouterId, _: ids.Incarnation, vote: messages.Vote
    ) -> None:
        self._votes.record(router, vote, time.monotonic())

    def _move(self, moves: tuple[homes.HomeChange, ...]) -> None:
        """Take over and give up servers."""
        me = self._identity.router
        current = self._configuration.current()
        now = time.monotonic()
        with self._lock:
            for move in moves:
                if move.old == me:
                    self._drop(move.server)
                if move.new == me and current and move.server in current.servers:
                    entry = current.servers[move.server]
                    awaited = self._assignment.live() - {me}
                    self._windows.add(move.server, entry.slots, now)
                    self._ledger.add_server(
                        move.server,
                        ids.ServiceId(entry.service),
                        entry.slots,
                        now,
                        awaited,
                    )
                    self._replay_early(move.server, now)
                    events.log(events.Event.HOME_TAKEN, server=move.server)
            pending = self._ledger.list_pending()
        self._counters.tell(pending)
        self._changed.set()

    def _hold(self, router: ids.RouterId, held: messages.SlotsHeld, now: float) -> None:
        """Note the slots that a router holds, also before this one knows it is home.

        Routers learn of a death at different times. Without keeping what comes early,
        the new home would take the server for empty and grant all its slots again,
        so that the server gets up to twice its window.
        """
        if held.server in self._ledger.servers():
            self._ledger.set_held(router, held, now)
        else:
            self._early[held.server, router] = _Early(held, now)

    def _use(self, router: ids.RouterId, used: messages.GrantUsed, now: float) -> None:
        self._ledger.mark_used(router, used, now)
        self._votes.record_use(router, used.server, now)

    def _replay_early(self, server: ids.ServerId, now: float) -> None:
        for key in [key for key in self._early if key[0] == server]:
            self._ledger.set_held(key[1], self._early.pop(key).held, now)

    def _drop(self, server: ids.ServerId) -> None:
        self._ledger.remove_server(server)
        self._windows.forget(server)
        self._votes.forget(server)
        self._metrics.forget_server(server)
        events.log(events.Event.HOME_LEFT, server=server)

    def _run(self) -> None:
        ticked = 0.0
        while not self._stopped:
            self._changed.wait(TELL_SECONDS)
            self._changed.clear()
            time.sleep(BATCH_SECONDS)
            now = time.monotonic()
            try:
                if now - ticked >= TICK_SECONDS:
                    ticked = now
                    self._tick(now)
                self._issue(now)
            except Exception as error:
                # A fault in one decision must not end the ledger's only task, which
                # would show as servers that idle while requests wait.
                events.log(events.Event.TASK_FAILED, task="homes", error=repr(error))

    def _issue(self, now: float) -> None:
        with self._lock:
            issued = self._ledger.issue(now)
            decided: list[messages.Lift | messages.Pending] = []
            if now - self._told_at >= TELL_SECONDS:
                self._told_at = now
                decided += self._ledger.pop_lifts()
                decided += self._ledger.pop_pending()
        for each in issued:
            self._delivery.send(each.router, each.grant)
        self._counters.tell(decided)

    def _tick(self, now: float) -> None:
        self._forget_dead()
        with self._lock:
            self._early = {
                key: early
                for key, early in self._early.items()
                if now - early.at < EARLY_SECONDS
            }
            for grant in self._ledger.expire(now):
                events.log(events.Event.GRANT_EXPIRED, grant=grant)
            for server in self._ledger.servers():
                self._set_window(server, now)
            self._counters.backlogged = self._ledger.backlogged()

    def _set_window(self, server: ids.ServerId, now: float) -> None:
        current = self._configuration.current()
        window = self._windows.size(server, self._ledger.in_use(server), now)
        if current is not None:
            window = partitions.share_window(
                window,
                len(self._known),
                len(current.register.vms),
                self._windows.others_running(server),
            )
        window = self._votes.limit(server, window, now)
        if server in self._vmlist.leaving():
            window = 0
        self._ledger.set_window(server, window)
        self._metrics.set_window(server, window)
        self._metrics.set_grants(server, self._ledger.in_use(server))

    def _forget_dead(self) -> None:
        """Free what routers held that died, left or were cut off."""
        live = frozenset(
            member.router for member in self._assignment.members()
        ) | frozenset({self._identity.router})
        with self._lock:
            for router in self._known - live:
                self._ledger.forget_router(router)
                self._counters.counters.forget_pending(router)
                self._incarnations.pop(router, None)
        self._known = live
