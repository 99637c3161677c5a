"""The kernel service ``poolhomes``: runs the pools whose home is this router."""

from __future__ import annotations

import functools
import random
import threading
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING

from celeryspan import catalog, events, ids, kernel, metrics, states
from celeryspan.decisions import poolqueue, pools, rejections, shards
from celeryspan.gateway import coldlimits
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        catalogues,
        keptparts,
        poolmap,
        serverlists,
        versionrecords,
    )
    from celeryspan.services import delivery, identity, membership

TICK_SECONDS = 0.005
"""Interval at which waiting requests are reconsidered, because engines continue to
prefill in the meantime."""

TICK_PAUSE_SECONDS = 0.002
"""Minimum pause between two ticks, however many messages arrive: it bounds the share of
a core that decisions use."""

IDLE_TICK_SECONDS = 0.5
"""Tick interval while nothing waits; such ticks only clean up after lost messages."""

QUEUE_ALIVE_SECONDS = 0.2
"""Interval at which routers are told that their requests are still queued here."""

SHARES_INTERVAL_SECONDS = 0.25
"""Interval at which the homes of a service exchange the service that accounts have
received. With eight shards each home knows the total after 0.75 s; shares count for six
seconds."""

BACKLOG_LOG_SECONDS = 1.0
"""Interval at which a home logs the accounts with waiting requests."""

PACES_INTERVAL_SECONDS = 1.0
"""Interval at which the gauges of the servers' paces are set."""

LOGGED_BACKLOGS_MAX = 8
"""Maximum number of accounts per pool in such a log line."""

UNUSED_POOL_SECONDS = 10.0
"""Time without requests after which a pool is dropped: its service is now divided into
another number of pools, or this router is no longer its home."""


RejectingServers = dict[tuple[ids.PoolId, ids.ServerId], rejections.RejectingServer]
"""The rejecting servers of all pools, by pool and server."""


