"""Plays requests to the home of a pool and to emulated engines, on a virtual clock."""

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
"""As the routers' homes do."""

GIVE_UP_OBJECTIVES = 4.0
GIVE_UP_SECONDS = 2.0
"""Callers leave after the longer of the two without an event."""

ROUTER = ids.RouterId("router")


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request."""

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
        """Longest pause between events, in seconds."""
        events = self.job.events if self.job else []
        pairs = itertools.pairwise(events)
        return max((after - before for before, after in pairs), default=0.0)

    @property
    def in_time(self) -> bool:
        """Whether the answer was whole and on time."""
        ask = self.arrival.ask
        return (
            self.is_ended
            and self.first is not None
            and self.first <= ask.objective
            and self.gap <= ask.gap_max
        )

    @property
    def gave_up(self) -> bool:
        """Whether the caller left before a first event."""
        limit = max(GIVE_UP_SECONDS, GIVE_UP_OBJECTIVES * self.arrival.ask.objective)
        return not self.is_refused and (self.first is None or self.first > limit)


class Result:
    """What callers got, and what the engines did."""

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
        self.asked = len(outcomes)
        self.refused = sum(outcome.is_refused for outcome in outcomes)
        self.gave_up = sum(outcome.gave_up for outcome in outcomes)
        jobs = [outcome.job for outcome in outcomes if outcome.job]
        self.read = sum(job.read for job in jobs)
        self.read_again = sum(job.read_again for job in jobs)
        self.runs_by_engine = [each.runs for each in engines]
        self.use = measure_use(jobs, engines, slots, outcomes)
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
        """Return the part of a kind that was answered on time."""
        found = self.find(kind)
        return sum(outcome.in_time for outcome in found) / max(1, len(found))

    def share_served(self, kind: str) -> float:
        """Return the part of a kind that was answered."""
        found = self.find(kind)
        return sum(outcome.is_ended for outcome in found) / max(1, len(found))

    def share_of_served_in_time(self, kind: str) -> float:
        """Return the part of the answered ones that were on time."""
        found = [outcome for outcome in self.find(kind) if outcome.is_ended]
        return sum(outcome.in_time for outcome in found) / max(1, len(found))

    def late_by_pause(self, kind: str) -> float:
        """Return the part of a kind whose longest pause was too long."""
        found = self.find(kind)
        late = [each for each in found if each.gap > each.arrival.ask.gap_max]
        return len(late) / max(1, len(found))

    def late_by_first(self, kind: str) -> float:
        """Return the part of a kind whose first event came late."""
        found = self.find(kind)
        late = [
            each
            for each in found
            if each.first is not None and each.first > each.arrival.ask.objective
        ]
        return len(late) / max(1, len(found))


def measure_use(
    jobs: Sequence[engine.Job],
    engines: Iterable[engine.Engine],
    slots: int,
    outcomes: Sequence[Outcome],
) -> float:
    """Return how far engines were used over the middle half of the arrivals.

    An engine is used up when all its places are taken or when it reads all the time,
    whichever is nearer.
    """
    times = sorted(outcome.arrival.at for outcome in outcomes)
    begin, end = times[len(times) // 4], times[3 * len(times) // 4]
    used = []
    for each in engines:
        held = sum(
            max(
                0.0, min(end, job.events[-1] if job.events else end) - max(begin, start)
            )
            for job in jobs
            if job.engine == each.name and (start := job.started) < end
        )
        read = sum(seconds for at, seconds in each.reads if begin <= at < end)
        used.append(max(held / slots, read) / max(end - begin, 1e-9))
    return sum(used) / len(used)


class Trial:
    """The state of one trial: a clock, engines, and the home of their pool."""

    def __init__(
        self,
        place: site.Site,
        asked: Sequence[loads.Arrival],
        seed: int,
        policy: str = "ledger",
    ) -> None:
        self._site = place
        self._engines = {
            (name := ids.ServerId(f"engine-{index:02}")): engine.Engine(
                name, place, place.slow.get(index, 1.0)
            )
            for index in range(place.engines)
        }
        self._pool = policies.REGISTRY[policy](random.Random(seed))
        self._pool.set_servers(
            [self._make_entry(name) for name in self._engines],
            catalog.Engine(
                place.slots,
                place.memory_tokens,
                place.stride,
                place.moves,
                place.move_token_seconds if place.fetches else 0.0,
            ),
        )
        self._outcomes = {each.ask.request: Outcome(each) for each in asked}
        self._servers: dict[ids.RequestId, ids.ServerId] = {}
        self._known: set[str] = set()
        self.moved_tokens = self.fetched_tokens = 0
        self._order = itertools.count()
        self._agenda: list[tuple] = []
        for each in asked:
            ask = msgspec.structs.replace(each.ask, stride=place.stride)
            self._plan(each.at + ask.waited + place.message_seconds, "ask", ask)

    def play(self, until: float) -> Result:
        """Play until all is done, at most for a time after the last arrival."""
        self._plan(0.0, "tick", None)
        while self._agenda:
            now, _, kind, value = heapq.heappop(self._agenda)
            if now > until:
                break
            getattr(self, f"_do_{kind}")(value, now)
        engines = list(self._engines.values())
        outcomes = list(self._outcomes.values())
        copied = (self.moved_tokens, self.fetched_tokens)
        return Result(outcomes, engines, self._site.slots, *copied)

    def _plan(self, at: float, kind: str, value: object) -> None:
        heapq.heappush(self._agenda, (at, next(self._order), kind, value))

    def _do_ask(self, ask: messages.SlotRequest, now: float) -> None:
        waited = ask.waited + self._site.message_seconds
        asked = msgspec.structs.replace(ask, waited=waited)
        self._send_answers(self._pool.ask(ROUTER, asked, now), now)

    def _do_tick(self, _: None, now: float) -> None:
        self._send_answers(self._pool.tick(now), now)
        if any(kind != "tick" for _, _, kind, _ in self._agenda):
            self._plan(now + TICK_SECONDS, "tick", None)

    def _do_fetch(self, offer: messages.SlotOffer, now: float) -> None:
        """Copy the parts that another engine keeps, then start."""
        parts = self._outcomes[offer.request].arrival.ask.parts
        kept = parts[: self._engines[offer.source].count_kept(parts)]
        have = self._engines[offer.server].count_kept(parts)
        tokens = sum(part.tokens for part in kept[have:])
        self.fetched_tokens += tokens
        self._engines[offer.server].take_parts(kept)
        copy = self._site.move_seconds + tokens * self._site.move_token_seconds
        self._plan(now + copy, "start", offer)

    def _do_start(self, offer: messages.SlotOffer, now: float) -> None:
        outcome = self._outcomes[offer.request]
        job = engine.Job(outcome.arrival.ask, outcome.arrival.tokens, 0, 0)
        outcome.job = job
        self._servers[offer.request] = offer.server
        found = self._engines[offer.server]
        is_idle = found.next_at is None
        found.add(job, self._known, now)
        if is_idle:
            self._plan(now, "step", found)

    def _do_step(self, found: engine.Engine, _: float) -> None:
        spoke, ended = found.step(self._known)
        at = (found.next_at or 0.0) if found.next_at else None
        for job in spoke:
            if len(job.events) == 1:
                self._plan(job.events[0] + self._delay(), "begun", job.ask)
        for job in ended:
            self._outcomes[job.ask.request].is_ended = True
            self._plan(job.events[-1] + self._delay(), "ended", job.ask)
        if at is not None:
            self._plan(at, "step", found)

    def _do_begun(self, ask: messages.SlotRequest, now: float) -> None:
        target = self._pool.begin(ask.request, self._servers[ask.request], now)
        if target is not None:
            self._plan(now + 2 * self._delay(), "stop", (ask.request, target))

    def _do_stop(self, move: tuple[ids.RequestId, ids.ServerId], now: float) -> None:
        """Stop a run that moves, and copy what it has read."""
        request, target = move
        job = self._outcomes[request].job
        if self._engines[self._servers[request]].take_out(job):
            self.moved_tokens += job.context
            copy = self._site.move_seconds + job.context * self._site.move_token_seconds
            self._plan(now + copy + 2 * self._delay(), "resume", move)
        else:
            self._settle(request, target, now, is_moved=False)

    def _do_resume(self, move: tuple[ids.RequestId, ids.ServerId], now: float) -> None:
        request, target = move
        found = self._engines[target]
        is_idle = found.next_at is None
        found.take_in(self._outcomes[request].job, now)
        if is_idle:
            self._plan(now, "step", found)
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
                self._plan(now + self._delay(), kind, answer.message)
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
    place: site.Site,
    asked: Sequence[loads.Arrival],
    *,
    seed: int = 0,
    until: float = 60.0,
    policy: str = "ledger",
) -> Result:
    """Play requests at a deployment; the same seed gives the same result."""
    return Trial(place, asked, seed, policy).play(until)
