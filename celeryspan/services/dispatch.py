"""The kernel service ``dispatch``: request queues of this router, and held slots."""

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

# Interval at which the speed of running streams is sampled.
SPEED_SAMPLE_SECONDS = 1.0

# Consecutive grants of one server that an account may return because the server has
# failed its requests. A second grant means that the home has no other server to offer.
MAX_UNUSABLE_GRANTS = 2

# Interval at which deadlines are checked.
EXPIRY_CHECK_SECONDS = 0.05

# Interval at which homes are sent the slots in use, to correct a lost GrantEnded.
HELD_REPORT_SECONDS = 5.0

# Memory of a waiting request in addition to its body: stack frames of its thread, queue
# entry and headers.
QUEUE_ENTRY_BYTES = 4096


class _Waiter(msgspec.Struct):
    """The result that a thread waits for: a slot or an error.

    Attributes
    ----------
    slot, error
        Exactly one is set before ``ready``.
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

    def __init__(self, container: kernel.Kernel) -> None:
        self._assignment: assignment.AssignmentService = container.find("assignment")
        self._configuration: configuration_service.ConfigurationService = (
            container.find("configuration")
        )
        self._counters: counters.CountersService = container.find("counters")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._identity: identity.IdentityService = container.find("identity")
        self._outliers: outliers.OutliersService = container.find("outliers")
        self._vmlist: vmlist.VMListService = container.find("vmlist")
        self._random = random.Random(self._identity.incarnation)
        self._lock = threading.Lock()
        self._queues = queueing.Queues()
        self._admission = admission.Admission(self._queues)
        self._estimator = sharing.CostEstimator()
        self.cache = routing.CacheMap()
        self._routing = routing.AffinityRouting(self.cache)
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._held_slots = slots.HeldSlots()
        self._unusable_grants: dict[tuple[sharing.Key, ids.ServerId], int] = {}
        self._demand_sender = demand.DemandSender(
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
        """Start accepting grants."""
        self._delivery.subscribe(messages.Grant, self._handle_grant)
        self._assignment.subscribe(self._handle_home_changes)
        self._demand_sender.start()
        self._thread.start()

    def stop(self) -> None:
        """Refuse all waiting requests; none of them has been sent to a server."""
        self._stopped = True
        self._demand_sender.stop()
        self._thread.join()
        with self._lock:
            waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            waiter.error = make_stopping_error()
            waiter.ready.set()

    def acquire(self, work: dispatch.Work) -> slots.HeldSlot:
        """Wait for a slot.

        Raises
        ------
        errors.NotRun
            If the request is refused or its deadline passes.
        """
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
        """Remove a waiting request whose caller has disconnected."""
        with self._lock:
            entry = self._queues.cancel(request, time.monotonic())
            if entry is None:
                return
            self._refuse(request, make_caller_left_error())
            key = (entry.work.service, entry.work.account)
            self._demand_sender.schedule_report(key, time.monotonic())

    def report(self) -> dict[str, object]:
        """Return waiting requests and slots in use, for the operator."""
        with self._lock:
            waiting = {
                f"{service}/{account}": self._queues.waiting(service, account)
                for service, account in self._queues.backlogged()
            }
            return {"waiting": waiting, "in_use": self._held_slots.count()}

    def _admit(self, work: dispatch.Work, now: float) -> _Waiter:
        waiter = _Waiter()
        work = self._drop_exhausted_exclusions(work)
        with self._lock:
            if self._stopped:
                raise make_stopping_error()
            estimate = self._estimate_cost(work)
            result = self._admission.admit(
                work,
                QUEUE_ENTRY_BYTES + work.size,
                estimate,
                now,
                self._random.random(),
            )
            if isinstance(result, admission.Refused):
                raise result.make_error()
            for refused in result.shed:
                self._refuse(refused.request, refused.make_error())
            self._waiters[work.request] = waiter
            self._demand_sender.record_arrival((work.service, work.account), now)
        return waiter

    def _drop_exhausted_exclusions(self, work: dispatch.Work) -> dispatch.Work:
        """Clear the exclusions of a request that has tried every server.

        Otherwise it would wait until its deadline although servers are free.
        """
        current = self._configuration.current()
        servers = current.servers.items() if current else ()
        remaining = {
            server
            for server, entry in servers
            if entry.service == work.service and server not in work.excluded
        }
        return (
            work if remaining else msgspec.structs.replace(work, excluded=frozenset())
        )

    def _estimate_cost(self, work: dispatch.Work) -> float:
        current = self._configuration.current()
        entry = current.services.get(work.service) if current else None
        typical = entry.cost_hint if entry else 1.0
        return self._estimator.estimate(work.service, work.account, work.hint, typical)

    def _refuse(self, request: ids.RequestId, error: errors.NotRun) -> None:
        waiter = self._waiters.pop(request, None)
        if waiter is not None:
            waiter.error = error
            waiter.ready.set()

    def _handle_grant(
        self, home: ids.RouterId, _: ids.Incarnation, grant: messages.Grant
    ) -> None:
        """Bind a grant to the waiting request with the highest affinity for its server.

        A grant that no request can use is returned at once, so that its slot is idle
        for at most one round trip.
        """
        now = time.monotonic()
        key = (grant.service, grant.account)
        with self._lock:
            entry = self._queues.pick(
                *key,
                grant.server,
                now,
                lambda work: self._find_affinity(grant.server, work),
            )
            if entry is None:
                self._count_unusable_grant(key, grant.server)
                unused = messages.GrantEnded(
                    grant.grant, grant.server, grant.account, 0.0
                )
                self._delivery.send(home, unused)
                self._demand_sender.record_unused_grant(key, home, now)
                return
            self._unusable_grants.pop((key, grant.server), None)
            waiter = self._waiters.pop(entry.work.request)
            slot = slots.HeldSlot(grant, entry, now, self)
            self._held_slots.add(slot)
            slot.expected_blocks = self.cache.record_sent(
                grant.server, entry.work.prefix, now
            )
            self._demand_sender.record_used_grant(key, home, now)
        used = messages.GrantUsed(
            grant.grant, grant.server, grant.account, entry.cost_estimate
        )
        self._delivery.send(home, used)
        waiter.slot = slot
        waiter.ready.set()

    def _count_unusable_grant(self, key: sharing.Key, server: ids.ServerId) -> None:
        """Count a grant that no waiting request may use.

        At ``MAX_UNUSABLE_GRANTS`` the account's requests may use the server again.
        """
        if not self._queues.waiting(*key):
            return
        count = self._unusable_grants.get((key, server), 0) + 1
        self._unusable_grants[key, server] = count
        if count >= MAX_UNUSABLE_GRANTS:
            self._queues.clear_exclusion(*key, server)
            del self._unusable_grants[key, server]

    def _find_affinity(self, server: ids.ServerId, work: dispatch.Work) -> float:
        return self._routing.affinity(server, work)

    def record_service(self, slot: slots.HeldSlot, units: float) -> None:
        """Record service delivered through a slot, in cost units."""
        work = slot.entry.work
        self._counters.record_service(work.service, work.account, units)

    def record_cached(self, slot: slots.HeldSlot, blocks: int) -> None:
        """Record how many blocks of a prompt a server had cached."""
        with self._lock:
            self.cache.record_cached(slot.server, slot.expected_blocks, blocks)

    def release(
        self, slot: slots.HeldSlot, ending: dispatch.Ending, cost: float
    ) -> None:
        """Release a slot and notify its home."""
        work = slot.entry.work
        with self._lock:
            self._held_slots.remove(slot)
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

    def _handle_home_changes(self, changes: tuple[homes.HomeChange, ...]) -> None:
        """Send the new homes the slots in use here and the waiting demand."""
        now = time.monotonic()
        with self._lock:
            for change in changes:
                self._report_held_slots(change.server)
            self._demand_sender.resend_all(
                {change.new for change in changes if change.new}, now
            )

    def _report_held_slots(self, server: ids.ServerId) -> None:
        home = self._assignment.find_home(server)
        if home is not None:
            grants = self._held_slots.list_grants(server)
            self._delivery.send(home, messages.SlotsHeld(server, grants))

    def _run(self) -> None:
        held_reported_at = measured_at = time.monotonic()
        while not self._stopped:
            time.sleep(EXPIRY_CHECK_SECONDS)
            now = time.monotonic()
            if now - measured_at >= SPEED_SAMPLE_SECONDS:
                measured_at = now
                with self._lock:
                    totals = self._held_slots.measure(now)
                self._outliers.record_running(totals)
            with self._lock:
                self._expire(now)
                if now - held_reported_at >= HELD_REPORT_SECONDS:
                    held_reported_at = now
                    for server in self._held_slots.pop_servers_to_report():
                        self._report_held_slots(server)

    def _expire(self, now: float) -> None:
        """Refuse requests whose deadline has passed, with a time to retry."""
        for entry in self._queues.expire(now):
            work = entry.work
            refused = self._admission.refuse(
                work, admission.Reason.EXPIRED, now, self._random.random()
            )
            self._refuse(work.request, refused.make_error())
            self._demand_sender.schedule_report((work.service, work.account), now)


def make_stopping_error() -> errors.NotRun:
    """Return the error for requests that a stopping router refuses."""
    return errors.NotRun(
        "this router is stopping; fetch the addresses and retry on another router",
        code="router-stopping",
        status=503,
        retry_after=1.0,
        step="wait for a slot",
    )


def make_caller_left_error() -> errors.NotRun:
    """Log that the caller has disconnected and return the error."""
    events.log(events.Event.CALLER_LEFT)
    return errors.NotRun(
        "the caller has disconnected",
        code="caller-left",
        status=499,
        step="wait for a slot",
    )
