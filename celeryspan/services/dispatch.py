"""The kernel service ``dispatch``: waiting requests of this router, and their slots."""

from __future__ import annotations

import dataclasses
import math
import random
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import dispatch, errors, events, ids, kernel
from celeryspan.decisions import (
    admission,
    exchange,
    homes,
    queueing,
    routing,
    sharing,
)
from celeryspan.services import slots
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from celeryspan import metrics
    from celeryspan.services import (
        assignment,
        configuration as configuration_service,
        counters,
        delivery,
        identity,
        outliers,
    )

REFRESH_SECONDS = 1.0
"""Demand that stands is reported again, in seconds: covers a report lost with a link,
and lets the age at the homes follow."""

BOUNCES_MAX = 2
"""Grants of one server that an account's requests may refuse in a row because it has
failed them; a second offer means that the home has nothing else."""

TICK_SECONDS = 0.05
"""How often deadlines are looked at, in seconds."""

HELD_SECONDS = 5.0
"""How often a home is told which slots are in use, in seconds: heals what a lost
GrantEnded leaves behind."""


ENTRY_BYTES = 4096
"""Memory that a waiting request takes beside its body: its thread's frames, its queue
entry and its headers."""


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A thread that waits for a slot.

    Attributes
    ----------
    slot, error
        Exactly one of them is set before ``ready``.
    """

    ready: threading.Event = dataclasses.field(default_factory=threading.Event)
    slot: slots.HeldSlot | None = None
    error: errors.NotRun | None = None


@kernel.register(
    "dispatch",
    needs=(
        "assignment",
        "configuration",
        "counters",
        "delivery",
        "identity",
        "metrics",
        "outliers",
    ),
)
class DispatchService:
    """Queues requests, reports demand, and binds each grant to a request."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = box.find("assignment")
        self._configuration: configuration_service.ConfigurationService = box.find(
            "configuration"
        )
        self._counters: counters.CountersService = box.find("counters")
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._metrics: metrics.Metrics = box.find("metrics")
        self._identity: identity.IdentityService = box.find("identity")
        self._outliers: outliers.OutliersService = box.find("outliers")
        self._random = random.Random(self._identity.incarnation)
        self._lock = threading.Lock()
        self._queues = queueing.Queues()
        self._admission = admission.Admission(self._queues)
        self._estimator = sharing.Estimator()
        self.cache = routing.CacheMap()
        self._routing = routing.Routing(self.cache)
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._held = slots.HeldSlots()
        self._demands = exchange.Demands()
        self._sequence = 0
        self._turn = 0
        self._due: dict[sharing.Key, float] = {}
        self._bounces: dict[tuple[sharing.Key, ids.ServerId], int] = {}
        self._changed = threading.Event()
        self._stopped = False
        self._threads = [
            threading.Thread(target=run, name=f"dispatch-{name}", daemon=True)
            for name, run in (("report", self._report_loop), ("tick", self._tick_loop))
        ]

    def start(self) -> None:
        """Begin to take grants."""
        self._delivery.subscribe(messages.Grant, self._take_grant)
        self._assignment.subscribe(self._move)
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Refuse whoever still waits; it is certain that nothing was sent for them."""
        self._stopped = True
        self._changed.set()
        for thread in self._threads:
            thread.join()
        with self._lock:
            waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            waiter.error = make_stopped()
            waiter.ready.set()

    def acquire(self, work: dispatch.Work) -> slots.HeldSlot:
        """Wait for a slot; raises errors.NotRun if the request is refused."""
        began = time.monotonic()
        waiter = self._admit(work, began)
        waiter.ready.wait()
        if waiter.error is not None:
            raise waiter.error
        assert waiter.slot is not None
        waited = time.monotonic() - began
        self._metrics.observe_wait(work.service, work.account, waited)
        return waiter.slot

    def cancel(self, request: ids.RequestId) -> None:
        """Take a waiting request out of its queue; its caller has left."""
        with self._lock:
            entry = self._queues.cancel(request, time.monotonic())
            if entry is None:
                return
            self._refuse(request, make_cancelled())
            self._plan((entry.work.service, entry.work.account), time.monotonic())

    def report(self) -> dict[str, object]:
        """Return what waits and what is in progress, for the operator."""
        with self._lock:
            waiting = {
                f"{service}/{account}": self._queues.waiting(service, account)
                for service, account in self._queues.backlogged()
            }
            return {"waiting": waiting, "in_use": self._held.count()}

    def _admit(self, work: dispatch.Work, now: float) -> _Waiter:
        waiter = _Waiter()
        work = self._widen(work)
        with self._lock:
            if self._stopped:
                raise make_stopped()
            estimate = self._estimate(work)
            verdict = self._admission.admit(
                work, ENTRY_BYTES + work.size, estimate, now, self._random.random()
            )
            if isinstance(verdict, admission.Refused):
                raise verdict.make_error()
            for refused in verdict.shed:
                self._refuse(refused.request, refused.make_error())
            self._waiters[work.request] = waiter
            key = (work.service, work.account)
            if not self._demands.believers(key):
                self._tell_demand(key, now, again=False)
            else:
                self._plan(key, now)
        return waiter

    def _widen(self, work: dispatch.Work) -> dispatch.Work:
        """Drop the exclusions of a request that has tried every server.

        Otherwise it would wait until its deadline though servers are free.
        """
        current = self._configuration.current()
        servers = current.servers.items() if current else ()
        left = {
            server
            for server, entry in servers
            if entry.service == work.service and server not in work.excluded
        }
        return work if left else dataclasses.replace(work, excluded=frozenset())

    def _estimate(self, work: dispatch.Work) -> float:
        current = self._configuration.current()
        entry = current.services.get(work.service) if current else None
        typical = entry.cost_hint if entry else 1.0
        return self._estimator.estimate(work.service, work.account, work.hint, typical)

    def _refuse(self, request: ids.RequestId, error: errors.NotRun) -> None:
        waiter = self._waiters.pop(request, None)
        if waiter is not None:
            waiter.error = error
            waiter.ready.set()

    def _take_grant(
        self, home: ids.RouterId, _: ids.Incarnation, grant: messages.Grant
    ) -> None:
        """Bind a grant to the request that fits the server best.

        A grant that finds nothing to run goes back at once, so that its slot idles for
        no more than a round trip.
        """
        now = time.monotonic()
        key = (grant.service, grant.account)
        with self._lock:
            entry = self._queues.pick(
                *key, grant.server, now, lambda work: self._fit(grant.server, work)
            )
            if entry is None:
                self._note_bounce(key, grant.server)
                unused = messages.GrantEnded(
                    grant.grant, grant.server, grant.account, 0.0
                )
                self._demands.tell(key, home, 0)
                self._delivery.send(home, unused)
                self._plan(key, now)
                return
            self._bounces.pop((key, grant.server), None)
            waiter = self._waiters.pop(entry.work.request)
            slot = slots.HeldSlot(grant, entry, now, self)
            self._held.add(slot)
            self.cache.sent(grant.server, entry.work.prefix, now)
            self._demands.use(key, home, now)
            self._plan(key, now)
        used = messages.GrantUsed(
            grant.grant, grant.server, grant.account, entry.cost_estimate
        )
        self._delivery.send(home, used)
        waiter.slot = slot
        waiter.ready.set()

    def _note_bounce(self, key: sharing.Key, server: ids.ServerId) -> None:
        """Count a grant that no waiting request may use; give in to the second."""
        if not self._queues.waiting(*key):
            return
        count = self._bounces.get((key, server), 0) + 1
        self._bounces[key, server] = count
        if count >= BOUNCES_MAX:
            self._queues.relax(*key, server)
            del self._bounces[key, server]

    def _fit(self, server: ids.ServerId, work: dispatch.Work) -> float:
        return self._routing.fit(server, work)

    def give(self, slot: slots.HeldSlot, units: float) -> None:
        """Count service given through a slot, in cost units."""
        work = slot.entry.work
        self._counters.give(work.service, work.account, units)

    def end(self, slot: slots.HeldSlot, ending: dispatch.Ending, cost: float) -> None:
        """Take a slot back and tell its home."""
        work = slot.entry.work
        with self._lock:
            self._held.remove(slot)
            answered = ending is dispatch.Ending.ANSWERED
            self._queues.end(work.request, time.monotonic(), answered)
            if answered:
                self._estimator.settle(work.service, work.account, cost)
        self._outliers.record(slot, ending, cost)
        home = self._assignment.find_home(slot.server)
        if home is not None:
            ended = messages.GrantEnded(
                slot.grant.grant, slot.server, work.account, cost
            )
            self._delivery.send(home, ended)

    def _move(self, moves: tuple[homes.Move, ...]) -> None:
        """Tell the new homes which slots are in use here, and what waits."""
        now = time.monotonic()
        with self._lock:
            for move in moves:
                self._tell_held(move.server)
            for home in {move.new for move in moves if move.new is not None}:
                self._demands.forget(home)
            for key in self._queues.backlogged():
                self._tell_demand(key, now, again=False)

    def _tell_held(self, server: ids.ServerId) -> None:
        home = self._assignment.find_home(server)
        if home is not None:
            grants = self._held.list_grants(server)
            self._delivery.send(home, messages.SlotsHeld(server, grants))

    def _plan(self, key: sharing.Key, now: float) -> None:
        """Tell homes soon if one believes something false, else with the next batch."""
        believers = self._demands.believers(key)
        is_urgent = bool(believers) != bool(self._queues.waiting(*key))
        seconds = 0.0 if is_urgent else exchange.DEMAND_SECONDS
        due = min(self._due.get(key, math.inf), now + seconds)
        self._due[key] = due
        if is_urgent:
            self._changed.set()

    def _tell_demand(self, key: sharing.Key, now: float, *, again: bool) -> None:
        """Tell homes how much of an account waits here.

        Parameters
        ----------
        again : bool
            Also tell the homes that have been told the same before.
        """
        waiting = self._queues.waiting(*key)
        stage = self._demands.find_stage(key, waiting, now)
        targets = dict.fromkeys(self._demands.believers(key))
        targets.update(dict.fromkeys(self._choose_homes(key, stage, now)))
        self._sequence += 1
        demand = self._queues.demand(*key, self._sequence, now)
        for home in targets:
            if again or self._demands.belief(key, home) != waiting:
                self._demands.tell(key, home, waiting)
                self._delivery.send(home, demand)
        if stage is exchange.Stage.ONE:
            self._due[key] = now + exchange.ESCALATE_SECONDS
            self._changed.set()
        elif stage is exchange.Stage.ALL:
            self._due[key] = now + exchange.RESAMPLE_SECONDS

    def _choose_homes(
        self, key: sharing.Key, stage: exchange.Stage, now: float
    ) -> Iterable[ids.RouterId]:
        service, _ = key
        me = self._identity.router
        if stage is exchange.Stage.NONE:
            return ()
        if stage is exchange.Stage.ALL:
            found = self._assignment.find_homes(service)
            return homes.sample(
                found, me, service, self._demands.find_attempt(key, now)
            )
        if self._demands.believers(key):
            return ()
        self._turn += 1
        by_server = self._assignment.map_servers(service)
        first = homes.pick_first(by_server, me, service, self._turn)
        return () if first is None else (first,)

    def _report_loop(self) -> None:
        refreshed = time.monotonic()
        while not self._stopped:
            self._changed.wait(self._find_pause())
            self._changed.clear()
            now = time.monotonic()
            with self._lock:
                self._tell_due(now)
                if now - refreshed >= REFRESH_SECONDS:
                    refreshed = now
                    for key in self._queues.backlogged():
                        self._tell_demand(key, now, again=True)

    def _find_pause(self) -> float:
        with self._lock:
            soonest = min(self._due.values(), default=math.inf)
        return max(0.0, min(REFRESH_SECONDS, soonest - time.monotonic()))

    def _tell_due(self, now: float) -> None:
        for key in [key for key, due in self._due.items() if due <= now]:
            del self._due[key]
            self._tell_demand(key, now, again=False)
            self._metrics.set_backlog(*key, self._queues.waiting(*key))

    def _tick_loop(self) -> None:
        held_at = time.monotonic()
        while not self._stopped:
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            with self._lock:
                self._expire(now)
                if now - held_at >= HELD_SECONDS:
                    held_at = now
                    for server in self._held.servers():
                        self._tell_held(server)

    def _expire(self, now: float) -> None:
        """Answer those whose time is over at once, with when to come back."""
        for entry in self._queues.expire(now):
            work = entry.work
            refused = self._admission.refuse(
                work, admission.Reason.EXPIRED, now, self._random.random()
            )
            self._refuse(work.request, refused.make_error())
            self._plan((work.service, work.account), now)


def make_stopped() -> errors.NotRun:
    """Return the refusal of a router that stops."""
    return errors.NotRun(
        "this router stops; ask for addresses and repeat the request elsewhere",
        code="router-stopping",
        status=503,
        retry_after=1.0,
        step="wait for a slot",
    )


def make_cancelled() -> errors.NotRun:
    """Return the end of a request whose caller has left."""
    events.log(events.Event.CALLER_LEFT)
    return errors.NotRun(
        "the caller has left", code="caller-left", status=499, step="wait for a slot"
    )
