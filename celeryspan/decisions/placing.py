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

READ_WEIGHT = 10.0
"""Weight of reading against waiting for what is read already."""

AFFINITY_WAIT = 0.25
"""Part of the latency objective that a request waits for the server that keeps most of
its prompt, while others are free: a few ten milliseconds against reading 5,000 tokens
again, which takes as long and keeps all others at that server waiting as well."""

REGRET_MIN = 0.02
"""Cost in seconds by which another server must be better to be waited for: that of
reading some 200 tokens or copying 8,000."""

RUN_SECONDS = 0.002
"""What a run in progress counts for when servers are compared: spreads requests that
read nothing."""

GAP_MARGIN_SECONDS = 0.02
"""Part of the longest pause that is left for the way of an event to its caller."""

PLACE_SECONDS = 0.002
"""What another data centre counts for, there and back."""

FETCH_TOKENS_MIN = 256
"""Shorter parts are read in 2 ms, as long as it takes to set up a copy."""

FETCH_SETUP_SECONDS = 0.002

FETCH_WEIGHT = 10.0
"""Weight of copying kept parts from another engine against waiting: it takes a tenth of
the time of reading and stops nobody, but uses links that moves need, and memory that
pushes out what other prompts share. At 3 half of all prompts on a full day were sent
beside their keeper: 134 GB copied in 50 s; at 10 a quarter less."""

FAILING_SECONDS = 2.0
"""What a server that fails all requests counts for beyond its peers."""

EXPIRE_SECONDS = 0.25
"""How often runs are looked through for such as should have ended."""

OVERDUE_SECONDS = 1.0
"""A run is forgotten this long after its timeout: its router ends it then, and if the
message was lost the place would stay taken for good."""

RUN_MEMORY = 0.01
"""Weight of the newest run in the mean time that runs hold a place: the last hundred
runs are those of less than a second at a few engines."""


class Option(NamedTuple):
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


class Keeper(NamedTuple):
    """The engine that keeps most of a prompt, and how many tokens of it."""

    kept: int
    server: ids.ServerId


NO_KEEPER = Keeper(0, ids.ServerId(""))

NOWHERE = Option(math.inf, ids.ServerId(""), False)


class Choice(NamedTuple):
    """The server that takes a request now.

    Attributes
    ----------
    regret : float
        How much better another server would be that can't take it yet, in seconds.
    """

    server: ids.ServerId
    regret: float


