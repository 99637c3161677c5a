"""The backend servers of one pool: which there are, what they cache and what they run.

Without one owner of this state, a server that restarts under its id would keep the runs
and the cached parts of its earlier incarnation.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Iterable, Sequence

import xxhash

from celeryspan import catalog, ids
from celeryspan.decisions import (
    announcements,
    coldstart,
    poolservers,
    rejections,
    streamversions,
)
from celeryspan.wire import messages

REJECTION_RETRY_SECONDS_MIN = 0.05
"""Shortest Retry-After of requests refused because all servers reject: a trial may be
under way."""


class ServerTable:
    """The servers of one pool, in an order that is the same on all routers.

    Servers that have left the pool are kept until their runs have ended.
    """

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._ordered_servers: list[poolservers.PoolServer] = []
        self._removed_servers: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._slots = 0
        self._engine: catalog.Engine | None = None
        self._median_slowdown = 1.0
        self._cold_grants_max = coldstart.UNLIMITED

    def limit_cold_grants(self, grants_max: float) -> None:
        """Set how many requests a cold server may be granted within a second."""
        if grants_max == self._cold_grants_max:
            return
        self._cold_grants_max = grants_max
        for server in self._ordered_servers:
            server.cold_grants_max = grants_max

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set the servers that may get new requests; runs at the others continue."""
        self._engine = engine
        known = {**self._removed_servers, **self._servers}
        self._servers = {}
        for entry in entries:
            previous = server = known.pop(entry.server, None)
            if server is None or entry.replaces(server.entry):
                # A restarted server has an empty cache and no runs. The slots and the
                # slowdown of its earlier incarnation would be wrong for seconds.
                server = _make_server(entry, engine)
                server.slowdown = self._median_slowdown
                if previous is not None:
                    # Requests to the earlier incarnation may still arrive.
                    server.grants = previous.grants
            server.entry = entry
            server.cold_grants_max = self._cold_grants_max
            self._servers[entry.server] = server
        self._ordered_servers = sorted(
            self._servers.values(), key=lambda each: each.order
        )
        self._slots = sum(entry.slots for entry in entries)
        for server in self._ordered_servers:
            server.rejections.trial_interval = (
                rejections.TRIAL_INTERVAL_SECONDS
                if len(entries) > 1
                else rejections.POOL_TRIAL_INTERVAL_SECONDS
            )
        self._removed_servers = {
            name: server for name, server in known.items() if server.runs
        }

    def record_rest(
        self, router: ids.RouterId, rest: messages.ServerRest, now: float
    ) -> None:
        """Record that a server has asked a router for a rest."""
        server = self._servers.get(rest.server)
        if server is None:
            return
        if announcements.get_incarnation(server.entry) == rest.incarnation:
            until = now + min(rest.left, announcements.REST_SECONDS_MAX)
            server.rests[router] = max(until, server.rests.get(router, until))
            server.rested_at = now

    def measure_rest(self, router: ids.RouterId, now: float) -> float | None:
        """Return the seconds until the first server may get requests of a router.

        Returns None if any server may get them now, or if there are no servers.
        """
        earliest = math.inf
        for server in self._ordered_servers:
            if not server.is_resting(router, now):
                return None
            earliest = min(earliest, server.rests[router])
        return earliest - now if self._ordered_servers else None

    def measure_rejection(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> float | None:
        """Return the seconds until the next trial if all servers reject a request.

        Servers that back off are left out. Returns None if a server may take it, or if
        none rejects.
        """
        earliest = math.inf
        for server in self._ordered_servers:
            found = server.rejections
            if server.health.is_backing_off(now):
                continue
            if not streamversions.may_continue(server.entry, ask.version):
                continue
            if server.is_resting(router, now):
                earliest = min(earliest, server.rests[router])
            elif ask.excluded:
                if not found.expects_rejection():
                    return None
                earliest = min(earliest, found.next_trial_at)
            elif not found.is_silent(now) or server.is_available(now):
                return None
            else:
                earliest = min(earliest, found.next_trial_at)
        if math.isinf(earliest) or not self._has_rejecting():
            return None
        return max(REJECTION_RETRY_SECONDS_MIN, earliest - now)

    def list_rejecting(self) -> list[rejections.RejectingServer]:
        """Return the servers that have rejected more than a single request."""
        if not self._has_rejecting():
            return []
        return [
            rejections.RejectingServer(
                server.entry.server,
                server.rejections.since,
                server.rejections.next_trial_at,
            )
            for server in self._ordered_servers
            if server.rejections.is_confirmed
        ]

    def _has_rejecting(self) -> bool:
        # A loop, because this is called for each placement and a generator costs more.
        for server in self._ordered_servers:
            if server.rejections.state is not rejections.State.ACCEPTING:
                return True
        return False

    def _space_trials(self, tried: poolservers.PoolServer, now: float) -> None:
        """Hold back the trials at other servers if all servers reject."""
        if tried.rejections.trial_at < now or not all(
            server.is_on_trial() or server.health.is_backing_off(now)
            for server in self._ordered_servers
        ):
            return
        for server in self._ordered_servers:
            server.rejections.postpone_trial(
                now + rejections.POOL_TRIAL_INTERVAL_SECONDS
            )

    def _release_trials(self, accepting: poolservers.PoolServer) -> None:
        """Try the others soon if a server accepts again: the pool may have no other."""
        if accepting.rejections.state is rejections.State.RETURNING:
            for server in self._ordered_servers:
                server.rejections.release_trial()

    def _find_expected_to_reject(
        self, ask: messages.SlotRequest, now: float
    ) -> set[ids.ServerId]:
        """Return the servers that a retry should not go to; none for other requests.

        While another server accepts requests, these are all that reject any.
        """
        if not ask.excluded or not self._has_rejecting():
            return set()
        has_accepting = self._has_accepting(now, ask.excluded)
        return {
            server.entry.server
            for server in self._ordered_servers
            if server.rejections.expects_rejection()
            or (has_accepting and not server.rejections.is_accepting)
        }

    def _has_accepting(
        self, now: float, excluded: Collection[ids.ServerId] = ()
    ) -> bool:
        return any(
            server.rejections.is_accepting
            and server.entry.server not in excluded
            and not server.health.is_backing_off(now)
            for server in self._ordered_servers
        )

    def _find_trial(
        self, available: Sequence[poolservers.PoolServer], now: float
    ) -> poolservers.PoolServer | None:
        """Return the server whose trial is due for the longest time, or None."""
        due = [server for server in available if server.is_trial_due(now)]
        return min(due, key=lambda each: each.rejections.trial_at, default=None)

    def _list_available_for_rest(self, now: float) -> list[poolservers.PoolServer]:
        """Return the rejecting servers that may take what no other has a slot for.

        While some servers accept requests, those that reject at least half of them are
        left out: their rejections would use up the retry budget.
        """
        if not self._has_rejecting():
            return []
        has_accepting = self._has_accepting(now)
        return [
            server
            for server in self._ordered_servers
            if server.is_available_for_rest(now)
            and not (has_accepting and server.rejections.expects_rejection())
        ]

    def pop_unqueried(self) -> list[catalog.ServerEntry]:
        """Return the engines to query for their cached parts, each of them once.

        Without the query, a home that has just started or taken over a pool would have
        all shared parts prefilled again, and would classify prompts that are mostly
        cached as long.
        """
        if self._engine is None:
            return []
        unqueried = [
            server for server in self._ordered_servers if not server.is_queried
        ]
        for server in unqueried:
            server.is_queried = True
        return [server.entry for server in unqueried]

    def add_cached_parts(
        self,
        asked: catalog.ServerEntry,
        parts: Iterable[messages.PromptPart],
        now: float,
    ) -> None:
        """Add the parts that an engine reports as cached.

        Parameters
        ----------
        asked : ServerEntry
            The entry for which the engine was queried; the answer of an earlier
            incarnation is ignored.
        """
        server = self._servers.get(asked.server)
        if server is not None and not server.entry.succeeds(asked):
            server.cache.add_cached_parts(parts, now)

    def can_isolate(self, ask: messages.SlotRequest) -> bool:
        """Whether a request that must run isolated could get a slot now.

        Only one copy of it runs at a time, and never beside another isolated request,
        so that a crash of its server has a single possible cause.
        """
        running = self._find_isolated_runs()
        is_alone = all(ask.isolation not in found for found in running.values())
        return is_alone and not self._servers.keys() <= running.keys()

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the runs of a dead router."""
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            server.forget(router)

    def has_version(self, version: ids.SoftwareVersion) -> bool:
        """Whether a stream that began at a version can go on here.

        True without servers, because the list of them may not have arrived yet.
        """
        if not version or not self._ordered_servers:
            return True
        return any(
            streamversions.may_continue(server.entry, version)
            for server in self._ordered_servers
        )

    def count_servers(self) -> int:
        """Return the number of servers that may get new requests."""
        return len(self._servers)

    def count_runs(self) -> int:
        """Return the number of slots in use."""
        return sum(
            len(server.runs)
            for server in [*self._servers.values(), *self._removed_servers.values()]
        )

    def list_paces(self, now: float) -> dict[ids.ServerId, float]:
        """Return the expected paces of the servers whose pace differs from 1."""
        paces = {
            server.entry.server: server.measure_pace(now)
            for server in self._ordered_servers
        }
        return {name: pace for name, pace in paces.items() if pace != 1.0}

    def measure_pending(self, now: float) -> float:
        """Return the mean pending prefill per server, in seconds.

        Each server counts for at most the limit up to which it is sent more, so that
        one that has stopped doesn't make the whole pool look full.
        """
        if not self._servers:
            return 0.0
        most = poolservers.PENDING_PREFILL_SECONDS_MAX
        pending = sum(
            min(server.pending_seconds(now), most) for server in self._ordered_servers
        )
        return pending / len(self._servers)

    def _find_resting(self, router: ids.RouterId, now: float) -> set[ids.ServerId]:
        """Return the servers that have asked a router for a rest."""
        return {
            server.entry.server
            for server in self._ordered_servers
            if server.rests and server.is_resting(router, now)
        }

    def _find_others(self, version: ids.SoftwareVersion) -> set[ids.ServerId]:
        """Return the servers that can't continue a stream of a version."""
        if not version:
            return set()
        return {
            server.entry.server
            for server in self._ordered_servers
            if not streamversions.may_continue(server.entry, version)
        }

    def _find_isolated_runs(self) -> dict[ids.ServerId, set[int]]:
        """Return the servers with isolated runs and the fingerprints of these runs."""
        found: dict[ids.ServerId, set[int]] = {}
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            fingerprints = {
                run.isolation for run in server.runs.values() if run.isolation
            }
            if fingerprints:
                found[server.entry.server] = fingerprints
        return found

    def _share_slowdown(self) -> None:
        """Set servers without samples to the median slowdown of the others.

        The model describes one kind of engine. On a slower kind, each server would
        first be sent twice what it can prefill in time, and again after every restart.
        """
        known = [
            each.slowdown for each in self._ordered_servers if each.slowdown_samples
        ]
        self._median_slowdown = statistics.median(known) if known else 1.0
        for server in self._ordered_servers:
            if not server.slowdown_samples:
                server.slowdown = self._median_slowdown

    def _find(self, name: ids.ServerId) -> poolservers.PoolServer | None:
        return self._servers.get(name) or self._removed_servers.get(name)


def _make_server(
    entry: catalog.ServerEntry, engine: catalog.Engine | None
) -> poolservers.PoolServer:
    order = xxhash.xxh3_64_intdigest(entry.server.encode())
    return poolservers.PoolServer(entry, engine, order)
