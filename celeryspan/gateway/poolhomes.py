"""The kernel service ``poolhomes``: ledgers of the pools kept by this router."""

from __future__ import annotations

import functools
import random
import threading
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from celeryspan import catalog, events, ids, kernel
from celeryspan.decisions import poolqueue, pools, shards
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, keptparts, poolmap, serverlists
    from celeryspan.services import delivery, identity, membership

TICK_SECONDS = 0.005
"""How often waiting requests are looked at again: engines read on meanwhile."""

REST_SECONDS = 0.002
"""Between two looks, however much comes: bounds what deciding takes of a core."""

IDLE_SECONDS = 0.5
"""The same while nothing waits: only lost messages are to be cleaned up."""

ALIVE_SECONDS = 0.2
"""How often routers with waiting requests hear that these are still held."""

SHARES_SECONDS = 0.25
"""How often homes of one service tell each other what accounts have begun: with eight
shards each knows the total after 0.75 s, while shares count for six seconds."""

BACKLOGS_SECONDS = 1.0
BACKLOGS_MAX = 8
"""How often, and of how many accounts, a home logs what waits in a pool."""

UNUSED_SECONDS = 10.0
"""A pool without requests for this long is forgotten: the service has another number
of pools now, or this router is no longer its home."""


@kernel.register(
    "poolhomes",
    needs=(
        "catalogues",
        "delivery",
        "identity",
        "keptparts",
        "membership",
        "poolmap",
        "servers",
    ),
)
class PoolHomes:
    """Decides for all routers who gets a place in the pools kept here.

    Whoever asks is served: routers may disagree for a moment about who is home, and a
    request that nobody decides waits for nothing.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = box.find("catalogues")
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._identity: identity.IdentityService = box.find("identity")
        self._kept: keptparts.KeptParts = box.find("keptparts")
        self._membership: membership.MembershipService = box.find("membership")
        self._map: poolmap.PoolMap = box.find("poolmap")
        self._servers: serverlists.ServersService = box.find("servers")
        self._random = random.Random(self._identity.incarnation)
        self._lock = threading.Lock()
        self._pools: dict[ids.PoolId, pools.Pool] = {}
        self._used_at: dict[ids.PoolId, float] = {}
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._told_at = 0.0
        self._shares_at = 0.0
        self._logged_at = 0.0
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="poolhomes", daemon=True)

    def start(self) -> None:
        """Begin to decide."""
        self._delivery.subscribe(messages.SlotRequest, self._take_request)
        self._delivery.subscribe(messages.SlotCancel, self._take_cancel)
        self._delivery.subscribe(messages.RunHeld, self._take_held)
        self._delivery.subscribe(messages.RunBegun, self._take_begun)
        self._delivery.subscribe(messages.RunEnded, self._take_ended)
        self._delivery.subscribe(messages.RunMoved, self._take_moved)
        self._delivery.subscribe(messages.PoolShares, self._take_shares)
        self._map.subscribe(self._set_servers)
        self._catalogues.subscribe(lambda _: self._set_servers())
        self._membership.subscribe(self._follow_members)
        self._thread.start()

    def stop(self) -> None:
        """Stop deciding; the routers ask the next home."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return what waits and runs in each pool kept here."""
        with self._lock:
            return {
                name: {"waiting": pool.count_waiting(), "runs": pool.count_runs()}
                for name, pool in self._pools.items()
            }

    def _take_request(
        self,
        router: ids.RouterId,
        incarnation: ids.Incarnation,
        ask: messages.SlotRequest,
    ) -> None:
        now = time.monotonic()
        with self._lock:
            self._note_incarnation(router, incarnation)
            answers = self._find_pool(ask.pool).ask(router, ask, now)
        self._send_answers(answers)
        self._changed.set()

    def _take_cancel(
        self, _: ids.RouterId, __: ids.Incarnation, cancel: messages.SlotCancel
    ) -> None:
        with self._lock:
            self._find_pool(cancel.pool).cancel(cancel.request)

    def _take_held(
        self, router: ids.RouterId, incarnation: ids.Incarnation, run: messages.RunHeld
    ) -> None:
        with self._lock:
            self._note_incarnation(router, incarnation)
            self._find_pool(run.pool).restore_run(router, run, time.monotonic())

    def _take_moved(
        self, _: ids.RouterId, __: ids.Incarnation, moved: messages.RunMoved
    ) -> None:
        with self._lock:
            self._find_pool(moved.pool).settle_migration(moved, time.monotonic())
        self._changed.set()

    def _take_begun(
        self, router: ids.RouterId, _: ids.Incarnation, begun: messages.RunBegun
    ) -> None:
        with self._lock:
            pool = self._find_pool(begun.pool)
            target = pool.begin(begun.request, begun.server, time.monotonic())
        if target is not None:
            move = messages.RunMove(begun.request, begun.pool, begun.server, target)
            self._delivery.send(router, move)
        self._changed.set()

    def _take_ended(
        self, _: ids.RouterId, __: ids.Incarnation, ended: messages.RunEnded
    ) -> None:
        with self._lock:
            pool = self._find_pool(ended.pool)
            now = time.monotonic()
            pool.end(ended.request, ended.server, ended.ending, now, ended.pause)
        self._changed.set()

    def _take_shares(
        self, _: ids.RouterId, __: ids.Incarnation, told: messages.PoolShares
    ) -> None:
        with self._lock:
            pool = self._pools.get(told.pool)
            if pool is not None:
                pool.receive_shares(told, time.monotonic())

    def _find_pool(self, name: ids.PoolId) -> pools.Pool:
        """Return a pool that is asked of; the caller holds the lock."""
        self._used_at[name] = time.monotonic()
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pools.Pool(name, self._random)
            self._set_pool_servers(pool)
            events.log(events.Event.HOME_TAKEN, pool=name)
        return pool

    def _set_servers(self) -> None:
        with self._lock:
            for pool in self._pools.values():
                self._set_pool_servers(pool)
        self._changed.set()

    def _set_pool_servers(self, pool: pools.Pool) -> None:
        service_id, _, _ = shards.parse_pool(pool.name)
        current = self._catalogues.current()
        service = current.services.get(service_id) if current else None
        mine = self._map.list_servers(pool.name, self._servers.usable())
        pool.set_servers(mine, service.engine if service else None)
        for entry in pool.pop_unqueried():
            self._kept.query(entry, functools.partial(self._take_kept, pool.name))

    def _take_kept(
        self,
        name: ids.PoolId,
        asked: catalog.ServerEntry,
        parts: tuple[messages.PromptPart, ...],
    ) -> None:
        with self._lock:
            pool = self._pools.get(name)
            if pool is not None:
                pool.add_cached_parts(asked, parts, time.monotonic())

    def _drop_unused(self, now: float) -> None:
        """Forget pools that nobody asks of any more; the caller holds the lock."""
        for name, pool in list(self._pools.items()):
            is_idle = not pool.count_waiting() and not pool.count_runs()
            if is_idle and now - self._used_at[name] > UNUSED_SECONDS:
                del self._pools[name], self._used_at[name]

    def _note_incarnation(
        self, router: ids.RouterId, incarnation: ids.Incarnation
    ) -> None:
        """Free what the earlier life of a router held.

        A router that restarts before it is held dead never leaves the membership;
        without this its places would stay taken until their requests' timeouts.
        """
        newest = self._incarnations.get(router)
        if newest is not None and incarnation > newest:
            self._forget(router)
        self._incarnations[router] = max(incarnation, newest or incarnation)

    def _follow_members(self, members: list[messages.Member]) -> None:
        alive = {member.router for member in members} | {self._identity.router}
        with self._lock:
            for router in self._incarnations.keys() - alive:
                del self._incarnations[router]
                self._forget(router)
        self._changed.set()

    def _forget(self, router: ids.RouterId) -> None:
        for pool in self._pools.values():
            pool.forget_router(router)

    def _send_answers(self, answers: Iterable[pools.Answer]) -> None:
        for answer in answers:
            self._delivery.send(answer.router, answer.message)
            log_answer(answer)

    def _run(self) -> None:
        waits = False
        while not self._stopped:
            self._changed.wait(TICK_SECONDS if waits else IDLE_SECONDS)
            self._changed.clear()
            try:
                waits = self._tick(time.monotonic())
            except Exception as error:
                # A fault in one decision must not end the task of all pools, which
                # would show as servers that idle while requests wait.
                events.log(
                    events.Event.TASK_FAILED, task="poolhomes", error=repr(error)
                )
            if waits:
                time.sleep(REST_SECONDS)

    def _send_shares(self, now: float) -> None:
        """Tell the homes of other shards what accounts have begun here."""
        if now - self._shares_at < SHARES_SECONDS:
            return
        self._shares_at = now
        told = []
        with self._lock:
            self._drop_unused(now)
            for name, pool in self._pools.items():
                service, count, shard = shards.parse_pool(name)
                for dimension in range(count.bit_length() - 1):
                    partner = shards.name_pool(service, count, shard ^ (1 << dimension))
                    units = pool.sum_shares(dimension, now)
                    told.append(messages.PoolShares(partner, dimension, units))
        for message in told:
            self._delivery.send(self._map.find_home(message.pool), message)

    def _tick(self, now: float) -> bool:
        """Decide again in all pools; returns whether anything waits."""
        self._send_shares(now)
        self._log_backlogs(now)
        with self._lock:
            answers = [a for pool in self._pools.values() for a in pool.tick(now)]
            waits = any(pool.count_waiting() for pool in self._pools.values())
            alive = self._list_alive(now) if now - self._told_at > ALIVE_SECONDS else []
        if alive:
            self._told_at = now
        for router, message in alive:
            self._delivery.send(router, message)
        self._send_answers(answers)
        return waits

    def _log_backlogs(self, now: float) -> None:
        """Log which accounts wait, and what each has got of late."""
        if now - self._logged_at < BACKLOGS_SECONDS:
            return
        self._logged_at = now
        with self._lock:
            found = {
                name: pool.list_backlogs(now) for name, pool in self._pools.items()
            }
        for name, backlogs in found.items():
            if backlogs:
                events.log(
                    events.Event.ACCOUNTS_WAIT,
                    pool=name,
                    accounts=len(backlogs),
                    most=[list_fields(each) for each in backlogs[:BACKLOGS_MAX]],
                )

    def _list_alive(self, now: float) -> list[tuple[ids.RouterId, messages.QueueAlive]]:
        return [
            (router, messages.QueueAlive(name, pool.measure_pressure(now)))
            for name, pool in self._pools.items()
            for router in pool.list_routers()
        ]


def list_fields(backlog: poolqueue.Backlog) -> list[object]:
    """Return account, requests that wait, late ones among them, and what it got."""
    return [backlog.account, backlog.waiting, backlog.late, round(backlog.level)]


def log_answer(answer: pools.Answer) -> None:
    """Log one decision of a pool and what it was made by."""
    message, run, ask = answer.message, answer.run, answer.ask
    common = {
        "request": message.request,
        "pool": message.pool,
        "account": ask.account,
        "before": round(ask.waited, 3),
        "waited": round(answer.waited, 3),
        "is_late": answer.is_late,
    }
    if run is None:
        events.log(
            events.Event.PLACE_REFUSED,
            **common,
            reason=message.reason,
            retry_after=round(message.retry_after, 3),
        )
        return
    events.log(
        events.Event.GRANT_ISSUED,
        **common,
        server=message.server,
        kept=run.cached_tokens,
        pending=round(run.pending_seconds, 3),
        read=round(run.prefill_seconds, 3),
        speed=round(run.slowdown, 2),
        is_long=run.is_long,
    )