class Placing:
    """The servers of one pool and what runs there."""

    def __init__(self) -> None:
        self._model = engines.EngineModel()
        self._servers: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._by_order: list[poolservers.PoolServer] = []
        self._left: dict[ids.ServerId, poolservers.PoolServer] = {}
        self._slots = 0
        self._rest = 0.0
        self._engine: catalog.Engine | None = None
        self._long = longprompts.LongPrompts()
        self._usual_speed = 1.0
        self._run_seconds = 0.0
        self._expire_at = 0.0

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set which servers may get new work; runs at the others go on."""
        self._engine = engine
        known = {**self._left, **self._servers}
        self._servers = {}
        for entry in entries:
            server = known.pop(entry.server, None)
            if server is None or entry.succeeds(server.entry):
                # A server that has started again keeps no prompt and runs nothing; its
                # earlier incarnation's places and speed would mislead for seconds.
                server = _make_server(entry, engine)
                server.speed = self._usual_speed
            server.entry = entry
            self._servers[entry.server] = server
        self._by_order = sorted(self._servers.values(), key=lambda each: each.order)
        self._slots = sum(entry.slots for entry in entries)
        self._rest = self._model.prefill_pause_seconds(engine) if engine else 0.0
        self._left = {name: server for name, server in known.items() if server.runs}

    def is_hopeless(self, ask: messages.SlotRequest) -> bool:
        """Whether no server could ever run the request."""
        engine = self._engine
        tokens = ask.prompt_tokens + ask.output_tokens
        return engine is not None and tokens > engine.memory_tokens

    def list_unasked(self) -> list[catalog.ServerEntry]:
        """Return the engines that are to be asked what they keep; each comes once.

        A home that has just taken a pool over, or has just started, would read all
        shared parts again, and take prompts of which most is kept for long ones.
        """
        if self._engine is None:
            return []
        unasked = [server for server in self._by_order if not server.is_listed]
        for server in unasked:
            server.is_listed = True
        return [server.entry for server in unasked]

    def add_kept(
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
            server.cache.add_kept(parts, now)

    def note_arrival(self, ask: messages.SlotRequest, now: float) -> None:
        """Count the reading of long prompts, so that engines are set apart for it."""
        if self._engine is None:
            return
        kept = self._find_most_kept(ask)
        pause = self._make_prompt(ask).gap_seconds(kept, 1.0)
        read = self._model.prefill_seconds(ask.prompt_tokens - kept, kept)
        self._long.note_arrival(pause, _limit_pause(ask), read, now)

    def is_long(self, ask: messages.SlotRequest) -> bool:
        """Whether a prompt is long at the server that keeps most of it."""
        if self._engine is None:
            return False
        return self._is_long(ask, self._find_most_kept(ask))

    def is_ready(self, is_long: bool, now: float) -> bool:
        """Whether any server may get more now, a long prompt or another request."""
        for server in self._list_for(is_long, now):
            if not server.is_open(now):
                continue
            if not server.reads_long() if is_long else self._is_calm(server, now):
                return True
        return False

    def _is_calm(self, server: poolservers.PoolServer, now: float) -> bool:
        return server.pending(now) <= poolservers.PENDING_SECONDS

    def _list_for(self, is_long: bool, now: float) -> Sequence[poolservers.PoolServer]:
        """Return the servers for long prompts, or for other requests.

        The same engines are set apart for long ones while their number lasts. Others go
        there only when all the rest is full, so that no place idles while they wait.
        """
        count = self.count_apart()
        if not count:
            return self._by_order
        apart, rest = self._by_order[:count], self._by_order[count:]
        if is_long:
            return apart
        if any(server.is_open(now) for server in rest):
            return rest
        return [server for server in apart if not server.reads_long()]

    def choose(
        self, ask: messages.SlotRequest, waited: float, now: float
    ) -> Choice | None:
        """Return the server that takes a request now, or None.

        Parameters
        ----------
        waited : float
            Time that the request has waited here, in seconds.
        """
        barred: Collection[ids.ServerId] = ask.excluded
        if len(barred) >= len(self._servers):
            barred = ()  # One that has failed the request may still be all there is.
        if ask.isolation:
            if not self.can_isolate(ask):
                return None
            barred = {*barred, *self._list_isolating()}
        if self._engine is None:
            return self._choose_plain(ask, barred, now)
        return self._choose_engine(ask, barred, waited, now)

    def can_isolate(self, ask: messages.SlotRequest) -> bool:
        """Whether a request that must run apart could get a place now.

        It runs once at a time, and beside no other such request: if its server
        crashes, no other one can be the cause.
        """
        running = self._list_isolating()
        is_alone = all(ask.isolation not in found for found in running.values())
        return is_alone and not self._servers.keys() <= running.keys()

    def _list_isolating(self) -> dict[ids.ServerId, set[int]]:
        """Return the servers at which requests run apart, and which ones."""
        found: dict[ids.ServerId, set[int]] = {}
        for server in [*self._servers.values(), *self._left.values()]:
            apart = {run.isolation for run in server.runs.values() if run.isolation}
            if apart:
                found[server.entry.server] = apart
        return found

    def take(
        self,
        ask: messages.SlotRequest,
        router: ids.RouterId,
        name: ids.ServerId,
        end_at: float,
        now: float,
    ) -> poolservers.Run:
        """Take a place for a request."""
        server = self._servers[name]
        kept, fetch, source = self._count_kept(ask, server, self._find_keeper(ask, now))
        read = 0.0
        if self._engine is not None:
            read = self._make_prompt(ask).prefill_seconds(
                kept, len(server.runs), server.speed
            )
            read += fetch
        pending = server.pending(now)
        read_until = max(now, server.read_until) + read
        due_at = read_until + self._model.first_event_seconds
        pause = 0.0
        if self._engine is not None:
            pause = self._make_prompt(ask).gap_seconds(kept, server.speed)
        limit = _limit_pause(ask)
        run = poolservers.Run(
            router=router,
            since=now,
            kept=kept,
            pending=pending,
            read=read,
            speed=server.speed,
            due_at=due_at,
            end_at=end_at,
            is_long=self._long.is_long(pause, limit),
            pause=pause if pause > limit else 0.0,
            output_tokens=ask.output_tokens,
            parts=ask.parts,
            source=source,
            isolation=ask.isolation,
        )
        server.add(ask.request, run, now, self._rest)
        server.cache.use(ask.parts, due_at)
        return run

    def hold(self, router: ids.RouterId, run: messages.RunHeld, now: float) -> None:
        """Take in a run that another home has placed."""
        server = self._find(run.server)
        if server is None:
            return
        server.cache.use(run.parts, now)
        held = poolservers.Run(
            router=router,
            since=now,
            kept=0,
            pending=0.0,
            read=0.0,
            speed=1.0,
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
        readings = server.readings
        server.begin(request, self._model.first_event_seconds, now)
        if server.readings != readings:
            self._spread_speed()

    def _spread_speed(self) -> None:
        """Let servers that have read nothing yet be taken for as fast as the others.

        The model's times are those of one kind of engine. On another kind each server
        would first be sent twice what it can read in time, and again after a restart.
        """
        known = [each.speed for each in self._by_order if each.readings]
        self._usual_speed = statistics.median(known) if known else 1.0
        for server in self._by_order:
            if not server.readings:
                server.speed = self._usual_speed

    def migrate(
        self, request: ids.RequestId, name: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Return where a run that has begun is to go on, and hold a place there."""
        source = self._servers.get(name)
        run = source.runs.get(request) if source else None
        if run is None or self._engine is None or not run.is_long or run.isolation:
            return None
        if not migration.is_worth_moving(self._engine, run.output_tokens):
            return None
        apart = self._by_order[: self.count_apart()]
        if source not in apart:
            return None
        target = migration.choose_target(source, self._list_for(False, now), now)
        if target is None:
            return None
        moved = msgspec.structs.replace(run, read=0.0, is_long=False)
        target.add(request, moved, now)
        target.cache.use(run.parts, now)
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
            self._left.pop(name, None)
        server.follow(ending, now - run.since, now)
        if ending is states.RunEnding.ANSWERED:
            self._run_seconds += (now - run.since - self._run_seconds) * RUN_MEMORY
            if run.paused_beside and pause:
                self._long.learn(run.paused_beside, pause)

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the runs of a router that is dead."""
        for server in [*self._servers.values(), *self._left.values()]:
            server.forget(router)

    def expire(self, now: float) -> None:
        """Drop runs whose end was never told."""
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_SECONDS
        self._long.update(now)
        for server in [*self._servers.values(), *self._left.values()]:
            server.expire(now - OVERDUE_SECONDS)

    def count_servers(self) -> int:
        """Return how many servers may get new work."""
        return len(self._servers)

    def count_runs(self) -> int:
        """Return how many places are taken."""
        return sum(
            len(server.runs)
            for server in [*self._servers.values(), *self._left.values()]
        )

    def measure_pending(self, now: float) -> float:
        """Return how long reading that was begun takes, over all servers, in seconds.

        Only so much counts at one server as is ever sent to one at a time: a server
        that has stopped must not make a whole pool look full.
        """
        if not self._servers:
            return 0.0
        most = poolservers.PENDING_SECONDS
        pending = sum(min(server.pending(now), most) for server in self._by_order)
        return pending / len(self._servers)

    def estimate_turn(self, waiting: int) -> float:
        """Return when so many requests have found free places, in seconds."""
        taken = sum(len(server.runs) for server in self._by_order)
        lacking = waiting + 1 - (self._slots - taken)
        return max(0, lacking) * self._run_seconds / max(1, self._slots)

    def estimate_work(self, ask: messages.SlotRequest) -> float:
        """Return the time that a request takes of one server, if nothing is kept.

        For plain calls, of one place.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS
        return self._model.prefill_seconds(ask.prompt_tokens, 0)

    def estimate_wait(self, work: float) -> float:
        """Return the time in which so much work will have been placed, in seconds."""
        parts = self._slots if self._engine is None else len(self._servers)
        return work / max(1, parts)

    def estimate_first(self, ask: messages.SlotRequest) -> float:
        """Return the time from a place to the first event, if the best server is free.

        For plain calls, to the answer.
        """
        if self._engine is None:
            return poolservers.CALL_SECONDS
        kept = self._find_most_kept(ask)
        unread = max(0, ask.prompt_tokens - kept)
        return self._model.first_event_seconds + self._model.prefill_seconds(
            unread, kept
        )

    def count_apart(self) -> int:
        """Return how many engines are set apart for long prompts."""
        return self._long.count_apart(len(self._servers))

    def _find_keeper(self, ask: messages.SlotRequest, now: float) -> Keeper:
        """Return the engine that keeps most of a prompt, if engines copy."""
        best = NO_KEEPER
        if self._engine is None or not self._engine.copy_token_seconds:
            return best
        for server in self._by_order:
            kept = server.cache.count_ready(ask.parts, now)
            if kept > best.kept and not server.health.rests(now):
                best = Keeper(kept, server.entry.server)
        return best

    def _count_kept(
        self, ask: messages.SlotRequest, server: poolservers.PoolServer, keeper: Keeper
    ) -> tuple[int, float, ids.ServerId | None]:
        """Return what need not be read, the time to copy it, and from where."""
        kept = server.cache.count_kept(ask.parts)
        lacking = keeper.kept - kept
        if lacking < FETCH_TOKENS_MIN or self._engine is None:
            return kept, 0.0, None
        seconds = FETCH_SETUP_SECONDS + lacking * self._engine.copy_token_seconds
        return keeper.kept, seconds, keeper.server

    def _find_most_kept(self, ask: messages.SlotRequest) -> int:
        return max((s.cache.count_kept(ask.parts) for s in self._by_order), default=0)

    def _find(self, name: ids.ServerId) -> poolservers.PoolServer | None:
        return self._servers.get(name) or self._left.get(name)

    def _choose_plain(
        self, ask: messages.SlotRequest, barred: Collection[ids.ServerId], now: float
    ) -> Choice | None:
        fit = [
            server
            for server in self._by_order
            if server.is_open(now) and server.entry.server not in barred
        ]
        if not fit:
            return None
        healthy = min(server.health.failing for server in fit)

        def cost(server: poolservers.PoolServer) -> tuple[float, str]:
            use = (len(server.runs) + 1) / server.entry.slots
            failing = (server.health.failing - healthy) * FAILING_SECONDS
            return (
                server.call_seconds * (1.0 + use) + failing + _distance(server, ask),
                server.entry.server,
            )

        return Choice(min(fit, key=cost).entry.server, 0.0)

    def _choose_engine(
        self,
        ask: messages.SlotRequest,
        barred: Collection[ids.ServerId],
        waited: float,
        now: float,
    ) -> Choice | None:
        best = ready = NOWHERE
        prompt = self._make_prompt(ask)
        keeper = self._find_keeper(ask, now)
        for is_long in (False, True):
            for server in self._list_for(is_long, now):
                if not server.is_open(now) or server.entry.server in barred:
                    continue
                kept, fetch, _ = self._count_kept(ask, server, keeper)
                if prompt.is_long(kept, server.speed) is not is_long:
                    continue
                read = prompt.prefill_seconds(kept, len(server.runs), server.speed)
                option = self._weigh(ask, server, read, fetch, is_long, now)
                best = min(best, option)
                ready = min(ready, option) if option.is_ready else ready
        if not ready.is_ready:
            return None
        regret = ready.cost - best.cost
        patience = AFFINITY_WAIT * ask.objective if regret > REGRET_MIN else 0.0
        return None if ask.waited + waited < patience else Choice(ready.server, regret)

    def _weigh(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        read: float,
        fetch: float,
        is_long: bool,
        now: float,
    ) -> Option:
        """Return what it would mean to place a request at a server."""
        pending = server.pending(now)
        cost = pending + READ_WEIGHT * read + RUN_SECONDS * len(server.runs)
        cost += FETCH_WEIGHT * fetch
        cost += server.health.failing * FAILING_SECONDS + _distance(server, ask)
        if is_long:
            is_ready = not server.reads_long()
        else:
            is_ready = self._admits(ask, server, pending, read, now)
        return Option(cost, server.entry.server, is_ready)

    def _admits(
        self,
        ask: messages.SlotRequest,
        server: poolservers.PoolServer,
        pending: float,
        read: float,
        now: float,
    ) -> bool:
        """Whether a server may get one more prompt now."""
        burst = server.measure_burst(self._rest, now)
        if burst <= 0.0 and pending <= 0.0:
            return True
        steps = self._model.max_gap_seconds(0, 0, ask.stride, len(server.runs))
        longest = _limit_pause(ask) - steps * server.speed
        is_soon = pending <= 0.0 or pending + read <= poolservers.PENDING_SECONDS
        return is_soon and burst + read <= longest

    def _make_prompt(self, ask: messages.SlotRequest) -> engines.Prompt:
        assert self._engine is not None
        return engines.Prompt(
            self._model,
            ask.prompt_tokens,
            _limit_pause(ask) / self._long.ratio,
            self._engine.stride,
            self._engine.slots // 2,
        )

    def _is_long(
        self, ask: messages.SlotRequest, kept: int, speed: float = 1.0
    ) -> bool:
        return self._make_prompt(ask).is_long(kept, speed)


def _make_server(
    entry: catalog.ServerEntry, engine: catalog.Engine | None
) -> poolservers.PoolServer:
    order = xxhash.xxh3_64_intdigest(entry.server.encode())
    return poolservers.PoolServer(entry, engine, order)


def _limit_pause(ask: messages.SlotRequest) -> float:
    """Return the longest pause that streams like this may make, in seconds."""
    return ask.gap_max - GAP_MARGIN_SECONDS


def _distance(server: poolservers.PoolServer, ask: messages.SlotRequest) -> float:
    return 0.0 if server.entry.data_centre == ask.data_centre else PLACE_SECONDS
