"""One router under load on a virtual clock: real decisions, small fake servers.

Shared by the measurements and by the tests that are judged by what callers receive.
Slots are given to the backlogged account with the least service received, which stands
for the homes; everything else is decided by the modules under `celeryspan.decisions`.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from celeryspan import dispatch, ids
from celeryspan.decisions import admission, outliers, queueing, retries, routing

SERVICE = ids.ServiceId("planner-llm")
ALL = ids.AccountId("all")
CONSTANT_RETRY_SECONDS = 1.0
ENDLESS = 1e9
PATIENCE = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What one caller wants.

    Attributes
    ----------
    patience : float
        Seconds that one attempt may take.
    persistence : float
        Seconds after the first attempt in which a refused caller asks again.
    prompt : tuple of int
        Blocks of the prompt; each takes `Router.block_seconds` if not cached.
    """

    at: float
    account: str
    cost: float
    patience: float = PATIENCE
    persistence: float = 0.0
    prompt: tuple[int, ...] = ()
    hint: float | None = None
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Record:
    """What one caller received."""

    call: Call
    attempts: int = 0
    attempt_at: float = 0.0
    runs: int = 0
    wait: float = 0.0
    answered_at: float | None = None
    ended_at: float | None = None
    code: str = ""


class Server:
    """A backend server with slots, a speed, a prompt cache and faults.

    Parameters
    ----------
    rate : float
        Cost units a second of one slot.
    """

    def __init__(
        self, name: str, slots: int, rate: float, cache_blocks: int = 0
    ) -> None:
        self.name = ids.ServerId(name)
        self.slots = slots
        self.rate = rate
        self.fails = False
        self.cache_blocks = cache_blocks
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.in_use = 0
        self.busy_seconds = 0.0
        self.running: dict[ids.RequestId, tuple[float, float, float]] = {}
        self.events: list[tuple[float, routing.CacheEvent]] = []

    def sum_running(self, now: float) -> tuple[float, float]:
        """Return seconds since the first unit and units given, of running requests."""
        seconds = [
            max(0.0, now - started - prompt)
            for started, prompt, _ in self.running.values()
        ]
        rates = [rate for _, _, rate in self.running.values()]
        units = [one * rate for one, rate in zip(seconds, rates, strict=True)]
        return sum(seconds), sum(units)

    def count_cached(self, prompt: tuple[int, ...]) -> int:
        """Return how many leading blocks need no computing."""
        return len(list(itertools.takewhile(lambda block: block in self.cache, prompt)))

    def store(self, prompt: tuple[int, ...], now: float) -> None:
        """Keep the blocks of a prompt, evicting the least recently used."""
        for block in prompt:
            if block not in self.cache:
                self._publish(True, block, now)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self._publish(False, self.cache.popitem(last=False)[0], now)

    def _publish(self, stored: bool, block: int, now: float) -> None:
        sequence = len(self.events) + 1
        self.events.append((now, routing.CacheEvent(sequence, stored, block)))


Admit = Callable[["Router", dispatch.Work, float], admission.AdmissionResult]
ADMISSIONS: dict[str, Admit] = {}


def register_admission(name: str) -> Callable[[Admit], Admit]:
    """Make a way to admit requests known by name."""

    def add(function: Admit) -> Admit:
        ADMISSIONS[name] = function
        return function

    return add


