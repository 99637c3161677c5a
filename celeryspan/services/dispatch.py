"""The kernel service ``dispatch``: waiting requests of this router, and their slots."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import dispatch, errors, events, ids, kernel
from celeryspan.decisions import (
    admission,
    homes,
    queueing,
    routing,
    sharing,
)
from celeryspan.services import demand, slots
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan import metrics
    from celeryspan.services import (
        assignment,
        configuration as configuration_service,
        counters,
        delivery,
        identity,
        outliers,
        vmlist,
    )

MEASURE_SECONDS = 1.0
"""How often the speed of running streams is looked at, in seconds."""

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


class _Waiter(msgspec.Struct):
    """A thread that waits for a slot.

    Attributes
    ----------
    slot, error
        Exactly one of them is set before ``ready``.
    """

    ready: threading.Event = msgspec.field(default_factory=threading.Event)
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
        "vmlist",
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
        self._vmlist: vmlist.VMListService = box.find("vmlist")
        self._random = random.Random(self._identity.incarnation)
        self._lock = threading.Lock()
        self._queues = queueing.Queues()
        self._admission = admission.Admission(self._queues)
        self._estimator = sharing.CostEstimator()
        self.cache = routing.CacheMap()
        self._routing = routing.AffinityRouting(self.cache)
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._held = slots.HeldSlots()
        self._bounces: dict[tuple[sharing.Key, ids.ServerId], int] = {}
        self._demand = demand.DemandReporter(
            self._identity.router,
            self._lock,
            self._queues,
            self._assignment,
            self._delivery.send,
            self._metrics.set_backlog,
        )
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="dispatch", daemon=True)

    def start(self) -> None:
        """Begin to take grants."""
        self._delivery.subscribe(messages.Grant, self._take_grant)
        self._assignment.subscribe(self._move)
        self._demand.start()
        self._thread.start()

    def stop(self) -> None:
        """Refuse whoever still waits; it is certain that nothing was sent for them."""
        self._stopped = True
        self._demand.stop()
        self._thread.join()
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
            key = (entry.work.service, entry.work.account)
            self._demand.plan(key, time.monotonic())

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
            self._demand.arrive((work.service, work.account), now)
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
        return work if left else msgspec.structs.replace(work, excluded=frozenset())

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
                self._delivery.send(home, unused)
                self._demand.refuse(key, home, now)
                return
            self._bounces.pop((key, grant.server), None)
            waiter = self._waiters.pop(entry.work.request)
            slot = slots.HeldSlot(grant, entry, now, self)
            self._held.add(slot)
            slot.expected_blocks = self.cache.record_sent(
                grant.server, entry.work.prefix, now
            )
            self._demand.use(key, home, now)
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
            self._queues.clear_exclusion(*key, server)
            del self._bounces[key, server]

    def _fit(self, server: ids.ServerId, work: dispatch.Work) -> float:
        return self._routing.affinity(server, work)

    def give(self, slot: slots.HeldSlot, units: float) -> None:
        """Count service given through a slot, in cost units."""
        work = slot.entry.work
        self._counters.give(work.service, work.account, units)

    def note_cached(self, slot: slots.HeldSlot, blocks: int) -> None:
        """Learn how many blocks of a prompt a server had cached."""
        with self._lock:
            self.cache.record_cached(slot.server, slot.expected_blocks, blocks)

    def end(self, slot: slots.HeldSlot, ending: dispatch.Ending, cost: float) -> None:
        """Take a slot back and tell its home."""
        work = slot.entry.work
        with self._lock:
            self._held.remove(slot)
            answered = ending is dispatch.Ending.ANSWERED
            self._queues.finish(work.request, time.monotonic(), answered)
            if answered:
                self._estimator.record_cost(work.service, work.account, cost)
        self._outliers.record(slot, ending, cost)
        if ending is dispatch.Ending.LEAVING:
            self._vmlist.mark_leaving(slot.server)
        home = self._assignment.find_home(slot.server)
        if home is not None:
            ended = messages.GrantEnded(
                slot.grant.grant, slot.server, work.account, cost
            )
            self._delivery.send(home, ended)

    def _move(self, moves: tuple[homes.HomeChange, ...]) -> None:
        """Tell the new homes which slots are in use here, and what waits."""
        now = time.monotonic()
        with self._lock:
            for move in moves:
                self._tell_held(move.server)
            self._demand.forget({move.new for move in moves if move.new}, now)

    def _tell_held(self, server: ids.ServerId) -> None:
        home = self._assignment.find_home(server)
        if home is not None:
            grants = self._held.list_grants(server)
            self._delivery.send(home, messages.SlotsHeld(server, grants))

    def _run(self) -> None:
        held_at = measured_at = time.monotonic()
        while not self._stopped:
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            if now - measured_at >= MEASURE_SECONDS:
                measured_at = now
                with self._lock:
                    sums = self._held.measure(now)
                self._outliers.observe(sums)
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
            self._demand.plan((work.service, work.account), now)


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
