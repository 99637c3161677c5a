"""The kernel service ``places``: requests slots at servers from the homes of pools.

The thread of each request waits here for its slot. If the home of its pool dies or goes
silent, waiting requests are sent to the next home, which is also told of the runs in
progress. A pool is thus without decisions for at most the timeout of its home.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import catalog, errors, events, ids, kernel, states
from celeryspan.decisions import (
    announcements as announced,
    rejections,
    shards,
    streamversions,
)
from celeryspan.gateway import refusals
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import announcements, migrations, poolmap
    from celeryspan.services import delivery, identity

TICK_SECONDS = 0.05

HOME_TIMEOUT_SECONDS = 0.6
"""Time without a message about a waiting request after which its home is excluded:
three times the interval of the home's ``QueueAlive`` messages."""

SWITCH_INTERVAL_SECONDS = 0.1
"""How long a request waits in one pool before another one is considered: most requests
get a slot within this time."""

SWITCHES_MAX = 2
"""How often a request may switch to a better pool, since each switch costs it time."""

VERSION_GONE = streamversions.Verdict.VERSION_GONE

OTHER_POOL_REASONS = (
    announced.SERVERS_RESTING,
    rejections.SERVERS_REJECTING,
    VERSION_GONE.value,
)
"""Reasons of refusals by one pool that may not hold for another."""

REFUSAL_GRACE_SECONDS = 0.3
"""How long after its timeout a request is refused here if no home has refused it."""


class Slot(msgspec.Struct):
    """A slot at a server, granted to one request.

    Attributes
    ----------
    home : RouterId
        The router to notify when the run ends.
    granted_at : float
        Time at which the grant arrived.
    source : ServerId or None
        The server to copy cached parts of the prompt from.
    origin, version : RequestId, SoftwareVersion
        The request that brought the first event of the stream, and the version of the
        server that began it; empty before the first event.
    migration : Migration or None
        The migration that is in progress.
    latest_migration : Migration or None
        The last one that was begun, whatever became of it.
    """

    ask: messages.SlotRequest
    pool: ids.PoolId
    server: ids.ServerId
    home: ids.RouterId
    end_at: float
    granted_at: float
    is_begun: bool = False
    source: ids.ServerId | None = None
    origin: ids.RequestId = ids.RequestId("")
    version: ids.SoftwareVersion = catalog.NO_VERSION
    migration: migrations.Migration | None = None
    latest_migration: migrations.Migration | None = None


class _Waiter(msgspec.Struct):
    ask: messages.SlotRequest
    home: ids.RouterId
    requested_at: float
    last_heard_at: float
    switches: int = 0
    ready: threading.Event = msgspec.field(default_factory=threading.Event)
    slot: Slot | None = None
    error: errors.NotRun | None = None


