"""Selects the model engine of a pool that takes a request.

* A request goes to the engine that has its prompt cached and the least pending prefill.
  Prefilling parts again weighs ten times as much as waiting, because it delays every
  other request as well.
* At most a tenth of a second of prefill is pending at an engine. More would delay first
  events, and a request that hasn't been sent can still go to another engine.
* An engine that has prefilled for as long as a stream beside it may pause completes all
  pending prefill before it gets more, so that a step without prefill comes between.
* A request waits briefly for the engine that has its prompt cached while others are
  free: prefilling again costs more and delays everything waiting there.
* Where engines can copy from each other, cached parts are copied from the engine that
  has most of the prompt (:mod:`cachecopies`).
* A prompt whose prefill alone makes the streams beside it pause past their limit goes
  to a dedicated engine, one at a time (:mod:`longprompts`).

Without these rules most long streams pause beside long prompts. The figures stand in
``docs/design/placing.md``.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from celeryspan import catalog, ids
from celeryspan.decisions import (
    cachecopies,
    candidates,
    engines,
    longprompts,
    poolservers,
    serverpaces,
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


class EngineTable(servertable.ServerTable):
    """The servers of one pool, and the choice among them if they are engines."""

    def __init__(self) -> None:
        super().__init__()
        self._model = engines.EngineModel()
        self._burst_pause_seconds = 0.0
        self._long_prompts = longprompts.LongPrompts()

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
        self._long_prompts.record_arrival(pause, limit_pause(ask), prefill, now)

    def is_long(self, ask: messages.SlotRequest) -> bool:
        """Whether a prompt is long at the server that caches most of it."""
        if self._engine is None:
            return False
        return self._is_long(ask, self._count_most_cached(ask))

    def has_capacity(self, is_long: bool, now: float) -> bool:
        """Whether any server can take a long prompt, or any other request, now."""
        eligible = self._list_eligible(is_long, now)
        for server in eligible:
            if server.is_available(now) and self._has_room(server, is_long, now):
                return True
        if not self._has_rejecting():
            return False
        partial = self._list_available_for_rest(now)
        return any(
            server in partial and self._has_room(server, is_long, now)
            for server in eligible
        )

    def _has_room(
        self, server: poolservers.PoolServer, is_long: bool, now: float
    ) -> bool:
        """Whether an engine with a free slot can begin to prefill a prompt soon."""
        if is_long:
            return not server.is_prefilling_long()
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

    def count_dedicated(self) -> int:
        """Return the number of engines dedicated to long prompts."""
        return self._long_prompts.count_dedicated(len(self._servers))

    def _count_most_cached(self, ask: messages.SlotRequest) -> int:
        return max(
            (s.cache.count_cached(ask.parts) for s in self._ordered_servers), default=0
        )

    def _choose_engine(
        self,
        ask: messages.SlotRequest,
        excluded: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> candidates.Choice | None:
        found = self._choose_engine_among(None, ask, excluded, waited, now)
        if found is None and self._has_rejecting():
            partial = self._list_available_for_rest(now)
            found = self._choose_engine_among(partial, ask, excluded, waited, now)
        return found

    def _choose_engine_among(
        self,
        allowed: Collection[poolservers.PoolServer] | None,
        ask: messages.SlotRequest,
        excluded: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> candidates.Choice | None:
        """Return the engine to use among some, or among all that are available."""
        best = ready = candidates.NO_CANDIDATE
        prompt = self._make_prompt(ask)
        cache_sources = cachecopies.find_sources(
            self._ordered_servers, self._engine, ask, now
        )
        for is_long in (False, True):
            for server in self._list_candidates(ask.version, is_long, now):
                if server.entry.server in excluded or not (
                    server.is_available(now) if allowed is None else server in allowed
                ):
                    continue
                cached, copy_seconds, _ = cachecopies.plan(
                    self._engine, ask, server, cache_sources
                )
                if prompt.is_long(cached, server.slowdown) is not is_long:
                    continue
                # The prefill at the usual pace of the server's VM.
                prefill = prompt.prefill_seconds(
                    cached, len(server.runs), server.slowdown
                )
                candidate = self._make_candidate(
                    ask, server, prefill, copy_seconds, is_long, now
                )
                if candidate.is_ready and server.is_trial_due(now):
                    return candidates.Choice(server.entry.server, 0.0)
                best = min(best, candidate)
                ready = min(ready, candidate) if candidate.is_ready else ready
        if not ready.is_ready:
            return None
        # A request doesn't wait only because an idle engine is slow at the moment.
        regret = min(ready.cost - best.cost, ready.usual_cost - best.usual_cost)
        wait = (
            AFFINITY_WAIT_SHARE * ask.objective if regret > REGRET_SECONDS_MIN else 0.0
        )
        return (
            None
            if ask.waited + waited < wait
            else candidates.Choice(ready.server, regret)
        )

    def _list_candidates(
        self, version: ids.SoftwareVersion, is_long: bool, now: float
    ) -> Sequence[poolservers.PoolServer]:
        """Return the servers for a request; all of its version if none is eligible."""
        eligible = self._list_eligible(is_long, now)
        if not version:
            return eligible
        found = [
            server
            for server in self._ordered_servers
            if streamversions.may_continue(server.entry, version)
        ]
        return [server for server in found if server in eligible] or found

    def _make_candidate(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        prefill: float,
        copy_seconds: float,
        is_long: bool,
        now: float,
    ) -> candidates.Candidate:
        """Return the cost of placing a request at a server, and whether it is ready."""
        pending = server.pending_seconds(now)
        pace, present = 1.0, len(server.runs)
        if server.pace is not None:
            pace = server.measure_pace(now)
            present += server.count_others(now)
        cost = pending + PREFILL_WEIGHT * prefill + RUN_COST_SECONDS * present
        cost += cachecopies.COPY_WEIGHT * copy_seconds
        cost += server.health.failure_rate * candidates.FAILURE_COST_SECONDS
        cost += candidates.estimate_remote_cost(
            server, ask
        ) + candidates.estimate_resting_cost(server)
        if is_long:
            is_ready = not server.is_prefilling_long()
        else:
            is_ready = self._can_admit(ask, server, pending, prefill, pace, now)
        if pace == 1.0:
            return candidates.Candidate(cost, server.entry.server, is_ready, cost)
        slow = serverpaces.estimate_slow_cost(pace)
        slow += (PREFILL_WEIGHT * prefill + RUN_COST_SECONDS * present) * (pace - 1.0)
        return candidates.Candidate(cost + slow, server.entry.server, is_ready, cost)

    def _can_admit(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        pending: float,
        prefill: float,
        pace: float,
        now: float,
    ) -> bool:
        """Whether a server can take one more prompt now."""
        burst = server.measure_burst(self._burst_pause_seconds, now)
        if burst <= 0.0 and pending <= 0.0:
            return True
        steps = self._model.max_gap_seconds(0, 0, ask.stride, len(server.runs))
        longest = limit_pause(ask) - steps * server.slowdown * pace
        prefill *= pace
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
            limit_pause(ask) / self._long_prompts.ratio,
            self._engine.stride,
            self._engine.slots // 2,
        )

    def _is_long(
        self, ask: messages.SlotRequest, cached: int, slowdown: float = 1.0
    ) -> bool:
        return self._make_prompt(ask).is_long(cached, slowdown)


def limit_pause(ask: messages.SlotRequest) -> float:
    """Return the longest pause allowed for the streams of a request, in seconds."""
    return ask.gap_max - GAP_MARGIN_SECONDS
