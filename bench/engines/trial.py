"""Simulates the home of a pool and emulated engines on a virtual clock."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable, Sequence

import msgspec

from bench.engines import engine, loads, policies, site
from celeryspan import catalog, ids, states
from celeryspan.decisions import pools
from celeryspan.wire import messages

TICK_SECONDS = 0.005
"""Interval at which the home places waiting requests, as in the routers."""

PATIENCE_OBJECTIVES = 4.0
PATIENCE_SECONDS = 2.0
"""Callers disconnect if the first event takes longer than the larger of the two."""

ROUTER = ids.RouterId("router")


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one request."""

    arrival: loads.Arrival
    job: engine.Job | None = None
    is_refused: bool = False
    is_ended: bool = False

    @property
    def first(self) -> float | None:
        """Time to the first event, in seconds."""
        if self.job is None or not self.job.events:
            return None
        return self.job.events[0] - self.arrival.at

    @property
    def gap(self) -> float:
        """Longest gap between events, in seconds."""
        events = self.job.events if self.job else []
        pairs = itertools.pairwise(events)
        return max((after - before for before, after in pairs), default=0.0)

    @property
    def in_time(self) -> bool:
        """Whether the answer was complete and met its objectives."""
        ask = self.arrival.ask
        return (
            self.is_ended
            and self.first is not None
            and self.first <= ask.objective
            and self.gap <= ask.gap_max
        )

    @property
    def is_abandoned(self) -> bool:
        """Whether the caller disconnected before the first event."""
        limit = max(PATIENCE_SECONDS, PATIENCE_OBJECTIVES * self.arrival.ask.objective)
        return not self.is_refused and (self.first is None or self.first > limit)


class Result:
    """Latencies and refusals seen by callers, and the work done by the engines."""

    def __init__(
        self,
        outcomes: Sequence[Outcome],
        engines: Sequence[engine.Engine],
        slots: int,
        moved_tokens: int = 0,
        fetched_tokens: int = 0,
    ) -> None:
        self.outcomes = outcomes
        self.moved_tokens = moved_tokens
        self.fetched_tokens = fetched_tokens
        self.requests = len(outcomes)
        self.refused = sum(outcome.is_refused for outcome in outcomes)
        self.abandoned = sum(outcome.is_abandoned for outcome in outcomes)
        jobs = [outcome.job for outcome in outcomes if outcome.job]
        self.prefilled_tokens = sum(job.prefilled_tokens for job in jobs)
        self.recomputed_tokens = sum(job.recomputed_tokens for job in jobs)
        self.runs_by_engine = [each.runs for each in engines]
        self.utilisation = measure_utilisation(jobs, engines, slots, outcomes)
        self.tokens_by_account: collections.Counter[ids.AccountId] = (
            collections.Counter()
        )
        for outcome in outcomes:
            if outcome.job is not None:
                ask = outcome.arrival.ask
                self.tokens_by_account[ask.account] += ask.prompt_tokens

    def find(self, kind: str) -> list[Outcome]:
        """Return the outcomes of one kind of request."""
        return [outcome for outcome in self.outcomes if outcome.arrival.kind == kind]

    def share_in_time(self, kind: str) -> float:
        """Return the fraction of a kind that was answered on time."""
        outcomes = self.find(kind)
        return sum(outcome.in_time for outcome in outcomes) / max(1, len(outcomes))

    def share_served(self, kind: str) -> float:
        """Return the fraction of a kind that was answered."""
        outcomes = self.find(kind)
        return sum(outcome.is_ended for outcome in outcomes) / max(1, len(outcomes))

    def share_of_served_in_time(self, kind: str) -> float:
        """Return the fraction of the answered requests that were on time."""
        outcomes = [outcome for outcome in self.find(kind) if outcome.is_ended]
        return sum(outcome.in_time for outcome in outcomes) / max(1, len(outcomes))

    def share_with_late_gap(self, kind: str) -> float:
        """Return the fraction of a kind whose longest gap exceeded the limit."""
        outcomes = self.find(kind)
        late = [each for each in outcomes if each.gap > each.arrival.ask.gap_max]
        return len(late) / max(1, len(outcomes))

    def share_with_late_first(self, kind: str) -> float:
        """Return the fraction of a kind whose first event missed the objective."""
        outcomes = self.find(kind)
        late = [
            each
            for each in outcomes
            if each.first is not None and each.first > each.arrival.ask.objective
        ]
        return len(late) / max(1, len(outcomes))


