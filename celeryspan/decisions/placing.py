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
* A prompt whose reading alone makes the streams beside it pause past their limit goes
  to engines set apart, one at a time. How many are set apart follows how much of such
  reading has come lately.
* Plain services take the server with the shortest expected time.

Sent to any server, 56 in 100 long streams had a pause that was too long; by these rules
8 in 100 (emulated engines at the usual load, ``docs/design/placing.md``).
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from celeryspan import catalog, ids, states
from celeryspan.decisions import engines, promptcache, serverhealth
from celeryspan.wire import messages

PENDING_SECONDS = 0.1
"""Reading pending at one engine beyond which nothing is sent there: a sixth of the
shortest objective that streams have."""

READ_WEIGHT = 10.0
"""Weight of reading against waiting for what is read already."""

AFFINITY_WAIT = 0.25
"""Part of the latency objective that a request waits for the server that keeps most of
its prompt, while others are free: a few ten milliseconds against reading 5,000 tokens
again, which takes as long and keeps all others at that server waiting as well."""

RUN_SECONDS = 0.002
"""What a run in progress counts for when servers are compared: spreads requests that
read nothing."""

GAP_MARGIN_SECONDS = 0.02
"""Part of the longest pause that is left for the way of an event to its caller."""

PLACE_SECONDS = 0.002
"""What another data centre counts for, there and back."""

FAILING_SECONDS = 2.0
"""What a server that fails all requests counts for beyond its peers."""

APART_USE = 0.6
"""Part of the time that engines set apart shall read: one that reads all the time
makes the next long prompt wait for as long as the one before it takes."""

APART_SHARE_MAX = 0.34
"""Part of the engines that may be set apart."""

APART_FADE_SECONDS = 10.0
"""Time over which the reading of long prompts is averaged."""

SPEED_FALL = 0.3
SPEED_RISE = 0.05
"""Part of the way that a server's speed follows one reading, down and up. A router with
much to do tells late of first events, so that readings seem slow now and then and never
fast; the mean of all held engines of the usual speed for two to eight times slower on
a full day."""

SPEED_READ_SECONDS = 0.04
"""Readings shorter than this tell nothing: the step that is under way and the messages
take a few ten milliseconds."""

SPEED_RANGE = (0.8, 8.0)
"""How far a server's own speed may differ from the model."""

CALL_SECONDS = 0.02
"""Expected time of a plain call before any was seen."""

CALL_MEMORY = 0.1


@dataclasses.dataclass(slots=True)
class Run:
    """A place in use.

    Attributes
    ----------
    kept : int
        Tokens of the prompt that need not be read.
    pending, read : float
        Predicted time of reading what came before, and this prompt, in seconds.
    speed : float
        Of the server, as it was believed then.
    due_at : float
        When the first event is predicted.
    """

    router: ids.RouterId
    since: float
    kept: int
    pending: float
    read: float
    speed: float
    due_at: float
    end_at: float
    is_long: bool
    is_begun: bool = False


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


class Choice(NamedTuple):
    """The server that takes a request now.

    Attributes
    ----------
    regret : float
        How much better another server would be that can't take it yet, in seconds.
    """

    server: ids.ServerId
    regret: float


