"""Selects the backend server of a pool that takes a request, and tracks its run.

* Requests to model engines go where their prompt is cached and little prefill is
  pending (:mod:`engineplacing`).
* Requests to plain services go to the server with the shortest expected time
  (:mod:`plainplacing`).
* A cold server is not available once it has got as many requests as it tolerates
  (:mod:`coldstart`).
* A server that rejects requests gets trials, and what no other server has a slot for
  (:mod:`rejections`); no retry goes to a server that is expected to reject it.
* A server gets nothing from a router that it has asked for a rest
  (:mod:`announcements`). Other routers avoid it, because it is likely to be overloaded.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import (
    cachecopies,
    candidates,
    engineplacing,
    migration,
    plainplacing,
    poolservers,
    streamversions,
)
from celeryspan.wire import messages

EXPIRY_INTERVAL_SECONDS = 0.25
"""Interval between checks for runs that should have ended."""

EXPIRY_GRACE_SECONDS = 1.0
"""Time after its timeout at which a run is dropped. Its router ends it at the timeout;
if that message is lost, the slot would otherwise never be freed."""

RUN_TIME_WEIGHT = 0.01
"""Weight of the newest run in the mean run time, which thus covers about a hundred
runs: those of less than a second at a few engines."""


UNKNOWN_ROUTER = ids.RouterId("")


class Placer(engineplacing.EngineTable):
    """Assigns requests to the servers of one pool and tracks their runs."""

    def __init__(self) -> None:
        super().__init__()
        self._mean_run_seconds = 0.0
        self._has_reports = False
        self._next_expiry_at = 0.0

    def has_reporting_engines(self) -> bool:
        """Whether the servers are engines and any of them has reported its load."""
        return self._has_reports and self._engine is not None

    def choose(
        self,
        ask: messages.SlotRequest,
        waited: float,
        now: float,
        router: ids.RouterId = UNKNOWN_ROUTER,
    ) -> candidates.Choice | None:
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

    def _choose_plain(
        self, ask: messages.SlotRequest, excluded: Collection[ids.ServerId], now: float
    ) -> candidates.Choice | None:
        available = [
            server
            for server in self._ordered_servers
            if server.is_available(now) and server.entry.server not in excluded
        ] or [
            server
            for server in self._list_available_for_rest(now)
            if server.entry.server not in excluded
        ]
        tried = self._find_trial(available, now)
        if tried is not None:
            return candidates.Choice(tried.entry.server, 0.0)
        return plainplacing.choose(available, ask, now)

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
        cached, copy_seconds, source = cachecopies.plan(
            self._engine,
            ask,
            server,
            cachecopies.find_sources(self._ordered_servers, self._engine, ask, now),
        )
        prefill = 0.0
        pace = server.measure_pace(now)
        if self._engine is not None:
            prefill = self._make_prompt(ask).prefill_seconds(
                cached, len(server.runs), server.slowdown * pace
            )
            prefill += copy_seconds
        pending = server.pending_seconds(now)
        prefill_done_at = max(now, server.prefill_done_at) + prefill
        due_at = prefill_done_at + self._model.first_event_seconds * pace
        pause = 0.0
        if self._engine is not None:
            pause = self._make_prompt(ask).gap_seconds(cached, server.slowdown)
        limit = engineplacing.limit_pause(ask)
        run = poolservers.Run(
            router=router,
            since=now,
            cached_tokens=cached,
            pending_seconds=pending,
            prefill_seconds=prefill,
            slowdown=server.slowdown * pace,
            due_at=due_at,
            end_at=end_at,
            is_long=self._long_prompts.is_long(pause, limit),
            pause=pause * pace if pause > limit else 0.0,
            output_tokens=ask.output_tokens,
            parts=ask.parts,
            source=source,
            isolation=ask.isolation,
            account=ask.account,
            pace=pace,
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

    def begin(
        self,
        request: ids.RequestId,
        name: ids.ServerId,
        now: float,
        load: messages.LoadReport | None = None,
    ) -> None:
        """Record the first event of a run and the load that its server reported."""
        server = self._find(name)
        if server is None:
            return
        if load is not None:
            server.record_load(request, load, now)
            self._has_reports = True
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
        targets = [
            server
            for server in self._list_eligible(False, now)
            if streamversions.may_continue(server.entry, source.entry.version)
        ]
        target = migration.choose_target(source, targets, now)
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
        load: messages.LoadReport | None = None,
    ) -> poolservers.Run | None:
        """Free the slot of a run and learn from how it ended; returns the run.

        Parameters
        ----------
        pause : float
            Longest time between two events of its stream; 0 if unknown.
        load : LoadReport, optional
            The load that its server reported.
        """
        server = self._find(name)
        if server is not None and load is not None:
            server.record_load(request, load, now)
            self._has_reports = True
        run = server.remove(request, now) if server else None
        if run is None:
            return None
        if not server.runs:
            self._removed_servers.pop(name, None)
        server.record_ending(ending, run, now)
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
