"""Which backend server of a pool takes a request, if any can take it now.

Load answered: prompts that share parts, of very different lengths, beside streams that
must not pause; servers that are slow, dark or failing.

* A request goes where its prompt is kept and where little waits to be read. Reading
  anew is weighed ten times against waiting, since it makes all others wait as well.
* No more than a tenth of a second of reading is pending at one engine: more would make
  first events late, and what is not sent yet can still go elsewhere.
* An engine that has read for as long as a stream beside it may pause reads all it has
  before it gets more, so that a step without reading comes between.
* A request waits a little for the server that keeps its prompt while others are free:
  reading again costs more, and all who wait there.
* Where engines can copy from each other, a request whose shared parts another engine
  keeps brings them along (:class:`Keeper`): 4,870 tokens take 6 ms instead of 45.
* A prompt whose reading alone makes the streams beside it pause past their limit goes
  to engines set apart, one at a time (:mod:`longprompts`).
* Plain services take the server with the shortest expected time.

Sent to any server, 56 in 100 long streams had a pause that was too long; by these rules
8 in 100 (emulated engines at the usual load, ``docs/design/placing.md``).
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

import msgspec
import xxhash

from celeryspan import catalog, ids, states
from celeryspan.decisions import engines, longprompts, migration, poolservers
from celeryspan.wire import messages

PREFILL_WEIGHT = 10.0
"""Weight of reading against waiting for what is read already."""

AFFINITY_WAIT_SHARE = 0.25
"""Part of the latency objective that a request waits for the server that keeps most of
its prompt, while others are free: a few ten milliseconds against reading 5,000 tokens
again, which takes as long and keeps all others at that server waiting as well."""

REGRET_SECONDS_MIN = 0.02
"""Cost in seconds by which another server must be better to be waited for: that of
reading some 200 tokens or copying 8,000."""

RUN_COST_SECONDS = 0.002
"""What a run in progress counts for when servers are compared: spreads requests that
read nothing."""

GAP_MARGIN_SECONDS = 0.02
"""Part of the longest pause that is left for the way of an event to its caller."""

REMOTE_COST_SECONDS = 0.002
"""What another data centre counts for, there and back."""

COPY_TOKENS_MIN = 256
"""Shorter parts are read in 2 ms, as long as it takes to set up a copy."""

COPY_SETUP_SECONDS = 0.002

COPY_WEIGHT = 10.0
"""Weight of copying kept parts from another engine against waiting: it takes a tenth of
the time of reading and stops nobody, but uses links that moves need, and memory that
pushes out what other prompts share. At 3 half of all prompts on a full day were sent
beside their keeper: 134 GB copied in 50 s; at 10 a quarter less."""

FAILURE_COST_SECONDS = 2.0
"""What a server that fails all requests counts for beyond its peers."""

EXPIRY_INTERVAL_SECONDS = 0.25
"""How often runs are looked through for such as should have ended."""

EXPIRY_GRACE_SECONDS = 1.0
"""A run is forgotten this long after its timeout: its router ends it then, and if the
message was lost the place would stay taken for good."""

RUN_TIME_WEIGHT = 0.01
"""Weight of the newest run in the mean time that runs hold a place: the last hundred
runs are those of less than a second at a few engines."""


class Candidate(NamedTuple):
    """A server that a request could go to; lower costs are better.

    Attributes
    ----------
    cost : float
        Seconds of waiting, weighed.
    is_ready : bool
        Whether the server takes the request now.
    """

    cost: float
    server: ids.ServerId
    is_ready: bool


class CacheSource(NamedTuple):
    """The engine that keeps most of a prompt, and how many tokens of it."""

    cached_tokens: int
    server: ids.ServerId


NO_CACHE_SOURCE = CacheSource(0, ids.ServerId(""))

NO_CANDIDATE = Candidate(math.inf, ids.ServerId(""), False)


class Choice(NamedTuple):
    """The server that takes a request now.

    Attributes
    ----------
    regret : float
        How much better another server would be that can't take it yet, in seconds.
    """

    server: ids.ServerId
    regret: float


class Placer:
    """The servers of one pool and what runs there."""

    def __init__(self) -> None:
        self._model = engines.EngineModel()
        self._servers: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._ordered_servers: list[poolservers.PoolServer] = []
        self._removed_servers: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._slots = 0
        self._burst_pause_seconds = 0.0
        self._engine: catalog.Engine | None = None
        self._long_prompts = longprompts.LongPrompts()
        self._median_slowdown = 1.0
        self._mean_run_seconds = 0.0
        self._next_expiry_at = 0.0

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set which servers may get new work; runs at the others go on."""
        self._engine = engine
        known = {**self._removed_servers, **self._servers}
        self._servers = {}
        for entry in entries:
            server = known.pop(entry.server, None)
            if server is None or entry.succeeds(server.entry):
                # A server that has started again keeps no prompt and runs nothing; its
                # earlier incarnation's places and speed would mislead for seconds.
                server = _make_server(entry, engine)
                server.slowdown = self._median_slowdown
            server.entry = entry
            self._servers[entry.server] = server
        self._ordered_servers = sorted(
            self._servers.values(), key=lambda each: each.order
        )
        self._slots = sum(entry.slots for entry in entries)
        self._burst_pause_seconds = self._model.rest_seconds(engine) if engine else 0.0
        self._removed_servers = {
            name: server for name, server in known.items() if server.runs
        }

    def exceeds_memory(self, ask: messages.SlotRequest) -> bool:
        """Whether no server could ever run the request."""
        engine = self._engine
        tokens = ask.prompt_tokens + ask.output_tokens
        return engine is not None and tokens > engine.memory_tokens

    def pop_unqueried(self) -> list[catalog.ServerEntry]:
        """Return the engines that are to be asked what they keep; each comes once.

        A home that has just taken a pool over, or has just started, would read all
        shared parts again, and take prompts of which most is kept for long ones.
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
        """Take in what an engine says that it keeps.

        Parameters
        ----------
        asked : ServerEntry
            As the engine was asked; what an earlier incarnation says is worth nothing.
        """
        server = self._servers.get(asked.server)
        if server is not None and not server.entry.succeeds(asked):
            server.cache.add_cached_parts(parts, now)

    def record_arrival(self, ask: messages.SlotRequest, now: float) -> None:
        """Count the reading of long prompts, so that engines are set apart for it."""
        if self._engine is None:
            return
        cached = self._count_most_cached(ask)
        pause = self._make_prompt(ask).pause(cached, 1.0)
        prefill = self._model.read_seconds(ask.prompt_tokens - cached, cached)
        self._long_prompts.record_arrival(pause, _pause_limit(ask), prefill, now)

    def is_long(self, ask: messages.SlotRequest) -> bool:
        """Whether a prompt is long at the server that keeps most of it."""
        if self._engine is None:
            return False
        return self._is_long(ask, self._count_most_cached(ask))

    def has_capacity(self, is_long: bool, now: float) -> bool:
        """Whether any server may get more now, a long prompt or another request."""
        for server in self._list_eligible(is_long, now):
            if not server.is_available(now):
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
        """Return the servers for long prompts, or for other requests.

        The same engines are set apart for long ones while their number lasts. Others go
        there only when all the rest is full, so that no place idles while they wait.
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
        self, ask: messages.SlotRequest, waited: float, now: float
    ) -> Choice | None:
        """Return the server that takes a request now, or None.

        Parameters
        ----------
        waited : float
            Time that the request has waited here, in seconds.
        """
        excluded: Collection[ids.ServerId] = ask.excluded
        if len(excluded) >= len(self._servers):
            excluded = ()  # One that has failed the request may still be all there is.
        if ask.isolation:
            if not self.can_isolate(ask):
                return None
            excluded = {*excluded, *self._find_isolated_runs()}
        if self._engine is None:
            return self._choose_plain(ask, excluded, now)
        return self._choose_engine(ask, excluded, waited, now)

    def can_isolate(self, ask: messages.SlotRequest) -> bool:
        """Whether a request that must run apart could get a place now.

        It runs once at a time, and beside no other such request: if its server
        crashes, no other one can be the cause.
        """
        running = self._find_isolated_runs()
        is_alone = all(ask.isolation not in found for found in running.values())
        return is_alone and not self._servers.keys() <= running.keys()

    def _find_isolated_runs(self) -> dict[ids.ServerId, set[int]]:
        """Return the servers at which requests run apart, and which ones."""
        found: dict[ids.ServerId, set[int]] = {}
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            dedicated = {run.isolation for run in server.runs.values() if run.isolation}
            if dedicated:
                found[server.entry.server] = dedicated
        return found

    def start_run(
        self,
        ask: messages.SlotRequest,
        router: ids.RouterId,
        name: ids.ServerId,
        end_at: float,
        now: float,
    ) -> poolservers.Run:
        """Take a place for a request."""
        server = self._servers[name]
        cached, copy, source = self._plan_copy(
            ask, server, self._find_cache_source(ask, now)
        )
        prefill = 0.0
        if self._engine is not None:
            prefill = self._make_prompt(ask).read(
                cached, len(server.runs), server.slowdown
            )
            prefill += copy
        pending = server.pending_seconds(now)
        prefill_done_at = max(now, server.prefill_done_at) + prefill
        due_at = prefill_done_at + self._model.first_seconds
        pause = 0.0
        if self._engine is not None:
            pause = self._make_prompt(ask).pause(cached, server.slowdown)
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
        )
        server.add(ask.request, run, now, self._burst_pause_seconds)
        server.cache.record_use(ask.parts, due_at)
        return run

    def restore_run(
        self, router: ids.RouterId, run: messages.RunHeld, now: float
    ) -> None:
        """Take in a run that another home has placed."""
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
        """Note the first event of a run."""
        server = self._find(name)
        if server is None:
            return
        samples = server.slowdown_samples
        server.begin(request, self._model.first_seconds, now)
        if server.slowdown_samples != samples:
            self._share_slowdown()

    def _share_slowdown(self) -> None:
        """Let servers that have read nothing yet be taken for as fast as the others.

        The model's times are those of one kind of engine. On another kind each server
        would first be sent twice what it can read in time, and again after a restart.
        """
        known = [
            each.slowdown for each in self._ordered_servers if each.slowdown_samples
        ]
        self._median_slowdown = statistics.median(known) if known else 1.0
        for server in self._ordered_servers:
            if not server.slowdown_samples:
                server.slowdown = self._median_slowdown

    def migrate(
        self, request: ids.RequestId, name: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Return where a run that has begun is to go on, and hold a place there."""
        source = self._servers.get(name)
        run = source.runs.get(request) if source else None
        if run is None or self._engine is None or not run.is_long or run.isolation:
            return None
        if not migration.pays(self._engine, run.output_tokens):
            return None
        dedicated = self._ordered_servers[: self.count_dedicated()]
        if source not in dedicated:
            return None
        target = migration.choose_target(source, self._list_eligible(False, now), now)
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
        """Give back the place that a moved run has left, or was not taken."""
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
    ) -> None:
        """Give a place back and learn from how the run ended.

        Parameters
        ----------
        pause : float
            Longest time between two events of its stream; 0 if it doesn't tell.
        """
        server = self._find(name)
        run = server.remove(request, now) if server else None
        if run is None:
            return
        if not server.runs:
            self._removed_servers.pop(name, None)
        server.record_ending(ending, now - run.since, now)
        if ending is states.RunEnding.ANSWERED:
            self._mean_run_seconds += (
                now - run.since - self._mean_run_seconds
            ) * RUN_TIME_WEIGHT
            if run.expected_pause and pause:
                self._long_prompts.record_pause(run.expected_pause, pause)

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the runs of a router that is dead."""
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            server.forget(router)

    def expire(self, now: float) -> None:
        """Drop runs whose end was never told."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_SECONDS
        self._long_prompts.update(now)
        for server in [*self._servers.values(), *self._removed_servers.values()]:
            server.expire(now - EXPIRY_GRACE_SECONDS)

    def count_servers(self) -> int:
        """Return how many servers may get new work."""
        return len(self._servers)

    def count_runs(self) -> int:
        """Return how many places are taken."""
        return sum(
            len(server.runs)
            for server in [*self._servers.values(), *self._removed_servers.values()]
        )

    def measure_pending(self, now: float) -> float:
        """Return how long reading that was begun takes, over all servers, in seconds.

        Only so much counts at one server as is ever sent to one at a time: a server
        that has stopped must not make a whole pool look full.
        """
        if not self._servers:
            return 0.0
        most = poolservers.PENDING_PREFILL_SECONDS_MAX
        pending = sum(
            min(server.pending_seconds(now), most) for server in self._ordered_servers
        )
        return pending / len(self._servers)

    def estimate_slot_wait(self, waiting: int) -> float:
        """Return when so many requests have found free places, in seconds."""
        taken = sum(len(server.runs) for server in self._ordered_servers)
        missing = waiting + 1 - (self._slots - taken)
        return max(0, missing) * self._mean_run_seconds / max(1, self._slots)

    def estimate_work(self, ask: messages.SlotRequest) -> float:
        """Return the time that a request takes of one server, if nothing is kept.

        For plain calls, of one place.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS_INITIAL
        return self._model.read_seconds(ask.prompt_tokens, 0)

    def estimate_wait(self, work: float) -> float:
        """Return the time in which so much work will have been placed, in seconds."""
        parts = self._slots if self._engine is None else len(self._servers)
        return work / max(1, parts)

    def estimate_first_event(self, ask: messages.SlotRequest) -> float:
        """Return the time from a place to the first event, if the best server is free.

        For plain calls, to the answer.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS_INITIAL
        cached = self._count_most_cached(ask)
        unread = max(0, ask.prompt_tokens - cached)
        return self._model.first_seconds + self._model.read_seconds(unread, cached)

    def count_dedicated(self) -> int:
        """Return how many engines are set apart for long prompts."""
        return self._long_prompts.count_dedicated(len(self._servers))

    def _find_cache_source(self, ask: messages.SlotRequest, now: float) -> CacheSource:
        """Return the engine that keeps most of a prompt, if engines copy."""
        best = NO_CACHE_SOURCE
        if self._engine is None or not self._engine.copy_token_seconds:
            return best
        for server in self._ordered_servers:
            cached = server.cache.count_copyable(ask.parts, now)
            if cached > best.cached_tokens and not server.health.is_backing_off(now):
                best = CacheSource(cached, server.entry.server)
        return best

    def _plan_copy(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        cache_source: CacheSource,
    ) -> tuple[int, float, ids.ServerId | None]:
        """Return what need not be read, the time to copy it, and from where."""
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

    def _find(self, name: ids.ServerId) -> poolservers.PoolServer | None:
        return self._servers.get(name) or self._removed_servers.get(name)

    def _choose_plain(
        self, ask: messages.SlotRequest, excluded: Collection[ids.ServerId], now: float
    ) -> Choice | None:
        available = [
            server
            for server in self._ordered_servers
            if server.is_available(now) and server.entry.server not in excluded
        ]
        if not available:
            return None
        healthy = min(server.health.failure_rate for server in available)

        def cost(server: poolservers.PoolServer) -> tuple[float, str]:
            use = (len(server.runs) + 1) / server.entry.slots
            failing = (server.health.failure_rate - healthy) * FAILURE_COST_SECONDS
            return (
                server.call_seconds * (1.0 + use) + failing + _remote_cost(server, ask),
                server.entry.server,
            )

        return Choice(min(available, key=cost).entry.server, 0.0)

    def _choose_engine(
        self,
        ask: messages.SlotRequest,
        excluded: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> Choice | None:
        best = ready = NO_CANDIDATE
        prompt = self._make_prompt(ask)
        cache_source = self._find_cache_source(ask, now)
        for is_long in (False, True):
            for server in self._list_eligible(is_long, now):
                if not server.is_available(now) or server.entry.server in excluded:
                    continue
                cached, copy, _ = self._plan_copy(ask, server, cache_source)
                if prompt.is_long(cached, server.slowdown) is not is_long:
                    continue
                prefill = prompt.read(cached, len(server.runs), server.slowdown)
                option = self._make_candidate(ask, server, prefill, copy, is_long, now)
                best = min(best, option)
                ready = min(ready, option) if option.is_ready else ready
        if not ready.is_ready:
            return None
        regret = ready.cost - best.cost
        patience = (
            AFFINITY_WAIT_SHARE * ask.objective if regret > REGRET_SECONDS_MIN else 0.0
        )
        return None if ask.waited + waited < patience else Choice(ready.server, regret)

    def _make_candidate(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        prefill: float,
        copy: float,
        is_long: bool,
        now: float,
    ) -> Candidate:
        """Return what it would mean to place a request at a server."""
        pending = server.pending_seconds(now)
        cost = pending + PREFILL_WEIGHT * prefill + RUN_COST_SECONDS * len(server.runs)
        cost += COPY_WEIGHT * copy
        cost += server.health.failure_rate * FAILURE_COST_SECONDS + _remote_cost(
            server, ask
        )
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
        """Whether a server may get one more prompt now."""
        burst = server.measure_burst(self._burst_pause_seconds, now)
        if burst <= 0.0 and pending <= 0.0:
            return True
        steps = self._model.gap_seconds(0, 0, ask.stride, len(server.runs))
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
        self, ask: messages.SlotRequest, cached: int, speed: float = 1.0
    ) -> bool:
        return self._make_prompt(ask).is_long(cached, speed)


def _make_server(
    entry: catalog.ServerEntry, engine: catalog.Engine | None
) -> poolservers.PoolServer:
    order = xxhash.xxh3_64_intdigest(entry.server.encode())
    return poolservers.PoolServer(entry, engine, order)


def _pause_limit(ask: messages.SlotRequest) -> float:
    """Return the longest pause that streams like this may make, in seconds."""
    return ask.gap_max - GAP_MARGIN_SECONDS


def _remote_cost(server: poolservers.PoolServer, ask: messages.SlotRequest) -> float:
    return 0.0 if server.entry.data_centre == ask.data_centre else REMOTE_COST_SECONDS