class Server:
    """What the home of a pool knows of one backend server."""

    def __init__(
        self, entry: catalog.ServerEntry, engine: catalog.Engine | None
    ) -> None:
        # Speed is how many times as long as the model says the server takes to read.
        self.entry = entry
        self.runs: dict[ids.RequestId, Run] = {}
        self.health = serverhealth.ServerHealth()
        self.cache = promptcache.PromptCache(engine.memory_tokens if engine else 0)
        self.speed = 1.0
        self.call_seconds = CALL_SECONDS
        self.read_until = 0.0
        self.burst = 0.0

    def learn_speed(self, predicted: float, seen: float) -> None:
        """Learn from one reading; ``predicted`` is for a server of speed 1."""
        if predicted < SPEED_READ_SECONDS:
            return
        low, high = SPEED_RANGE
        ratio = min(max(seen / predicted, low), high)
        part = SPEED_FALL if ratio < self.speed else SPEED_RISE
        self.speed += (ratio - self.speed) * part

    def add_reading(self, seconds: float, now: float) -> None:
        """Note reading that begins when all before it is done.

        ``burst`` is what is read without a step between that reads nothing.
        """
        if self.pending(now) <= 0.0:
            self.burst = 0.0
        self.burst += seconds
        self.read_until = max(now, self.read_until) + seconds

    def pending(self, now: float) -> float:
        """Return the seconds of reading that lie before a new prompt.

        Runs that are overdue count for as long as they are: a server that has become
        slow or dark looks idle otherwise, and draws all requests.
        """
        overdue = max(
            (now - run.due_at for run in self.runs.values() if not run.is_begun),
            default=0.0,
        )
        return max(0.0, self.read_until - now, overdue)

    def reads_long(self) -> bool:
        """Whether a long prompt is being read."""
        return any(run.is_long and not run.is_begun for run in self.runs.values())


