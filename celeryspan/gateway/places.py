"""The kernel service ``places``: asks the homes of pools for places at servers.

One thread a request waits here. If the home of its pool dies or says nothing, the
request is asked of the next one, and runs in progress are told to it, so that a pool
is without a decision for no longer than its home's silence takes to show.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, events, ids, kernel, states
from celeryspan.decisions import shards
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import migrations, poolmap
    from celeryspan.services import delivery, identity

TICK_SECONDS = 0.05

SILENT_SECONDS = 0.6
"""A home that has said nothing of a waiting request for this long is passed over:
three of its signs of life."""

MOVE_SECONDS = 0.1
"""How long a request waits in one pool before another one is looked for: the time in
which most requests get their place."""

MOVES_MAX = 2
"""Pools that a request may leave for a better one: its time is spent on its way."""

LATE_SECONDS = 0.3
"""How long after its time a request is refused here if no home has done so."""


class Place(msgspec.Struct):
    """Leave to send one request to one server.

    Attributes
    ----------
    home : RouterId
        Who must hear of its end.
    source : ServerId
        A server from which kept parts of the prompt are copied, if there is one.
    """

    ask: messages.SlotRequest
    pool: ids.PoolId
    server: ids.ServerId
    home: ids.RouterId
    end_at: float
    is_begun: bool = False
    source: ids.ServerId | None = None
    migration: migrations.Migration | None = None


class _Waiter(msgspec.Struct):
    ask: messages.SlotRequest
    home: ids.RouterId
    asked_at: float
    heard_at: float
    moves: int = 0
    ready: threading.Event = msgspec.field(default_factory=threading.Event)
    place: Place | None = None
    error: errors.NotRun | None = None


@kernel.register("places", needs=("delivery", "identity", "poolmap"))
class Places:
    """Waits for places, and tells their homes what becomes of them."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._identity: identity.IdentityService = box.find("identity")
        self._map: poolmap.PoolMap = box.find("poolmap")
        self._lock = threading.Lock()
        self._waiters: dict[ids.RequestId, _Waiter] = {}
        self._held: dict[ids.RequestId, Place] = {}
        self._stopped = threading.Event()
        self._some = threading.Event()
        self._thread = threading.Thread(target=self._run, name="places", daemon=True)

    def start(self) -> None:
        """Begin to take offers."""
        self._delivery.subscribe(messages.SlotOffer, self._take_offer)
        self._delivery.subscribe(messages.SlotRefusal, self._take_refusal)
        self._delivery.subscribe(messages.QueueAlive, self._take_alive)
        self._map.subscribe(lambda: self._move(time.monotonic()))
        self._thread.start()

    def stop(self) -> None:
        """Refuse whoever still waits."""
        self._stopped.set()
        self._some.set()
        self._thread.join()
        with self._lock:
            waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            self._refuse(waiter, make_refusal("router-stopping", 0.1))

    def report(self) -> dict[str, object]:
        """Return how much waits and runs, for the operator."""
        return {"waiting": len(self._waiters), "held": len(self._held)}

    def acquire(self, service: ids.ServiceId, ask: messages.SlotRequest) -> Place:
        """Wait for a place at a server of a service; the pool is found here.

        Raises
        ------
        errors.NotRun
            If there is none in time, or the caller has left.
        """
        now = time.monotonic()
        pool = self._map.choose_pool(service, ask, now)
        ask = msgspec.structs.replace(ask, pool=pool)
        waiter = _Waiter(ask, self._map.find_home(pool), now, now)
        with self._lock:
            self._waiters[ask.request] = waiter
            self._some.set()
        self._delivery.send(waiter.home, ask)
        waiter.ready.wait()
        if waiter.error is not None:
            raise waiter.error
        assert waiter.place is not None
        return waiter.place

    def cancel(self, request: ids.RequestId) -> None:
        """Give up waiting: the caller has left."""
        self.refuse(request, make_refusal("caller-left", 0.0))

    def refuse(self, request: ids.RequestId, error: errors.NotRun) -> None:
        """End the waiting of a request with an error, if it waits."""
        with self._lock:
            waiter = self._waiters.pop(request, None)
        if waiter is not None:
            cancel = messages.SlotCancel(request, waiter.ask.pool)
            self._delivery.send(waiter.home, cancel)
            self._refuse(waiter, error)

    def begin(self, place: Place) -> None:
        """Say that the first event has come."""
        place.is_begun = True
        ask = place.ask
        begun = messages.RunBegun(ask.request, place.pool, place.server)
        self._delivery.send(place.home, begun)

    def find_held(self, request: ids.RequestId) -> Place | None:
        """Return the place that a request uses, if it has one."""
        return self._held.get(request)

    def settle_migration(
        self, place: Place, target: ids.ServerId, *, is_moved: bool
    ) -> None:
        """Say where a run that was to move is."""
        moved = messages.RunMoved(
            place.ask.request, place.pool, place.server, target, is_moved
        )
        if is_moved:
            place.server = target
        self._delivery.send(place.home, moved)

    def end(self, place: Place, ending: states.RunEnding, pause: float = 0.0) -> None:
        """Give a place back, and tell the longest pause of its stream."""
        ask = place.ask
        with self._lock:
            self._held.pop(ask.request, None)
        ended = messages.RunEnded(ask.request, place.pool, place.server, ending, pause)
        self._delivery.send(place.home, ended)

    def _take_offer(
        self, home: ids.RouterId, _: ids.Incarnation, offer: messages.SlotOffer
    ) -> None:
        """Bind an offer to its request; one that nobody waits for goes back."""
        self._map.note_pressure(offer.pool, offer.pressure, time.monotonic())
        with self._lock:
            waiter = self._waiters.pop(offer.request, None)
            if waiter is not None:
                end_at = waiter.asked_at + waiter.ask.timeout
                place = Place(waiter.ask, offer.pool, offer.server, home, end_at)
                place.source = offer.source or None
                self._held[offer.request] = waiter.place = place
        if waiter is not None:
            waiter.ready.set()
            return
        held = self._held.get(offer.request)
        if held is not None and held.home == home and held.server == offer.server:
            return
        ended = messages.RunEnded(
            offer.request, offer.pool, offer.server, states.RunEnding.UNUSED
        )
        self._delivery.send(home, ended)

    def _take_refusal(
        self, home: ids.RouterId, _: ids.Incarnation, refusal: messages.SlotRefusal
    ) -> None:
        self._map.note_pressure(refusal.pool, refusal.pressure, time.monotonic())
        with self._lock:
            waiter = self._waiters.get(refusal.request)
            if waiter is None or waiter.home != home or waiter.ask.pool != refusal.pool:
                return
            del self._waiters[refusal.request]
        self._refuse(waiter, make_refusal(refusal.reason, refusal.retry_after))

    def _take_alive(
        self, home: ids.RouterId, _: ids.Incarnation, alive: messages.QueueAlive
    ) -> None:
        now = time.monotonic()
        self._map.note_pressure(alive.pool, alive.pressure, now)
        with self._lock:
            for waiter in self._waiters.values():
                if waiter.home == home and waiter.ask.pool == alive.pool:
                    waiter.heard_at = now

    def _refuse(self, waiter: _Waiter, error: errors.NotRun) -> None:
        waiter.error = error
        waiter.ready.set()

    def _move(self, now: float) -> None:
        """Ask the present homes for what waits, and tell them what runs."""
        told: list[tuple[ids.RouterId, messages.Message]] = []
        with self._lock:
            for waiter in self._waiters.values():
                pool = waiter.ask.pool
                if not self._map.is_current(pool):
                    service, _, _ = shards.parse_pool(pool)
                    pool = self._map.choose_pool(service, waiter.ask, now)
                told += self._move_waiter(waiter, pool, now)
            for place in self._held.values():
                told += self._move_place(place, now)
        for home, message in told:
            self._delivery.send(home, message)

    def _move_waiter(
        self, waiter: _Waiter, pool: ids.PoolId, now: float
    ) -> list[tuple[ids.RouterId, messages.Message]]:
        home = self._map.find_home(pool)
        if home == waiter.home and pool == waiter.ask.pool:
            return []
        cancel = messages.SlotCancel(waiter.ask.request, waiter.ask.pool)
        before = (waiter.home, cancel)
        waiter.ask = msgspec.structs.replace(waiter.ask, pool=pool)
        waiter.home, waiter.heard_at = home, now
        waited = waiter.ask.waited + now - waiter.asked_at
        return [before, (home, msgspec.structs.replace(waiter.ask, waited=waited))]

    def _move_place(
        self, place: Place, now: float
    ) -> list[tuple[ids.RouterId, messages.Message]]:
        service, _, _ = shards.parse_pool(place.pool)
        pool = self._map.find_pool_of(service, place.server)
        if pool is None:
            return []  # It has left: whoever placed the run forgets it at its end.
        home = self._map.find_home(pool)
        if home == place.home and pool == place.pool:
            return []
        ask = place.ask
        before = messages.RunEnded(
            ask.request, place.pool, place.server, states.RunEnding.UNUSED
        )
        held = messages.RunHeld(
            ask.request,
            pool,
            ask.account,
            place.server,
            ask.parts,
            ask.prompt_tokens,
            place.is_begun,
            max(0.0, place.end_at - now),
            ask.isolation,
        )
        told = [(place.home, before), (home, held)]
        place.home, place.pool = home, pool
        return told

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._some.wait()
            self._stopped.wait(TICK_SECONDS)
            try:
                self._tick(time.monotonic())
            except Exception as error:
                # Without this task requests of a dead home would wait for ever.
                events.log(events.Event.TASK_FAILED, task="places", error=repr(error))

    def _tick(self, now: float) -> None:
        with self._lock:
            if not self._waiters and not self._stopped.is_set():
                self._some.clear()
            silent = {
                waiter.home
                for waiter in self._waiters.values()
                if now - waiter.heard_at > SILENT_SECONDS
                and waiter.home != self._identity.router
            }
            late = [
                waiter
                for waiter in self._waiters.values()
                if now - waiter.asked_at > waiter.ask.timeout + LATE_SECONDS
            ]
            for waiter in late:
                del self._waiters[waiter.ask.request]
        for waiter in late:
            self._refuse(waiter, make_refusal("no-place-in-time", 1.0))
        for router in silent:
            self._map.pass_over(router, now)
        if silent:
            self._move(now)
        self._move_to_better(now)

    def _move_to_better(self, now: float) -> None:
        """Let requests that wait go to pools in which they would wait less."""
        told: list[tuple[ids.RouterId, messages.Message]] = []
        with self._lock:
            for waiter in self._waiters.values():
                due = waiter.asked_at + MOVE_SECONDS * (waiter.moves + 1)
                if now < due or waiter.moves >= MOVES_MAX:
                    continue
                pool = self._map.find_better(waiter.ask.pool, waiter.ask, now)
                if pool is not None:
                    waiter.moves += 1
                    told += self._move_waiter(waiter, pool, now)
        for home, message in told:
            self._delivery.send(home, message)


def make_refusal(reason: str, retry_after: float) -> errors.NotRun:
    """Return the refusal of a request that no server has got."""
    return errors.NotRun(
        "no place at a backend server",
        code=reason,
        status=503,
        retry_after=retry_after,
        step="wait for a place",
    )