@register_admission("celeryspan")
def admit_by_drain_rate(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Admit as the package does."""
    return router.admission.admit(
        work, router.body_bytes, estimate, router.now, router.rng.random()
    )


@register_admission("open")
def admit_all(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Admit everything."""
    return admission.Admitted(router.queues.add(work, 1, estimate, router.now))


@register_admission("bounded")
def admit_by_count(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Refuse above a fixed number of waiting requests, each for the same time."""
    if router.queues.waiting(work.service, work.account) >= admission.MAX_WAITING:
        reason = admission.Reason.QUEUE_FULL
        return admission.Refused(work.request, reason, CONSTANT_RETRY_SECONDS)
    return admit_all(router, work, estimate)


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which decisions are in force, to measure each against its absence."""

    admission: str = "celeryspan"
    account_queues: bool = True
    affinity: str = "celeryspan"
    ejection: bool = True
    budget: bool = True
    event_lag: float = 2.0
    event_loss: float = 0.0


class Router:
    """Plays calls against servers and records what each caller received.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    block_seconds = 0.02
    failure_seconds = 0.01

    def __init__(
        self,
        servers: list[Server],
        mechanisms: Mechanisms | None = None,
        seed: int = 1,
        body_bytes: int = 1000,
        bounds: admission.AdmissionLimits | None = None,
    ) -> None:
        self.servers = {server.name: server for server in servers}
        self.mechanisms = mechanisms or Mechanisms()
        self.rng = random.Random(seed)
        self.body_bytes = body_bytes
        self.queues = queueing.Queues()
        self.admission = admission.Admission(self.queues, bounds)
        self.cache = routing.CacheMap()
        self.routing = routing.AffinityRouting(self.cache)
        self.outliers = outliers.OutlierDetector()
        self.retries = retries.RetryPolicy()
        self.now = 0.0
        self.records: list[Record] = []
        self._received: dict[ids.AccountId, float] = collections.defaultdict(float)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._by_request: dict[ids.RequestId, tuple[Record, int]] = {}
        for server in servers:
            self.outliers.add(server.name, 0.0)

    def run(self, calls: list[Call], until: float = ENDLESS) -> list[Record]:
        """Play all calls and return a record of each."""
        for call in calls:
            record = Record(call)
            self.records.append(record)
            self.at(call.at, lambda record=record: self._arrive(record))
        self.at(1.0, self._tick)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._dispatch()
        return self.records

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a later time, such as a change to a server."""
        heapq.heappush(self._events, (max(time, self.now), next(self._order), action))

    def _tick(self) -> None:
        """Each second: trials of ejected servers, and cache events that lag."""
        self.outliers.start_due_trials(self.now)
        for server in self.servers.values():
            self._take_cache_events(server)
            if self.mechanisms.ejection:
                sums = server.sum_running(self.now)
                self.outliers.record_running(server.name, *sums, self.now)
        if self._events or self._by_request:
            self.at(self.now + 1.0, self._tick)

    def _take_cache_events(self, server: Server) -> None:
        after = self.cache.last_sequence(server.name)
        until = self.now - self.mechanisms.event_lag
        ready = [event for at, event in server.events[after:] if at <= until]
        if not ready:
            return
        kept = [
            event for event in ready if self.rng.random() >= self.mechanisms.event_loss
        ]
        self.cache.apply_events(server.name, kept, ready[-1].sequence, self.now)

    def _arrive(self, record: Record, attempt: int = 1, excluded=frozenset()) -> None:
        call = record.call
        record.attempts += 1
        record.attempt_at = self.now
        account = call.account if self.mechanisms.account_queues else ALL
        work = dispatch.Work(
            ids.RequestId(f"r{next(self._order)}"),
            SERVICE,
            ids.AccountId(account),
            self.now + call.patience,
            call.hint,
            call.prompt,
            excluded,
        )
        if self.mechanisms.affinity == "pinned":
            work = self._pin(work)
        self._lift(work.account)
        estimate = call.hint if call.hint is not None else call.cost
        verdict = ADMISSIONS[self.mechanisms.admission](self, work, estimate)
        if isinstance(verdict, admission.Refused):
            self._refused(record, verdict)
            return
        self._by_request[work.request] = (record, attempt)
        self.at(verdict.entry.start_by, self._expire)
        for refusal in verdict.shed:
            shed, _ = self._by_request.pop(refusal.request)
            self._refused(shed, refusal)

    def _refused(self, record: Record, refusal: admission.Refused) -> None:
        record.code, record.ended_at = refusal.reason.value, self.now
        back = self.now + refusal.retry_after
        if back <= record.call.at + record.call.persistence:
            self.at(back, lambda: self._arrive(record))

    def _expire(self) -> None:
        for entry in self.queues.expire(self.now):
            record, _ = self._by_request.pop(entry.work.request)
            refusal = self.admission.refuse(
                entry.work, admission.Reason.EXPIRED, self.now, self.rng.random()
            )
            self._refused(record, refusal)

    def _room(self, server: Server) -> int:
        slots = server.slots
        if self.mechanisms.ejection:
            slots = self.outliers.slots(server.name, slots)
        return slots - server.in_use

    def _dispatch(self) -> None:
        while self._give_next():
            pass

    def _give_next(self) -> bool:
        """Give one free slot to the account with the least service received."""
        free = [one for one in self.servers.values() if self._room(one) > 0]
        if not free:
            return False
        self.rng.shuffle(free)
        free.sort(key=lambda one: one.in_use / one.slots)
        accounts = [account for _, account in self.queues.backlogged()]
        accounts.sort(key=lambda account: (self._received[account], account))
        return any(
            self._give(server, account)
            for account in accounts
            for server in self._order_by_affinity(account, free)
        )

    def _order_by_affinity(
        self, account: ids.AccountId, free: list[Server]
    ) -> list[Server]:
        """Put the server first that suits the first request in line."""
        entry = self.queues.oldest(SERVICE, account)
        if self.mechanisms.affinity != "celeryspan" or entry is None:
            return free
        candidates = [
            routing.Candidate(one.name, one.slots, one.in_use) for one in free
        ]
        best = self.routing.choose_server(entry.work, candidates, self.now, self.rng)
        return sorted(free, key=lambda one: one.name != best)

    def _lift(self, account: ids.AccountId) -> None:
        """Idle time saves no credit: start from the least among the backlogged."""
        others = [other for _, other in self.queues.backlogged()]
        if others and account not in others:
            least = min(self._received[other] for other in others)
            self._received[account] = max(self._received[account], least)

    def _give(self, server: Server, account: ids.AccountId) -> bool:
        fit = None
        if self.mechanisms.affinity != "none":
            fit = self._make_fit(server)
        entry = self.queues.pick(SERVICE, account, server.name, self.now, fit)
        if entry is None:
            return False
        self._received[account] += entry.cost_estimate
        self._send(server, entry)
        return True

    def _make_fit(self, server: Server) -> queueing.Affinity:
        if self.mechanisms.affinity == "here":
            return lambda work: self.cache.expected_blocks(server.name, work.prefix)
        return lambda work: self.routing.affinity(server.name, work)

    def _pin(self, work: dispatch.Work) -> dispatch.Work:
        """Let a prompt go to the rendezvous of its prefix only."""
        best = max(
            self.servers,
            key=lambda name: routing.rendezvous_weight(name, work.prefix[0]),
        )
        others = frozenset(name for name in self.servers if name != best)
        return msgspec.structs.replace(work, excluded=others)

    def _send(self, server: Server, entry: queueing.QueuedRequest) -> None:
        record, attempt = self._by_request.pop(entry.work.request)
        record.wait = self.now - record.call.at
        record.runs += 1
        server.in_use += 1
        cached = server.count_cached(record.call.prompt)
        missing = len(record.call.prompt) - cached
        seconds = missing * self.block_seconds + record.call.cost / server.rate
        prompt_seconds = missing * self.block_seconds
        running = (self.now, prompt_seconds, server.rate)
        server.running[entry.work.request] = running
        failed = server.fails
        if failed:
            seconds = self.failure_seconds
        expected = self.cache.record_sent(server.name, record.call.prompt, self.now)
        known = (expected, cached)
        self.at(
            self.now + seconds,
            lambda: self._end(server, entry, record, attempt, seconds, failed, known),
        )

    def _end(
        self,
        server: Server,
        entry: queueing.QueuedRequest,
        record: Record,
        attempt: int,
        seconds: float,
        failed: bool,
        known: tuple[int, int],
    ) -> None:
        server.in_use -= 1
        del server.running[entry.work.request]
        server.busy_seconds += seconds
        self.queues.finish(entry.work.request, self.now, not failed)
        call = record.call
        self._received[entry.work.account] += call.cost - entry.cost_estimate
        if self.mechanisms.ejection:
            self.outliers.record(server.name, failed, seconds, call.cost, self.now)
        if failed:
            self._failed(server, entry, record, attempt)
            return
        server.store(call.prompt, self.now)
        self.cache.record_cached(server.name, *known)
        self.retries.record_success(SERVICE)
        record.ended_at = self.now
        record.code = "late"
        if self.now <= entry.work.deadline:
            record.answered_at, record.code = self.now, "answered"

    def _failed(
        self,
        server: Server,
        entry: queueing.QueuedRequest,
        record: Record,
        attempt: int,
    ) -> None:
        work = entry.work
        verdict = self.retries.decide(
            retries.Attempt(
                SERVICE,
                record.call.idempotent,
                retries.Sent.MAYBE,
                attempt,
                work.deadline,
            ),
            self.now,
            self.rng.random(),
        )
        if not self.mechanisms.budget and record.call.idempotent and attempt < 3:
            verdict = retries.Retry(0.0)
        if isinstance(verdict, retries.GiveUp):
            record.code, record.ended_at = verdict.code, self.now
            return
        excluded = work.excluded | {server.name}
        if len(excluded) >= len(self.servers):
            excluded = frozenset()
        self.at(
            self.now + verdict.delay,
            lambda: self._arrive(record, attempt + 1, excluded),
        )