@kernel.register("places", needs=("announcements", "delivery", "identity", "poolmap"))
class SlotClient:
    """Waits for slots and reports the progress of runs to the homes of their pools."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._identity: identity.IdentityService = container.find("identity")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._lock = threading.Lock()
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._slots: dict[ids.RequestId, Slot] = {}
        self._stopped = threading.Event()
        self._has_waiters = threading.Event()
        self._thread = threading.Thread(target=self._run, name="places", daemon=True)

    def start(self) -> None:
        """Subscribe to the messages of pool homes and start the timeout thread."""
        self._delivery.subscribe(messages.SlotOffer, self._handle_offer)
        self._delivery.subscribe(messages.SlotRefusal, self._handle_refusal)
        self._delivery.subscribe(messages.QueueAlive, self._handle_queue_alive)
        self._announcements.subscribe_rests(self._handle_rest)
        self._map.subscribe(lambda: self._update_homes(time.monotonic()))
        self._thread.start()

    def stop(self) -> None:
        """Refuse all waiting requests."""
        self._stopped.set()
        self._has_waiters.set()
        self._thread.join()
        with self._lock:
            waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            self._refuse(waiter, make_refusal("router-stopping", 0.1))

    def report(self) -> dict[str, object]:
        """Return the number of waiting requests and of slots in use, for operators."""
        return {"waiting": len(self._waiters), "held": len(self._slots)}

    def acquire(self, service: ids.ServiceId, ask: messages.SlotRequest) -> Slot:
        """Choose a pool of a service and wait for a slot at one of its servers.

        Raises
        ------
        errors.NotRun
            If no slot is free in time, or the caller has left.
        """
        now = time.monotonic()
        pool = self._map.choose_pool(service, ask, now)
        ask = msgspec.structs.replace(ask, pool=pool)
        waiter = _Waiter(ask, self._map.find_home(pool), now, now)
        with self._lock:
            self._waiters[ask.request] = waiter
            self._has_waiters.set()
        self._delivery.send(waiter.home, ask)
        waiter.ready.wait()
        if waiter.error is not None:
            raise waiter.error
        assert waiter.slot is not None
        return waiter.slot

    def cancel(self, request: ids.RequestId) -> None:
        """Stop waiting because the caller has left."""
        self.refuse(request, make_refusal("caller-left", 0.0))

    def refuse(self, request: ids.RequestId, error: errors.NotRun) -> None:
        """Fail a request with an error if it is waiting."""
        with self._lock:
            waiter = self._waiters.pop(request, None)
        if waiter is not None:
            cancel = messages.SlotCancel(request, waiter.ask.pool)
            self._delivery.send(waiter.home, cancel)
            self._refuse(waiter, error)

    def begin(
        self,
        slot: Slot,
        origin: ids.RequestId,
        version: ids.SoftwareVersion,
        load: messages.LoadReport | None = None,
    ) -> None:
        """Report the first event of a run, and at which version its stream began."""
        slot.is_begun = True
        slot.origin, slot.version = origin, version
        begun = messages.RunBegun(
            slot.ask.request, slot.pool, slot.server, origin, version, load
        )
        self._delivery.send(slot.home, begun)

    def find_slot(self, request: ids.RequestId) -> Slot | None:
        """Return the slot that a request uses, or None."""
        return self._slots.get(request)

    def settle_migration(
        self, slot: Slot, target: ids.ServerId, *, is_moved: bool
    ) -> None:
        """Report whether a run has migrated to its target server."""
        moved = messages.RunMoved(
            slot.ask.request, slot.pool, slot.server, target, is_moved
        )
        if is_moved:
            slot.server = target
        self._delivery.send(slot.home, moved)

    def end(
        self,
        slot: Slot,
        ending: states.RunEnding,
        pause: float = 0.0,
        load: messages.LoadReport | None = None,
    ) -> None:
        """Release a slot.

        Parameters
        ----------
        pause : float
            Longest time between two events, in seconds.
        load : LoadReport, optional
            The load that the server has reported since the run began.
        """
        ask = slot.ask
        with self._lock:
            self._slots.pop(ask.request, None)
        ended = messages.RunEnded(
            ask.request, slot.pool, slot.server, ending, pause, load
        )
        self._delivery.send(slot.home, ended)

    def report_rest(
        self, pool: ids.PoolId, home: ids.RouterId, rest: announced.Rest
    ) -> None:
        """Tell the home of a pool that a server rests for this router."""
        message = announced.make_rest_message(rest, pool, time.monotonic())
        self._delivery.send(home, message)

    def _handle_rest(self, entry: catalog.ServerEntry, rest: announced.Rest) -> None:
        pool = self._map.find_server_pool(entry.service, entry.server)
        if pool is not None:
            self.report_rest(pool, self._map.find_home(pool), rest)

    def _handle_offer(
        self, home: ids.RouterId, _: ids.Incarnation, offer: messages.SlotOffer
    ) -> None:
        """Hand a slot to the waiting request, or return it if none is waiting."""
        now = time.monotonic()
        self._map.record_pressure(offer.pool, offer.pressure, now)
        with self._lock:
            waiter = self._waiters.pop(offer.request, None)
            if waiter is not None:
                end_at = waiter.requested_at + waiter.ask.timeout
                slot = Slot(
                    waiter.ask, offer.pool, offer.server, home, end_at, granted_at=now
                )
                slot.source = offer.source or None
                self._slots[offer.request] = waiter.slot = slot
        if waiter is not None:
            waiter.ready.set()
            return
        held = self._slots.get(offer.request)
        if held is not None and held.home == home and held.server == offer.server:
            return
        ended = messages.RunEnded(
            offer.request, offer.pool, offer.server, states.RunEnding.UNUSED
        )
        self._delivery.send(home, ended)

    def _handle_refusal(
        self, home: ids.RouterId, _: ids.Incarnation, refusal: messages.SlotRefusal
    ) -> None:
        self._map.record_pressure(refusal.pool, refusal.pressure, time.monotonic())
        with self._lock:
            waiter = self._waiters.get(refusal.request)
            if waiter is None or waiter.home != home or waiter.ask.pool != refusal.pool:
                return
            outgoing = []
            if refusal.reason in OTHER_POOL_REASONS:
                outgoing = self._leave_pool(waiter)
            if not outgoing:
                del self._waiters[refusal.request]
        if not outgoing:
            self._refuse(waiter, _make_refusal_error(refusal))
        for router, message in outgoing:
            self._delivery.send(router, message)

    def _leave_pool(
        self, waiter: _Waiter
    ) -> list[tuple[ids.RouterId, messages.Message]]:
        """Move a request to a pool with a server for it, if there is one.

        Returns the messages to the homes; the caller holds the lock.
        """
        if waiter.switches >= SWITCHES_MAX:
            return []
        now = time.monotonic()
        service, _, _ = shards.parse_pool(waiter.ask.pool)
        pool = self._map.choose_pool(service, waiter.ask, now)
        waiter.switches += 1
        return self._move_waiter(waiter, pool, now)

    def _handle_queue_alive(
        self, home: ids.RouterId, _: ids.Incarnation, alive: messages.QueueAlive
    ) -> None:
        now = time.monotonic()
        self._map.record_pressure(alive.pool, alive.pressure, now)
        with self._lock:
            for waiter in self._waiters.values():
                if waiter.home == home and waiter.ask.pool == alive.pool:
                    waiter.last_heard_at = now

    def _refuse(self, waiter: _Waiter, error: errors.NotRun) -> None:
        waiter.error = error
        waiter.ready.set()

    def _update_homes(self, now: float) -> None:
        """Send waiting requests and runs in progress to the current homes."""
        outgoing: list[tuple[ids.RouterId, messages.Message]] = []
        with self._lock:
            for waiter in self._waiters.values():
                pool = waiter.ask.pool
                if not self._map.is_current(pool):
                    service, _, _ = shards.parse_pool(pool)
                    pool = self._map.choose_pool(service, waiter.ask, now)
                outgoing += self._move_waiter(waiter, pool, now)
            for slot in self._slots.values():
                outgoing += self._move_slot(slot, now)
        for home, message in outgoing:
            self._delivery.send(home, message)

    def _move_waiter(
        self, waiter: _Waiter, pool: ids.PoolId, now: float
    ) -> list[tuple[ids.RouterId, messages.Message]]:
        """Assign a waiting request to a pool; return the messages to its homes."""
        home = self._map.find_home(pool)
        if home == waiter.home and pool == waiter.ask.pool:
            return []
        cancel = messages.SlotCancel(waiter.ask.request, waiter.ask.pool)
        to_old_home = (waiter.home, cancel)
        waiter.ask = msgspec.structs.replace(waiter.ask, pool=pool)
        waiter.home, waiter.last_heard_at = home, now
        waited = waiter.ask.waited + now - waiter.requested_at
        return [to_old_home, (home, msgspec.structs.replace(waiter.ask, waited=waited))]

    def _move_slot(
        self, slot: Slot, now: float
    ) -> list[tuple[ids.RouterId, messages.Message]]:
        """Assign a run in progress to its current home; return the messages."""
        service, _, _ = shards.parse_pool(slot.pool)
        pool = self._map.find_server_pool(service, slot.server)
        if pool is None:
            return []  # The server has left; the old home drops the run at its end.
        home = self._map.find_home(pool)
        if home == slot.home and pool == slot.pool:
            return []
        ask = slot.ask
        ended = messages.RunEnded(
            ask.request, slot.pool, slot.server, states.RunEnding.UNUSED
        )
        held = messages.RunHeld(
            ask.request,
            pool,
            ask.account,
            slot.server,
            ask.parts,
            ask.prompt_tokens,
            slot.is_begun,
            max(0.0, slot.end_at - now),
            ask.isolation,
            slot.origin,
            slot.version,
        )
        outgoing = [(slot.home, ended), (home, held)]
        slot.home, slot.pool = home, pool
        return outgoing

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._has_waiters.wait()
            self._stopped.wait(TICK_SECONDS)
            try:
                self._tick(time.monotonic())
            except Exception as error:
                # If this thread ended, requests sent to a dead home would wait forever.
                events.log(events.Event.TASK_FAILED, task="places", error=repr(error))

    def _tick(self, now: float) -> None:
        """Refuse overdue requests, exclude silent homes and switch pools."""
        with self._lock:
            if not self._waiters and not self._stopped.is_set():
                self._has_waiters.clear()
            silent = {
                waiter.home
                for waiter in self._waiters.values()
                if now - waiter.last_heard_at > HOME_TIMEOUT_SECONDS
                and waiter.home != self._identity.router
            }
            overdue = [
                waiter
                for waiter in self._waiters.values()
                if now - waiter.requested_at
                > waiter.ask.timeout + REFUSAL_GRACE_SECONDS
            ]
            for waiter in overdue:
                del self._waiters[waiter.ask.request]
        for waiter in overdue:
            self._refuse(waiter, make_refusal("no-place-in-time", 1.0))
        for router in silent:
            self._map.exclude_home(router, now)
        if silent:
            self._update_homes(now)
        self._switch_pools(now)

    def _switch_pools(self, now: float) -> None:
        """Move waiting requests to pools where they would wait less."""
        outgoing: list[tuple[ids.RouterId, messages.Message]] = []
        with self._lock:
            for waiter in self._waiters.values():
                due = waiter.requested_at + SWITCH_INTERVAL_SECONDS * (
                    waiter.switches + 1
                )
                if now < due or waiter.switches >= SWITCHES_MAX:
                    continue
                pool = self._map.find_better_pool(waiter.ask.pool, waiter.ask, now)
                if pool is not None:
                    waiter.switches += 1
                    outgoing += self._move_waiter(waiter, pool, now)
        for home, message in outgoing:
            self._delivery.send(home, message)


def _make_refusal_error(refusal: messages.SlotRefusal) -> errors.NotRun:
    if refusal.reason == VERSION_GONE.value:
        return refusals.make_take_up_error(VERSION_GONE)
    return make_refusal(refusal.reason, refusal.retry_after)


def make_refusal(reason: str, retry_after: float) -> errors.NotRun:
    """Return the error for a request that was not sent to any server."""
    return errors.NotRun(
        "no place at a backend server",
        code=reason,
        status=503,
        retry_after=retry_after,
        step="wait for a place",
    )