class Placing:
    """The servers of one pool and what runs there."""

    def __init__(self) -> None:
        self._model = engines.EngineModel()
        self._servers: dict[ids.ServerId, Server] = {}
        self._left: dict[ids.ServerId, Server] = {}
        self._engine: catalog.Engine | None = None
        self._long_load = 0.0
        self._long_since = 0.0

    def set_servers(
        self, entries: Iterable[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set which servers may get new work; runs at the others go on."""
        self._engine = engine
        known = {**self._left, **self._servers}
        self._servers = {}
        for entry in entries:
            server = known.pop(entry.server, None) or Server(entry, engine)
            server.entry = entry
            self._servers[entry.server] = server
        self._left = {name: server for name, server in known.items() if server.runs}

    def is_hopeless(self, ask: messages.SlotRequest) -> bool:
        """Whether no server could ever run the request."""
        engine = self._engine
        tokens = ask.prompt_tokens + ask.output_tokens
        return engine is not None and tokens > engine.memory_tokens

    def note_arrival(self, ask: messages.SlotRequest, now: float) -> None:
        """Count the reading of long prompts, so that engines are set apart for it."""
        elapsed = max(0.0, now - self._long_since)
        self._long_since = now
        self._long_load *= math.exp(-elapsed / APART_FADE_SECONDS)
        kept = self._find_most_kept(ask)
        if self._engine is not None and self._is_long(ask, kept):
            read = self._model.read_seconds(ask.prompt_tokens - kept, kept)
            self._long_load += read / APART_FADE_SECONDS

    def is_long(self, ask: messages.SlotRequest) -> bool:
        """Whether a prompt is long at the server that keeps most of it."""
        if self._engine is None:
            return False
        return self._is_long(ask, self._find_most_kept(ask))

    def is_ready(self, is_long: bool, now: float) -> bool:
        """Whether any server may get more now, a long prompt or another request."""
        apart = self._list_apart()
        for server in self._iterate():
            if not self._is_open(server, now):
                continue
            if apart and is_long != (server.entry.server in apart):
                continue
            if is_long and not server.reads_long():
                return True
            if not is_long and server.pending(now) <= PENDING_SECONDS:
                return True
        return False

    def choose(
        self, ask: messages.SlotRequest, waited: float, now: float
    ) -> Choice | None:
        """Return the server that takes a request now, or None.

        Parameters
        ----------
        waited : float
            Time that the request has waited here, in seconds.
        """
        fit = [server for server in self._iterate() if self._is_open(server, now)]
        others = [s for s in fit if s.entry.server not in ask.excluded]
        # One that has failed the request may still be all there is.
        fit = others or (fit if len(ask.excluded) >= len(self._servers) else [])
        if self._engine is None:
            return self._choose_plain(ask, fit)
        return self._choose_engine(ask, fit, waited, now)

    def take(
        self,
        ask: messages.SlotRequest,
        router: ids.RouterId,
        name: ids.ServerId,
        end_at: float,
        now: float,
    ) -> Run:
        """Take a place for a request."""
        server = self._servers[name]
        kept = server.cache.count_kept(ask.parts)
        read = self._read_seconds(server, ask, kept) if self._engine else 0.0
        pending = server.pending(now)
        server.add_reading(read, now)
        due_at = server.read_until + self._model.first_seconds
        is_long = self._engine is not None and self._is_long(ask, kept, server.speed)
        run = Run(
            router, now, kept, pending, read, server.speed, due_at, end_at, is_long
        )
        server.runs[ask.request] = run
        server.cache.use(ask.parts)
        return run

    def hold(self, router: ids.RouterId, run: messages.RunHeld, now: float) -> None:
        """Take in a run that another home has placed."""
        server = self._find(run.server)
        if server is None:
            return
        server.cache.use(run.parts)
        held = Run(
            router, now, 0, 0.0, 0.0, 1.0, now, now + run.left, False, run.is_begun
        )
        server.runs[run.request] = held

    def begin(self, request: ids.RequestId, name: ids.ServerId, now: float) -> None:
        """Note the first event of a run; learn how fast the server reads."""
        server = self._find(name)
        run = server.runs.get(request) if server else None
        if run is None or run.is_begun:
            return
        run.is_begun = True
        first = self._model.first_seconds
        predicted = (run.due_at - run.since - first) / run.speed
        server.learn_speed(predicted, now - run.since - first)
        unread = sum(each.read for each in server.runs.values() if not each.is_begun)
        server.read_until = min(server.read_until, now + unread)

    def end(
        self,
        request: ids.RequestId,
        name: ids.ServerId,
        ending: states.RunEnding,
        now: float,
    ) -> None:
        """Give a place back and learn from how the run ended."""
        server = self._find(name)
        run = server.runs.pop(request, None) if server else None
        if run is None:
            return
        if not server.runs:
            self._left.pop(name, None)
        unread = sum(each.read for each in server.runs.values() if not each.is_begun)
        server.read_until = min(server.read_until, now + unread)
        if ending is states.RunEnding.ANSWERED:
            server.health.succeed()
            took = now - run.since
            server.call_seconds += (took - server.call_seconds) * CALL_MEMORY
        elif ending is states.RunEnding.FAILED:
            server.health.fail(now)
        elif ending in (states.RunEnding.UNREACHABLE, states.RunEnding.GONE):
            server.health.fail(now, unreachable=True)
        elif ending is states.RunEnding.REJECTED:
            server.read_until = max(server.read_until, now + PENDING_SECONDS)

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the runs of a router that is dead: its connections are closed."""
        for server in [*self._servers.values(), *self._left.values()]:
            server.runs = {
                request: run
                for request, run in server.runs.items()
                if run.router != router
            }

    def expire(self, now: float) -> None:
        """Drop runs whose end was never told."""
        for server in [*self._servers.values(), *self._left.values()]:
            late = [key for key, run in server.runs.items() if run.end_at + 1.0 < now]
            for request in late:
                del server.runs[request]

    def count_runs(self) -> int:
        """Return how many places are taken."""
        return sum(
            len(server.runs)
            for server in [*self._servers.values(), *self._left.values()]
        )

    def estimate_wait(self, asks: Sequence[messages.SlotRequest]) -> float:
        """Return the time in which all these requests will have been placed."""
        servers = max(1, len(self._servers))
        if self._engine is None:
            slots = sum(server.entry.slots for server in self._iterate())
            return len(asks) * CALL_SECONDS / max(1, slots)
        read = sum(self._model.read_seconds(ask.prompt_tokens, 0) for ask in asks)
        return read / servers

    def estimate_first(self, ask: messages.SlotRequest) -> float:
        """Return the time from a place to the first event, if the best server is free.

        For plain calls, to the answer.
        """
        if self._engine is None:
            return CALL_SECONDS
        kept = self._find_most_kept(ask)
        unread = max(0, ask.prompt_tokens - kept)
        return self._model.first_seconds + self._model.read_seconds(unread, kept)

    def count_apart(self) -> int:
        """Return how many engines are set apart for long prompts."""
        most = math.floor(len(self._servers) * APART_SHARE_MAX)
        return min(most, math.ceil(self._long_load / APART_USE))

    def _find_most_kept(self, ask: messages.SlotRequest) -> int:
        return max((s.cache.count_kept(ask.parts) for s in self._iterate()), default=0)

    def _iterate(self) -> Iterable[Server]:
        return self._servers.values()

    def _find(self, name: ids.ServerId) -> Server | None:
        return self._servers.get(name) or self._left.get(name)

    def _is_open(self, server: Server, now: float) -> bool:
        return len(server.runs) < server.entry.slots and not server.health.rests(now)

    def _choose_plain(
        self, ask: messages.SlotRequest, fit: Sequence[Server]
    ) -> Choice | None:
        if not fit:
            return None
        healthy = min(server.health.failing for server in fit)

        def cost(server: Server) -> tuple[float, str]:
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
        fit: Sequence[Server],
        waited: float,
        now: float,
    ) -> Choice | None:
        apart = self._list_apart()
        best = ready = Option(math.inf, ids.ServerId(""), False)
        for server in fit:
            option = self._weigh(ask, server, apart, now)
            if option is not None:
                best = min(best, option)
                ready = min(ready, option) if option.is_ready else ready
        if not ready.is_ready:
            return None
        regret = ready.cost - best.cost
        waits_for_best = ask.waited + waited < AFFINITY_WAIT * ask.objective
        return None if regret and waits_for_best else Choice(ready.server, regret)

    def _weigh(
        self,
        ask: messages.SlotRequest,
        server: Server,
        apart: frozenset[ids.ServerId],
        now: float,
    ) -> Option | None:
        """Return what it would mean to place a request at a server, or None."""
        kept = server.cache.count_kept(ask.parts)
        is_long = self._is_long(ask, kept, server.speed)
        if apart and is_long != (server.entry.server in apart):
            return None
        read = self._read_seconds(server, ask, kept)
        pending = server.pending(now)
        cost = pending + READ_WEIGHT * read + RUN_SECONDS * len(server.runs)
        cost += server.health.failing * FAILING_SECONDS + _distance(server, ask)
        is_ready = self._admits(ask, server, pending, read, is_long)
        return Option(cost, server.entry.server, is_ready)

    def _admits(
        self,
        ask: messages.SlotRequest,
        server: Server,
        pending: float,
        read: float,
        is_long: bool,
    ) -> bool:
        """Whether a server may get a prompt to read now."""
        if is_long:
            return not server.reads_long()
        if pending <= 0.0:
            return True
        steps = self._model.gap_seconds(0, 0, ask.stride, len(server.runs))
        longest = ask.gap_max - GAP_MARGIN_SECONDS - steps * server.speed
        return pending + read <= PENDING_SECONDS and server.burst + read <= longest

    def _list_apart(self) -> frozenset[ids.ServerId]:
        """Return the engines set apart: the same ones while their number lasts."""
        count = self.count_apart()
        if not count:
            return frozenset()
        ranked = sorted(
            self._servers, key=lambda name: xxhash.xxh3_64_intdigest(name.encode())
        )
        return frozenset(ranked[:count])

    def _is_long(
        self, ask: messages.SlotRequest, kept: int, speed: float = 1.0
    ) -> bool:
        engine = self._engine
        assert engine is not None
        unread = ask.prompt_tokens - kept
        running = engine.slots // 2
        gap = self._model.gap_seconds(unread, kept, engine.stride, running)
        return gap * speed > ask.gap_max - GAP_MARGIN_SECONDS

    def _read_seconds(
        self, server: Server, ask: messages.SlotRequest, kept: int
    ) -> float:
        unread = max(0, ask.prompt_tokens - kept)
        steps = unread / self._model.chunk_tokens
        step = self._model.gap_seconds(0, 0, 1, len(server.runs))
        return (self._model.read_seconds(unread, kept) + steps * step) * server.speed


def _distance(server: Server, ask: messages.SlotRequest) -> float:
    return 0.0 if server.entry.data_centre == ask.data_centre else PLACE_SECONDS