def measure_utilisation(
    jobs: Sequence[engine.Job],
    engines: Iterable[engine.Engine],
    slots: int,
    outcomes: Sequence[Outcome],
) -> float:
    """Return the mean utilisation of the engines over the middle half of the arrivals.

    The utilisation of an engine is its share of occupied slots or its share of time
    spent on prefill, whichever is larger.
    """
    times = sorted(outcome.arrival.at for outcome in outcomes)
    begin, end = times[len(times) // 4], times[3 * len(times) // 4]
    utilisations = []
    for each in engines:
        occupied = sum(
            max(
                0.0, min(end, job.events[-1] if job.events else end) - max(begin, start)
            )
            for job in jobs
            if job.engine == each.name and (start := job.started) < end
        )
        prefill = sum(seconds for at, seconds in each.prefills if begin <= at < end)
        utilisations.append(max(occupied / slots, prefill) / max(end - begin, 1e-9))
    return sum(utilisations) / len(utilisations)


class Trial:
    """The state of one simulation: event queue, engines and the home of their pool."""

    def __init__(
        self,
        deployment: site.Site,
        arrivals: Sequence[loads.Arrival],
        seed: int,
        policy: str = "ledger",
    ) -> None:
        self._site = deployment
        self._engines = {
            (name := ids.ServerId(f"engine-{index:02}")): engine.Engine(
                name, deployment, deployment.slow.get(index, 1.0)
            )
            for index in range(deployment.engines)
        }
        self._pool = policies.REGISTRY[policy](random.Random(seed))
        self._pool.set_servers(
            [self._make_entry(name) for name in self._engines],
            catalog.Engine(
                deployment.slots,
                deployment.memory_tokens,
                deployment.stride,
                deployment.moves,
                deployment.move_token_seconds if deployment.fetches else 0.0,
            ),
        )
        self._outcomes = {each.ask.request: Outcome(each) for each in arrivals}
        self._servers: dict[ids.RequestId, ids.ServerId] = {}
        self._known_parts: set[str] = set()
        self.moved_tokens = self.fetched_tokens = 0
        self._order = itertools.count()
        self._queue: list[tuple] = []
        for each in arrivals:
            ask = msgspec.structs.replace(each.ask, stride=deployment.stride)
            self._schedule(
                each.at + ask.waited + deployment.message_seconds, "ask", ask
            )

    def play(self, until: float) -> Result:
        """Run until no event is left or the clock reaches ``until``."""
        self._schedule(0.0, "tick", None)
        while self._queue:
            now, _, kind, value = heapq.heappop(self._queue)
            if now > until:
                break
            getattr(self, f"_do_{kind}")(value, now)
        engines = list(self._engines.values())
        outcomes = list(self._outcomes.values())
        copied = (self.moved_tokens, self.fetched_tokens)
        return Result(outcomes, engines, self._site.slots, *copied)

    def _schedule(self, at: float, kind: str, value: object) -> None:
        heapq.heappush(self._queue, (at, next(self._order), kind, value))

    def _do_ask(self, ask: messages.SlotRequest, now: float) -> None:
        waited = ask.waited + self._site.message_seconds
        delayed = msgspec.structs.replace(ask, waited=waited)
        self._send_answers(self._pool.ask(ROUTER, delayed, now), now)

    def _do_tick(self, _: None, now: float) -> None:
        self._send_answers(self._pool.tick(now), now)
        if any(kind != "tick" for _, _, kind, _ in self._queue):
            self._schedule(now + TICK_SECONDS, "tick", None)

    def _do_fetch(self, offer: messages.SlotOffer, now: float) -> None:
        """Copy the parts that another engine has cached, then start the run."""
        parts = self._outcomes[offer.request].arrival.ask.parts
        cached = parts[: self._engines[offer.source].count_cached(parts)]
        present = self._engines[offer.server].count_cached(parts)
        tokens = sum(part.tokens for part in cached[present:])
        self.fetched_tokens += tokens
        self._engines[offer.server].cache_parts(cached)
        copy = self._site.move_seconds + tokens * self._site.move_token_seconds
        self._schedule(now + copy, "start", offer)

    def _do_start(self, offer: messages.SlotOffer, now: float) -> None:
        outcome = self._outcomes[offer.request]
        job = engine.Job(outcome.arrival.ask, outcome.arrival.output_tokens, 0, 0)
        outcome.job = job
        self._servers[offer.request] = offer.server
        target_engine = self._engines[offer.server]
        is_idle = target_engine.next_step_at is None
        target_engine.add(job, self._known_parts, now)
        if is_idle:
            self._schedule(now, "step", target_engine)

    def _do_step(self, running: engine.Engine, _: float) -> None:
        emitted, ended = running.step(self._known_parts)
        next_step_at = (running.next_step_at or 0.0) if running.next_step_at else None
        for job in emitted:
            if len(job.events) == 1:
                self._schedule(job.events[0] + self._delay(), "begun", job.ask)
        for job in ended:
            self._outcomes[job.ask.request].is_ended = True
            self._schedule(job.events[-1] + self._delay(), "ended", job.ask)
        if next_step_at is not None:
            self._schedule(next_step_at, "step", running)

    def _do_begun(self, ask: messages.SlotRequest, now: float) -> None:
        target = self._pool.begin(ask.request, self._servers[ask.request], now)
        if target is not None:
            self._schedule(now + 2 * self._delay(), "stop", (ask.request, target))

    def _do_stop(self, move: tuple[ids.RequestId, ids.ServerId], now: float) -> None:
        """Stop a run that migrates and copy its context, unless it has ended."""
        request, target = move
        job = self._outcomes[request].job
        if self._engines[self._servers[request]].remove(job):
            self.moved_tokens += job.context_tokens
            copy = (
                self._site.move_seconds
                + job.context_tokens * self._site.move_token_seconds
            )
            self._schedule(now + copy + 2 * self._delay(), "resume", move)
        else:
            self._settle(request, target, now, is_moved=False)

    def _do_resume(self, move: tuple[ids.RequestId, ids.ServerId], now: float) -> None:
        request, target = move
        target_engine = self._engines[target]
        is_idle = target_engine.next_step_at is None
        target_engine.resume(self._outcomes[request].job, now)
        if is_idle:
            self._schedule(now, "step", target_engine)
        self._settle(request, target, now, is_moved=True)
        self._servers[request] = target

    def _settle(
        self,
        request: ids.RequestId,
        target: ids.ServerId,
        now: float,
        *,
        is_moved: bool,
    ) -> None:
        moved = messages.RunMoved(
            request, ids.PoolId(""), self._servers[request], target, is_moved
        )
        self._pool.settle_migration(moved, now)

    def _do_ended(self, ask: messages.SlotRequest, now: float) -> None:
        server = self._servers[ask.request]
        pause = self._outcomes[ask.request].gap
        self._pool.end(ask.request, server, states.RunEnding.ANSWERED, now, pause)

    def _send_answers(self, answers: Sequence[pools.Answer], now: float) -> None:
        for answer in answers:
            if isinstance(answer.message, messages.SlotOffer):
                kind = "fetch" if answer.message.source else "start"
                self._schedule(now + self._delay(), kind, answer.message)
            else:
                self._outcomes[answer.message.request].is_refused = True

    def _delay(self) -> float:
        return self._site.message_seconds

    def _make_entry(self, name: ids.ServerId) -> catalog.ServerEntry:
        return catalog.ServerEntry(
            server=name,
            service=ids.ServiceId("engines"),
            address=ids.Address("127.0.0.1", 1),
            data_centre=ids.DataCentreId("here"),
            slots=self._site.slots,
            is_leaving=False,
            revision=1,
        )


def play(
    deployment: site.Site,
    arrivals: Sequence[loads.Arrival],
    *,
    seed: int = 0,
    until: float = 60.0,
    policy: str = "ledger",
) -> Result:
    """Simulate a deployment; deterministic for a given seed."""
    return Trial(deployment, arrivals, seed, policy).play(until)
