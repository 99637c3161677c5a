"""Selects the backend server of a pool that takes a request.

Prompts share parts and differ widely in length, streams beside them must not pause, and
servers may be slow, unreachable or failing.

* A request goes to the server that has its prompt cached and the least pending prefill.
  Prefilling parts again weighs ten times as much as waiting, because it delays every
  other request as well.
* At most a tenth of a second of prefill is pending at an engine. More would delay first
  events, and a request that hasn't been sent can still go to another engine.
* An engine that has prefilled for as long as a stream beside it may pause completes all
  pending prefill before it gets more, so that a step without prefill comes between.
* A request waits briefly for the server that has its prompt cached while others are
  free: prefilling again costs more and delays everything waiting there.
* Where engines can copy from each other, cached parts are copied from the engine that
  has most of the prompt (:class:`CacheSource`): 4,870 tokens take 6 ms instead of 45.
* A prompt whose prefill alone makes the streams beside it pause past their limit goes
  to a dedicated engine, one at a time (:mod:`longprompts`).
* Requests to plain services go to the server with the shortest expected time.
* A cold server is not available once it has got as many requests as it tolerates
  (:mod:`coldstart`).
* A server that rejects requests gets trials, and what no other server has a slot for
  (:mod:`rejections`); no retry goes to a server that is expected to reject it.
* A server gets nothing from a router that it has asked for a rest
  (:mod:`announcements`). Other routers avoid it, because it is likely to be overloaded.

Without these rules most long streams pause beside long prompts. The figures stand in
``docs/design/placing.md``.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import (
    engines,
    longprompts,
    migration,
    poolservers,
    servertable,
    streamversions,
)
from celeryspan.wire import messages

PREFILL_WEIGHT = 10.0
"""Weight of a second of prefill relative to a second of waiting."""

AFFINITY_WAIT_SHARE = 0.25
"""Share of the latency objective that a request waits for the server that caches most
of its prompt while others are free. Prefilling a long prompt again takes as long and
delays every other request at that server."""

REGRET_SECONDS_MIN = 0.02
"""Cost difference in seconds above which a request waits for a better server: the cost
of prefilling about 200 tokens or copying 8,000."""

RUN_COST_SECONDS = 0.002
"""Cost of each run in progress; spreads requests that need no prefill."""

GAP_MARGIN_SECONDS = 0.02
"""Part of the longest allowed pause reserved for delivering an event to the caller."""

REMOTE_COST_SECONDS = 0.002
"""Cost of a server in another data centre: one round trip."""

COPY_TOKENS_MIN = 256
"""Shorter parts are prefilled in 2 ms, as long as it takes to set up a copy."""

COPY_SETUP_SECONDS = 0.002

COPY_WEIGHT = 10.0
"""Weight of a second of copying cached parts relative to a second of waiting. A copy
takes a tenth of the prefill time and delays no stream, but it uses links that
migrations need and evicts parts that other prompts share. A lower weight sends many
prompts away from the server that caches them."""

FAILURE_COST_SECONDS = 2.0
"""Cost of a server that fails all requests, relative to its peers."""

RESTING_COST_SECONDS = 0.05
"""Cost of a server that rests for another router."""

EXPIRY_INTERVAL_SECONDS = 0.25
"""Interval between checks for runs that should have ended."""

EXPIRY_GRACE_SECONDS = 1.0
"""Time after its timeout at which a run is dropped. Its router ends it at the timeout;
if that message is lost, the slot would otherwise never be freed."""

RUN_TIME_WEIGHT = 0.01
"""Weight of the newest run in the mean run time, which thus covers about a hundred
runs: those of less than a second at a few engines."""


UNKNOWN_ROUTER = ids.RouterId("")


class Candidate(NamedTuple):
    """A server that could take a request; lower costs are better.

    Attributes
    ----------
    cost : float
        Weighted waiting time, in seconds.
    is_ready : bool
        Whether the server can take the request now.
    """

    cost: float
    server: ids.ServerId
    is_ready: bool


class CacheSource(NamedTuple):
    """The engine that caches the longest prefix of a prompt, and the length of that."""

    cached_tokens: int
    server: ids.ServerId


NO_CACHE_SOURCE = CacheSource(0, ids.ServerId(""))

NO_CANDIDATE = Candidate(math.inf, ids.ServerId(""), False)


class Choice(NamedTuple):
    """The server that takes a request now.

    Attributes
    ----------
    regret : float
        How much lower the cost of the best server is, if that one can't take the
        request yet, in seconds.
    """

    server: ids.ServerId
    regret: float


class Placer(servertable.ServerTable):
    """Assigns requests to the servers of one pool and tracks their runs."""

    def __init__(self) -> None:
        super().__init__()
        self._model = engines.EngineModel()
        self._burst_pause_seconds = 0.0
        self._long_prompts = longprompts.LongPrompts()
        self._mean_run_seconds = 0.0
        self._next_expiry_at = 0.0

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set the servers that may get new requests; runs at the others continue."""
        super().set_servers(entries, engine)
        self._burst_pause_seconds = (
            self._model.prefill_pause_seconds(engine) if engine else 0.0
        )

    def exceeds_memory(self, ask: messages.SlotRequest) -> bool:
        """Whether the request is too large for every server."""
        engine = self._engine
        tokens = ask.prompt_tokens + ask.output_tokens
        return engine is not None and tokens > engine.memory_tokens

    def record_arrival(self, ask: messages.SlotRequest, now: float) -> None:
        """Record the prefill of a long prompt; it determines the dedicated engines."""
        if self._engine is None:
            return
        cached = self._count_most_cached(ask)
        pause = self._make_prompt(ask).gap_seconds(cached, 1.0)
        prefill = self._model.prefill_seconds(ask.prompt_tokens - cached, cached)
        self._long_prompts.record_arrival(pause, _pause_limit(ask), prefill, now)

    def is_long(self, ask: messages.SlotRequest) -> bool:
        """Whether a prompt is long at the server that caches most of it."""
        if self._engine is None:
            return False
        return self._is_long(ask, self._count_most_cached(ask))

    def has_capacity(self, is_long: bool, now: float) -> bool:
        """Whether any server can take a long prompt, or any other request, now."""
        partial = self._list_available_for_rest(now)
        for server in self._list_eligible(is_long, now):
            if not server.is_available(now) and server not in partial:
                continue
            if (
                not server.is_prefilling_long()
                if is_long
                else self._has_short_prefill_queue(server, now)
            ):
                return True
        return False

    def _has_short_prefill_queue(
        self, server: poolservers.PoolServer, now: float
    ) -> bool:
        return server.pending_seconds(now) <= poolservers.PENDING_PREFILL_SECONDS_MAX

    def _list_eligible(
        self, is_long: bool, now: float
    ) -> Sequence[poolservers.PoolServer]:
        """Return the servers for long prompts, or those for other requests.

        The same engines are dedicated to long prompts for as long as their number
        doesn't change. Other requests use them only when all the rest are full, so that
        no slot stays idle while requests wait.
        """
        count = self.count_dedicated()
        if not count:
            return self._ordered_servers
        dedicated, rest = self._ordered_servers[:count], self._ordered_servers[count:]
        if is_long:
            return dedicated
        if any(server.is_available(now) for server in rest):
            return rest
        return [server for server in dedicated if not server.is_prefilling_long()]

    def choose(
        self,
        ask: messages.SlotRequest,
        waited: float,
        now: float,
        router: ids.RouterId = UNKNOWN_ROUTER,
    ) -> Choice | None:
        """Return the server that takes a request now, or None.

        Parameters
        ----------
        waited : float
            Time that the request has waited in this pool, in seconds.
        router : RouterId
            The router that will send the request.
        """
        excluded: Collection[ids.ServerId] = ask.excluded
        barred = self._find_resting(router, now) | self._find_others(ask.version)
        barred |= self._find_expected_to_reject(ask, now)
        if len({*excluded, *barred}) >= len(self._servers):
            excluded = ()  # Retry servers that failed the request if no other is left.
        if barred:
            excluded = {*excluded, *barred}
        if ask.isolation:
            if not self.can_isolate(ask):
                return None
            excluded = {*excluded, *self._find_isolated_runs()}
        if self._engine is None:
            return self._choose_plain(ask, excluded, now)
        return self._choose_engine(ask, excluded, waited, now)

    def start_run(
        self,
        ask: messages.SlotRequest,
        router: ids.RouterId,
        name: ids.ServerId,
        end_at: float,
        now: float,
    ) -> poolservers.Run:
        """Reserve a slot for a request and record its run."""
        server = self._servers[name]
        cached, copy_seconds, source = self._plan_copy(
            ask, server, self._find_cache_sources(ask, now)
        )
        prefill = 0.0
        if self._engine is not None:
            prefill = self._make_prompt(ask).prefill_seconds(
                cached, len(server.runs), server.slowdown
            )
            prefill += copy_seconds
        pending = server.pending_seconds(now)
        prefill_done_at = max(now, server.prefill_done_at) + prefill
        due_at = prefill_done_at + self._model.first_event_seconds
        pause = 0.0
        if self._engine is not None:
            pause = self._make_prompt(ask).gap_seconds(cached, server.slowdown)
        limit = _pause_limit(ask)
        run = poolservers.Run(
            router=router,
            since=now,
            cached_tokens=cached,
            pending_seconds=pending,
            prefill_seconds=prefill,
            slowdown=server.slowdown,
            due_at=due_at,
            end_at=end_at,
            is_long=self._long_prompts.is_long(pause, limit),
            pause=pause if pause > limit else 0.0,
            output_tokens=ask.output_tokens,
            parts=ask.parts,
            source=source,
            isolation=ask.isolation,
            account=ask.account,
        )
        server.add(ask.request, run, now, self._burst_pause_seconds)
        self._space_trials(server, now)
        server.cache.record_use(ask.parts, due_at)
        return run

    def restore_run(
        self, router: ids.RouterId, run: messages.RunHeld, now: float
    ) -> None:
        """Record a run that another home has placed."""
        server = self._find(run.server)
        if server is None:
            return
        server.cache.record_use(run.parts, now)
        held = poolservers.Run(
            router=router,
            since=now,
            cached_tokens=0,
            pending_seconds=0.0,
            prefill_seconds=0.0,
            slowdown=1.0,
            due_at=now,
            end_at=now + run.left,
            is_long=False,
            is_begun=run.is_begun,
            isolation=run.isolation,
        )
        server.add(run.request, held, now)

    def begin(self, request: ids.RequestId, name: ids.ServerId, now: float) -> None:
        """Record the first event of a run."""
        server = self._find(name)
        if server is None:
            return
        samples = server.slowdown_samples
        server.begin(request, self._model.first_event_seconds, now)
        self._release_trials(server)
        if server.slowdown_samples != samples:
            self._share_slowdown()

    def migrate(
        self, request: ids.RequestId, name: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Return the server that a started run moves to, and reserve a slot there."""
        source = self._servers.get(name)
        run = source.runs.get(request) if source else None
        if run is None or self._engine is None or not run.is_long or run.isolation:
            return None
        if not migration.is_worth_moving(self._engine, run.output_tokens):
            return None
        dedicated = self._ordered_servers[: self.count_dedicated()]
        if source not in dedicated:
            return None
        candidates = [
            server
            for server in self._list_eligible(False, now)
            if streamversions.may_continue(server.entry, source.entry.version)
        ]
        target = migration.choose_target(source, candidates, now)
        if target is None:
            return None
        moved = msgspec.structs.replace(run, prefill_seconds=0.0, is_long=False)
        target.add(request, moved, now)
        target.cache.record_use(run.parts, now)
        return target.entry.server

    def settle_migration(
        self,
        request: ids.RequestId,
        name: ids.ServerId,
        target: ids.ServerId,
        now: float,
        *,
        is_moved: bool,
    ) -> None:
        """Free the slot that a run has left, or the one that it didn't move to."""
        left = self._find(name if is_moved else target)
        if left is not None:
            left.remove(request, now)

    def end(
        self,
        request: ids.RequestId,
        name: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> poolservers.Run | None:
        """Free the slot of a run and learn from how it ended; returns the run.

        Parameters
        ----------
        pause : float
            Longest time between two events of its stream; 0 if unknown.
        """
        server = self._find(name)
        run = server.remove(request, now) if server else None
        if run is None:
            return None
        if not server.runs:
            self._removed_servers.pop(name, None)
        server.record_ending(ending, now - run.since, now)
        self._release_trials(server)
        if ending is states.RunEnding.ANSWERED:
            self._mean_run_seconds += (
                now - run.since - self._mean_run_seconds
            ) * RUN_TIME_WEIGHT
            if run.expected_pause and pause:
                self._long_prompts.record_pause(run.expected_pause, pause)
        return run

    def expire(self, now: float) -> None:
        """Drop runs whose end was never reported."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_SECONDS
        self._long_prompts.update(now)
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            server.expire(now - EXPIRY_GRACE_SECONDS)
            server.expire_rests(now)

    def estimate_slot_wait(self, waiting: int) -> float:
        """Return the seconds until a request behind ``waiting`` others finds a slot."""
        taken = sum(len(server.runs) for server in self._ordered_servers)
        missing = waiting + 1 - (self._slots - taken)
        return max(0, missing) * self._mean_run_seconds / max(1, self._slots)

    def estimate_work(self, ask: messages.SlotRequest) -> float:
        """Return the server time that a request takes if nothing is cached.

        For plain calls, the time of one slot.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS_INITIAL
        return self._model.prefill_seconds(ask.prompt_tokens, 0)

    def estimate_wait(self, work: float) -> float:
        """Return the time until this much work has been placed, in seconds."""
        lanes = self._slots if self._engine is None else len(self._servers)
        return work / max(1, lanes)

    def estimate_first_event(self, ask: messages.SlotRequest) -> float:
        """Return the time from placement to the first event if the best server is free.

        For plain calls, the time to the answer.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS_INITIAL
        cached = self._count_most_cached(ask)
        uncached = max(0, ask.prompt_tokens - cached)
        return self._model.first_event_seconds + self._model.prefill_seconds(
            uncached, cached
        )

    def count_dedicated(self) -> int:
        """Return the number of engines dedicated to long prompts."""
        return self._long_prompts.count_dedicated(len(self._servers))

    def _find_cache_sources(
        self, ask: messages.SlotRequest, now: float
    ) -> dict[ids.SoftwareVersion, CacheSource]:
        """Return the engine with the longest cached prefix of each software version.

        Empty if engines can't copy.
        """
        found: dict[ids.SoftwareVersion, CacheSource] = {}
        if self._engine is None or not self._engine.copy_token_seconds:
            return found
        for server in self._ordered_servers:
            version = server.entry.version
            cached = server.cache.count_copyable(ask.parts, now)
            longest = found.get(version, NO_CACHE_SOURCE).cached_tokens
            if cached > longest and not server.health.is_backing_off(now):
                found[version] = CacheSource(cached, server.entry.server)
        return found

    def _plan_copy(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        cache_sources: Mapping[ids.SoftwareVersion, CacheSource],
    ) -> tuple[int, float, ids.ServerId | None]:
        """Return tokens that need no prefill, copy time and copy source."""
        cache_source = cache_sources.get(server.entry.version, NO_CACHE_SOURCE)
        cached = server.cache.count_cached(ask.parts)
        missing = cache_source.cached_tokens - cached
        if missing < COPY_TOKENS_MIN or self._engine is None:
            return cached, 0.0, None
        seconds = COPY_SETUP_SECONDS + missing * self._engine.copy_token_seconds
        return cache_source.cached_tokens, seconds, cache_source.server

    def _count_most_cached(self, ask: messages.SlotRequest) -> int:
        return max(
            (s.cache.count_cached(ask.parts) for s in self._ordered_servers), default=0
        )

    def _choose_plain(
        self, ask: messages.SlotRequest, excluded: Collection[ids.ServerId], now: float
    ) -> Choice | None:
        candidates = [
            server
            for server in self._ordered_servers
            if server.entry.server not in excluded
        ]
        available = [server for server in candidates if server.is_available(now)] or [
            server
            for server in self._list_available_for_rest(now)
            if server.entry.server not in excluded
        ]
        if not available:
            return None
        tried = self._find_trial(available, now)
        if tried is not None:
            return Choice(tried.entry.server, 0.0)
        healthy = min(server.health.failure_rate for server in available)

        def cost(server: poolservers.PoolServer) -> tuple[float, str]:
            use = (len(server.runs) + 1) / server.entry.slots
            failing = (server.health.failure_rate - healthy) * FAILURE_COST_SECONDS
            extra = failing + _remote_cost(server, ask) + _resting_cost(server)
            return server.call_seconds * (1.0 + use) + extra, server.entry.server

        return Choice(min(available, key=cost).entry.server, 0.0)

    def _find_trial(
        self, available: Sequence[poolservers.PoolServer], now: float
    ) -> poolservers.PoolServer | None:
        """Return the server whose trial is due for the longest time, or None."""
        due = [
            server
            for server in available
            if server.is_on_trial() and server.is_available(now)
        ]
        return min(due, key=lambda each: each.rejections.trial_at, default=None)

    def _choose_engine(
        self,
        ask: messages.SlotRequest,
        excluded: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> Choice | None:
        available = [each for each in self._ordered_servers if each.is_available(now)]
        found = self._choose_engine_among(available, ask, excluded, waited, now)
        if found is None:
            partial = self._list_available_for_rest(now)
            found = self._choose_engine_among(partial, ask, excluded, waited, now)
        return found

    def _choose_engine_among(
        self,
        available: Collection[poolservers.PoolServer],
        ask: messages.SlotRequest,
        excluded: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> Choice | None:
        best = ready = NO_CANDIDATE
        prompt = self._make_prompt(ask)
        cache_sources = self._find_cache_sources(ask, now)
        for is_long in (False, True):
            for server in self._list_candidates(ask.version, is_long, now):
                if server not in available or server.entry.server in excluded:
                    continue
                cached, copy_seconds, _ = self._plan_copy(ask, server, cache_sources)
                if prompt.is_long(cached, server.slowdown) is not is_long:
                    continue
                prefill = prompt.prefill_seconds(
                    cached, len(server.runs), server.slowdown
                )
                candidate = self._make_candidate(
                    ask, server, prefill, copy_seconds, is_long, now
                )
                if candidate.is_ready and self._find_trial([server], now) is not None:
                    return Choice(server.entry.server, 0.0)
                best = min(best, candidate)
                ready = min(ready, candidate) if candidate.is_ready else ready
        if not ready.is_ready:
            return None
        regret = ready.cost - best.cost
        wait = (
            AFFINITY_WAIT_SHARE * ask.objective if regret > REGRET_SECONDS_MIN else 0.0
        )
        return None if ask.waited + waited < wait else Choice(ready.server, regret)

    def _list_candidates(
        self, version: ids.SoftwareVersion, is_long: bool, now: float
    ) -> Sequence[poolservers.PoolServer]:
        """Return the servers for a request; all of its version if none is eligible."""
        eligible = self._list_eligible(is_long, now)
        if not version:
            return eligible
        candidates = [
            server
            for server in self._ordered_servers
            if streamversions.may_continue(server.entry, version)
        ]
        return [server for server in candidates if server in eligible] or candidates

    def _make_candidate(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        prefill: float,
        copy_seconds: float,
        is_long: bool,
        now: float,
    ) -> Candidate:
        """Return the cost of placing a request at a server, and whether it is ready."""
        pending = server.pending_seconds(now)
        cost = pending + PREFILL_WEIGHT * prefill + RUN_COST_SECONDS * len(server.runs)
        cost += COPY_WEIGHT * copy_seconds
        cost += server.health.failure_rate * FAILURE_COST_SECONDS
        cost += _remote_cost(server, ask) + _resting_cost(server)
        if is_long:
            is_ready = not server.is_prefilling_long()
        else:
            is_ready = self._can_admit(ask, server, pending, prefill, now)
        return Candidate(cost, server.entry.server, is_ready)

    def _can_admit(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        pending: float,
        prefill: float,
        now: float,
    ) -> bool:
        """Whether a server can take one more prompt now."""
        burst = server.measure_burst(self._burst_pause_seconds, now)
        if burst <= 0.0 and pending <= 0.0:
            return True
        steps = self._model.max_gap_seconds(0, 0, ask.stride, len(server.runs))
        longest = _pause_limit(ask) - steps * server.slowdown
        is_soon = (
            pending <= 0.0
            or pending + prefill <= poolservers.PENDING_PREFILL_SECONDS_MAX
        )
        return is_soon and burst + prefill <= longest

    def _make_prompt(self, ask: messages.SlotRequest) -> engines.Prompt:
        assert self._engine is not None
        return engines.Prompt(
            self._model,
            ask.prompt_tokens,
            _pause_limit(ask) / self._long_prompts.ratio,
            self._engine.stride,
            self._engine.slots // 2,
        )

    def _is_long(
        self, ask: messages.SlotRequest, cached: int, slowdown: float = 1.0
    ) -> bool:
        return self._make_prompt(ask).is_long(cached, slowdown)


def _pause_limit(ask: messages.SlotRequest) -> float:
    """Return the longest pause allowed for the streams of a request, in seconds."""
    return ask.gap_max - GAP_MARGIN_SECONDS


def _remote_cost(server: poolservers.PoolServer, ask: messages.SlotRequest) -> float:
    return 0.0 if server.entry.data_centre == ask.data_centre else REMOTE_COST_SECONDS


def _resting_cost(server: poolservers.PoolServer) -> float:
    return RESTING_COST_SECONDS if server.rests else 0.0