@kernel.register(
    "poolhomes",
    needs=(
        "catalogues",
        "delivery",
        "fleet",
        "identity",
        "keptparts",
        "membership",
        "metrics",
        "poolmap",
        "servers",
        "versionrecords",
    ),
)
class PoolHomes:
    """Assigns the slots of pools on behalf of all routers.

    Requests from any router are accepted, even if this router doesn't consider itself
    the home of the pool: routers may briefly disagree about homes, and a request that
    no home accepted would wait in vain.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._identity: identity.IdentityService = container.find("identity")
        self._kept_parts: keptparts.KeptParts = container.find("keptparts")
        self._membership: membership.MembershipService = container.find("membership")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._records: versionrecords.VersionRecords = container.find("versionrecords")
        self._servers: serverlists.ServersService = container.find("servers")
        self._early_refusals: states.EarlyRefusals = container.settings.early_refusals
        self._random = random.Random(self._identity.incarnation)
        self._lock = threading.Lock()
        self._cold_limits = coldlimits.ColdLimits(container)
        self._pools: dict[ids.PoolId, pools.Pool] = {}
        self._used_at: dict[ids.PoolId, float] = {}
        self._incarnations: dict[ids.RouterId, ids.Incarnation] = {}
        self._rejecting: RejectingServers = {}
        self._alive_sent_at = 0.0
        self._shares_sent_at = 0.0
        self._backlogs_logged_at = 0.0
        self._paces_set_at = 0.0
        self._changed = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="poolhomes", daemon=True)

    def start(self) -> None:
        """Subscribe to the messages of routers and start the tick thread."""
        self._delivery.subscribe(messages.SlotRequest, self._handle_request)
        self._delivery.subscribe(messages.SlotCancel, self._handle_cancel)
        self._delivery.subscribe(messages.RunHeld, self._handle_held)
        self._delivery.subscribe(messages.RunBegun, self._handle_begun)
        self._delivery.subscribe(messages.RunEnded, self._handle_ended)
        self._delivery.subscribe(messages.RunMoved, self._handle_moved)
        self._delivery.subscribe(messages.PoolShares, self._handle_shares)
        self._delivery.subscribe(messages.ServerRest, self._handle_rest)
        self._map.subscribe(self._update_servers)
        self._records.subscribe(self._update_servers)
        self._membership.subscribe(self._handle_members)
        self._handle_members(self._membership.alive())
        self._thread.start()

    def stop(self) -> None:
        """Stop the tick thread; routers send their requests to the next home."""
        self._stopped = True
        self._changed.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return, by pool, waiting requests, runs and whether tenure is established.

        With the paces of the servers whose pace is not the usual one.
        Servers that reject requests are named, with the seconds since they do and those
        until their next trial request.
        """
        now = time.monotonic()
        with self._lock:
            return {
                name: {
                    "waiting": pool.count_waiting(),
                    "runs": pool.count_runs(),
                    "established": self._cold_limits.is_established(name, now),
                    "paces": {
                        server: round(pace, 2)
                        for server, pace in pool.list_paces(now).items()
                        if round(pace, 2) != 1.0
                    },
                    "rejecting": {
                        each.server: make_times(each, now)
                        for each in pool.list_rejecting()
                    },
                }
                for name, pool in self._pools.items()
            }

    def _handle_request(
        self,
        router: ids.RouterId,
        incarnation: ids.Incarnation,
        ask: messages.SlotRequest,
    ) -> None:
        now = time.monotonic()
        with self._lock:
            self._record_incarnation(router, incarnation)
            answers = self._find_pool(ask.pool).ask(router, ask, now)
        self._send_answers(answers)
        self._changed.set()

    def _handle_cancel(
        self, _: ids.RouterId, __: ids.Incarnation, cancel: messages.SlotCancel
    ) -> None:
        with self._lock:
            self._find_pool(cancel.pool).cancel(cancel.request)

    def _handle_held(
        self, router: ids.RouterId, incarnation: ids.Incarnation, run: messages.RunHeld
    ) -> None:
        with self._lock:
            self._record_incarnation(router, incarnation)
            self._find_pool(run.pool).restore_run(router, run, time.monotonic())

    def _handle_moved(
        self, _: ids.RouterId, __: ids.Incarnation, moved: messages.RunMoved
    ) -> None:
        with self._lock:
            self._find_pool(moved.pool).settle_migration(moved, time.monotonic())
        self._changed.set()

    def _handle_begun(
        self, router: ids.RouterId, _: ids.Incarnation, begun: messages.RunBegun
    ) -> None:
        with self._lock:
            pool = self._find_pool(begun.pool)
            now = time.monotonic()
            target = pool.begin(begun.request, begun.server, now, begun.load)
        if target is not None:
            move = messages.RunMove(begun.request, begun.pool, begun.server, target)
            self._delivery.send(router, move)
        self._changed.set()

    def _handle_ended(
        self, _: ids.RouterId, __: ids.Incarnation, ended: messages.RunEnded
    ) -> None:
        with self._lock:
            pool = self._find_pool(ended.pool)
            now = time.monotonic()
            pool.end(
                ended.request,
                ended.server,
                ended.ending,
                now,
                ended.pause,
                ended.load,
            )
        self._changed.set()

    def _handle_shares(
        self, _: ids.RouterId, __: ids.Incarnation, shares: messages.PoolShares
    ) -> None:
        with self._lock:
            pool = self._pools.get(shares.pool)
            if pool is not None:
                pool.receive_shares(shares, time.monotonic())

    def _handle_rest(
        self, router: ids.RouterId, _: ids.Incarnation, rest: messages.ServerRest
    ) -> None:
        with self._lock:
            pool = self._find_pool(rest.pool)
            answers = pool.record_rest(router, rest, time.monotonic())
        self._send_answers(answers)

    def _find_pool(self, name: ids.PoolId) -> pools.Pool:
        """Return a pool, creating it if needed; the caller holds the lock."""
        self._used_at[name] = time.monotonic()
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = pools.Pool(
                name, self._random, early_refusals=self._early_refusals
            )
            self._set_pool_servers(pool)
            self._cold_limits.update(pool, time.monotonic())
            events.log(events.Event.HOME_TAKEN, pool=name)
        return pool

    def _update_servers(self) -> None:
        now = time.monotonic()
        with self._lock:
            for pool in self._pools.values():
                self._set_pool_servers(pool)
                self._cold_limits.update(pool, now)
        self._changed.set()

    def _set_pool_servers(self, pool: pools.Pool) -> None:
        service_id, _, _ = shards.parse_pool(pool.name)
        current = self._catalogues.current()
        service = current.services.get(service_id) if current else None
        entries = self._records.select(
            service_id, self._map.list_servers(pool.name, self._servers.usable())
        )
        pool.set_servers(entries, service.engine if service else None)
        for entry in pool.pop_unqueried():
            self._kept_parts.query(
                entry, functools.partial(self._add_cached_parts, pool.name)
            )

    def _add_cached_parts(
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
        """Drop pools that no longer get requests; the caller holds the lock."""
        for name, pool in list(self._pools.items()):
            is_idle = not pool.count_waiting() and not pool.count_runs()
            if is_idle and now - self._used_at[name] > UNUSED_POOL_SECONDS:
                del self._pools[name], self._used_at[name]
                self._cold_limits.forget(name)

    def _record_incarnation(
        self, router: ids.RouterId, incarnation: ids.Incarnation
    ) -> None:
        """Free the slots of a router's previous incarnation.

        A router that restarts before it is declared dead never leaves the membership;
        without this its slots would stay in use until its requests time out.
        """
        newest = self._incarnations.get(router)
        if newest is not None and incarnation > newest:
            self._forget_router(router)
        self._incarnations[router] = max(incarnation, newest or incarnation)

    def _handle_members(self, members: list[messages.Member]) -> None:
        alive = {member.router for member in members} | {self._identity.router}
        self._cold_limits.count_fleet(len(alive), time.monotonic())
        with self._lock:
            for router in self._incarnations.keys() - alive:
                del self._incarnations[router]
                self._forget_router(router)
        self._changed.set()

    def _forget_router(self, router: ids.RouterId) -> None:
        for pool in self._pools.values():
            pool.forget_router(router)

    def _send_answers(self, answers: Iterable[pools.Answer]) -> None:
        for answer in answers:
            self._delivery.send(answer.router, answer.message)
            log_answer(answer)

    def _run(self) -> None:
        has_waiting = False
        while not self._stopped:
            self._changed.wait(TICK_SECONDS if has_waiting else IDLE_TICK_SECONDS)
            self._changed.clear()
            try:
                has_waiting = self._tick(time.monotonic())
            except Exception as error:
                # An error in one decision must not end the thread that serves all
                # pools: servers would then idle while requests wait.
                events.log(
                    events.Event.TASK_FAILED, task="poolhomes", error=repr(error)
                )
            if has_waiting:
                time.sleep(TICK_PAUSE_SECONDS)

    def _send_shares(self, now: float) -> None:
        """Send the service that accounts received here to the homes of other shards."""
        if now - self._shares_sent_at < SHARES_INTERVAL_SECONDS:
            return
        self._shares_sent_at = now
        outgoing = []
        with self._lock:
            self._drop_unused(now)
            for name, pool in self._pools.items():
                service, count, shard = shards.parse_pool(name)
                for dimension in range(count.bit_length() - 1):
                    partner = shards.name_pool(service, count, shard ^ (1 << dimension))
                    units = pool.sum_shares(dimension, now)
                    outgoing.append(messages.PoolShares(partner, dimension, units))
        for message in outgoing:
            self._delivery.send(self._map.find_home(message.pool), message)

    def _tick(self, now: float) -> bool:
        """Run a tick of all pools; return whether any request is waiting."""
        self._send_shares(now)
        self._log_backlogs(now)
        self._set_paces(now)
        with self._lock:
            for pool in self._pools.values():
                self._cold_limits.update(pool, now)
            answers = [a for pool in self._pools.values() for a in pool.tick(now)]
            has_waiting = any(pool.count_waiting() for pool in self._pools.values())
            rejecting = {
                (name, each.server): each
                for name, pool in self._pools.items()
                for each in pool.list_rejecting()
            }
            alive = (
                self._make_alive_messages(now)
                if now - self._alive_sent_at > QUEUE_ALIVE_SECONDS
                else []
            )
        if alive:
            self._alive_sent_at = now
        for router, message in alive:
            self._delivery.send(router, message)
        self._send_answers(answers)
        if rejecting or self._rejecting:
            self._log_rejecting(rejecting, now)
        return has_waiting

    def _set_paces(self, now: float) -> None:
        """Set the gauges of the paces that servers report."""
        if now - self._paces_set_at < PACES_INTERVAL_SECONDS:
            return
        self._paces_set_at = now
        paces: dict[ids.ServerId, float] = {}
        with self._lock:
            for pool in self._pools.values():
                paces.update(pool.list_paces(now))
        self._metrics.set_paces(paces)

    def _log_rejecting(self, rejecting: RejectingServers, now: float) -> None:
        """Log the servers that have begun or ceased to reject since the last tick."""
        earlier, self._rejecting = self._rejecting, rejecting
        self._metrics.set_rejecting_servers(len(rejecting))
        for (pool, server), each in rejecting.items():
            if (pool, server) not in earlier:
                events.log(
                    events.Event.SERVER_REJECTS,
                    pool=pool,
                    server=server,
                    **make_times(each, now),
                )
        for (pool, server), each in earlier.items():
            if (pool, server) not in rejecting:
                events.log(
                    events.Event.SERVER_REJECTS_NO_MORE,
                    pool=pool,
                    server=server,
                    seconds=round(now - each.since, 3),
                )

    def _log_backlogs(self, now: float) -> None:
        """Log the accounts that wait and the service each has recently received."""
        if now - self._backlogs_logged_at < BACKLOG_LOG_SECONDS:
            return
        self._backlogs_logged_at = now
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
                    most=[
                        format_backlog(each) for each in backlogs[:LOGGED_BACKLOGS_MAX]
                    ],
                )

    def _make_alive_messages(
        self, now: float
    ) -> list[tuple[ids.RouterId, messages.QueueAlive]]:
        return [
            (router, messages.QueueAlive(name, pool.measure_pressure(now)))
            for name, pool in self._pools.items()
            for router in pool.list_routers()
        ]


def make_times(rejecting: rejections.RejectingServer, now: float) -> dict[str, float]:
    """Return since when a server rejects and when its next trial is, in seconds."""
    return {
        "since": round(now - rejecting.since, 3),
        "next_trial": round(max(0.0, rejecting.next_trial_at - now), 3),
    }


def format_backlog(backlog: poolqueue.Backlog) -> list[object]:
    """Return a backlog's fields as they are logged."""
    return [
        backlog.account,
        backlog.waiting,
        backlog.late,
        round(backlog.level),
        backlog.unused,
    ]


def log_answer(answer: pools.Answer) -> None:
    """Log a decision of a pool and the data behind it."""
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
