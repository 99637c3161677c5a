"""Simulates one router with fake backend servers on a virtual clock.

Shared by the measurements and by the tests that check the results that callers receive.
The router assigns each free slot to the backlogged account with the least service
received, in place of the grants that homes issue. All other decisions come from the
modules under `celeryspan.decisions`.
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
SHARED_ACCOUNT = ids.AccountId("all")
CONSTANT_RETRY_SECONDS = 1.0
UNLIMITED_SECONDS = 1e9
ATTEMPT_TIMEOUT_SECONDS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, with its timeouts and its cost.

    Attributes
    ----------
    attempt_timeout : float
        Seconds that one attempt may take.
    retry_period : float
        Seconds after the first attempt in which a refused caller retries.
    prompt : tuple of int
        Blocks of the prompt; each takes `Router.block_seconds` if not cached.
    """

    at: float
    account: str
    cost: float
    attempt_timeout: float = ATTEMPT_TIMEOUT_SECONDS
    retry_period: float = 0.0
    prompt: tuple[int, ...] = ()
    hint: float | None = None
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Record:
    """The result of one call, over all its attempts."""

    call: Call
    attempts: int = 0
    attempt_at: float = 0.0
    runs: int = 0
    wait: float = 0.0
    answered_at: float | None = None
    ended_at: float | None = None
    code: str = ""


class Server:
    """A fake backend server with slots, a speed, a prompt cache and failures.

    Parameters
    ----------
    rate : float
        Cost units per second of one slot.
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
        """Return total decode seconds and total cost units of the running requests."""
        seconds = [
            max(0.0, now - started - prompt)
            for started, prompt, _ in self.running.values()
        ]
        rates = [rate for _, _, rate in self.running.values()]
        units = [elapsed * rate for elapsed, rate in zip(seconds, rates, strict=True)]
        return sum(seconds), sum(units)

    def count_cached(self, prompt: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        return len(list(itertools.takewhile(lambda block: block in self.cache, prompt)))

    def store(self, prompt: tuple[int, ...], now: float) -> None:
        """Cache the blocks of a prompt, evicting the least recently used."""
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
    """Register an admission policy under a name."""

    def add(function: Admit) -> Admit:
        ADMISSIONS[name] = function
        return function

    return add


@register_admission("celeryspan")
def admit_by_drain_rate(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Apply the admission control of the package."""
    return router.admission.admit(
        work, router.body_bytes, estimate, router.now, router.rng.random()
    )


@register_admission("open")
def admit_all(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Admit every request."""
    return admission.Admitted(router.queues.add(work, 1, estimate, router.now))


@register_admission("bounded")
def admit_by_count(
    router: Router, work: dispatch.Work, estimate: float
) -> admission.AdmissionResult:
    """Refuse above a fixed queue length, with a constant retry delay."""
    if router.queues.waiting(work.service, work.account) >= admission.MAX_WAITING:
        reason = admission.Reason.QUEUE_FULL
        return admission.Refused(work.request, reason, CONSTANT_RETRY_SECONDS)
    return admit_all(router, work, estimate)


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Mechanisms that are enabled, so that each can be compared with its absence."""

    admission: str = "celeryspan"
    account_queues: bool = True
    affinity: str = "celeryspan"
    ejection: bool = True
    budget: bool = True
    event_lag: float = 2.0
    event_loss: float = 0.0


class Router:
    """Simulates calls to the servers and records the result of each.

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
        limits: admission.AdmissionLimits | None = None,
    ) -> None:
        self.servers = {server.name: server for server in servers}
        self.mechanisms = mechanisms or Mechanisms()
        self.rng = random.Random(seed)
        self.body_bytes = body_bytes
        self.queues = queueing.Queues()
        self.admission = admission.Admission(self.queues, limits)
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

    def run(self, calls: list[Call], until: float = UNLIMITED_SECONDS) -> list[Record]:
        """Simulate all calls and return a record of each."""
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
        """Schedule an action at a virtual time, such as a change to a server."""
        heapq.heappush(self._events, (max(time, self.now), next(self._order), action))

    def _tick(self) -> None:
        """Start due trials of ejected servers and apply cache events, each second."""
        self.outliers.start_due_trials(self.now)
        for server in self.servers.values():
            self._apply_cache_events(server)
            if self.mechanisms.ejection:
                sums = server.sum_running(self.now)
                self.outliers.record_running(server.name, *sums, self.now)
        if self._events or self._by_request:
            self.at(self.now + 1.0, self._tick)

    def _apply_cache_events(self, server: Server) -> None:
        after = self.cache.last_sequence(server.name)
        until = self.now - self.mechanisms.event_lag
        ready = [event for at, event in server.events[after:] if at <= until]
        if not ready:
            return
        delivered = [
            event for event in ready if self.rng.random() >= self.mechanisms.event_loss
        ]
        self.cache.apply_events(server.name, delivered, ready[-1].sequence, self.now)

    def _arrive(self, record: Record, attempt: int = 1, excluded=frozenset()) -> None:
        call = record.call
        record.attempts += 1
        record.attempt_at = self.now
        account = call.account if self.mechanisms.account_queues else SHARED_ACCOUNT
        work = dispatch.Work(
            ids.RequestId(f"r{next(self._order)}"),
            SERVICE,
            ids.AccountId(account),
            self.now + call.attempt_timeout,
            call.hint,
            call.prompt,
            excluded,
        )
        if self.mechanisms.affinity == "pinned":
            work = self._pin_to_server(work)
        self._raise_to_least_received(work.account)
        estimate = call.hint if call.hint is not None else call.cost
        decision = ADMISSIONS[self.mechanisms.admission](self, work, estimate)
        if isinstance(decision, admission.Refused):
            self._handle_refusal(record, decision)
            return
        self._by_request[work.request] = (record, attempt)
        self.at(decision.entry.start_by, self._expire)
        for refusal in decision.shed:
            shed, _ = self._by_request.pop(refusal.request)
            self._handle_refusal(shed, refusal)

    def _handle_refusal(self, record: Record, refusal: admission.Refused) -> None:
        record.code, record.ended_at = refusal.reason.value, self.now
        retry_at = self.now + refusal.retry_after
        if retry_at <= record.call.at + record.call.retry_period:
            self.at(retry_at, lambda: self._arrive(record))

    def _expire(self) -> None:
        for entry in self.queues.expire(self.now):
            record, _ = self._by_request.pop(entry.work.request)
            refusal = self.admission.refuse(
                entry.work, admission.Reason.EXPIRED, self.now, self.rng.random()
            )
            self._handle_refusal(record, refusal)

    def _count_free_slots(self, server: Server) -> int:
        slots = server.slots
        if self.mechanisms.ejection:
            slots = self.outliers.slots(server.name, slots)
        return slots - server.in_use

    def _dispatch(self) -> None:
        while self._assign_next_slot():
            pass

    def _assign_next_slot(self) -> bool:
        """Assign one free slot to the account with the least service received."""
        free = [
            server
            for server in self.servers.values()
            if self._count_free_slots(server) > 0
        ]
        if not free:
            return False
        self.rng.shuffle(free)
        free.sort(key=lambda server: server.in_use / server.slots)
        accounts = [account for _, account in self.queues.backlogged()]
        accounts.sort(key=lambda account: (self._received[account], account))
        return any(
            self._assign_slot(server, account)
            for account in accounts
            for server in self._order_by_affinity(account, free)
        )

    def _order_by_affinity(
        self, account: ids.AccountId, free: list[Server]
    ) -> list[Server]:
        """Return the servers, with the best one for the oldest request first."""
        entry = self.queues.oldest(SERVICE, account)
        if self.mechanisms.affinity != "celeryspan" or entry is None:
            return free
        candidates = [
            routing.Candidate(server.name, server.slots, server.in_use)
            for server in free
        ]
        best = self.routing.choose_server(entry.work, candidates, self.now, self.rng)
        return sorted(free, key=lambda server: server.name != best)

    def _raise_to_least_received(self, account: ids.AccountId) -> None:
        """Raise an account to the least service received by a backlogged account.

        Otherwise an account would accumulate credit while it is idle.
        """
        others = [other for _, other in self.queues.backlogged()]
        if others and account not in others:
            least = min(self._received[other] for other in others)
            self._received[account] = max(self._received[account], least)

    def _assign_slot(self, server: Server, account: ids.AccountId) -> bool:
        affinity = None
        if self.mechanisms.affinity != "none":
            affinity = self._make_affinity(server)
        entry = self.queues.pick(SERVICE, account, server.name, self.now, affinity)
        if entry is None:
            return False
        self._received[account] += entry.cost_estimate
        self._send(server, entry)
        return True

    def _make_affinity(self, server: Server) -> queueing.Affinity:
        if self.mechanisms.affinity == "here":
            return lambda work: self.cache.expected_blocks(server.name, work.prefix)
        return lambda work: self.routing.affinity(server.name, work)

    def _pin_to_server(self, work: dispatch.Work) -> dispatch.Work:
        """Restrict a request to the server that rendezvous hashing picks."""
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
        block_counts = (expected, cached)
        self.at(
            self.now + seconds,
            lambda: self._handle_end(
                server, entry, record, attempt, seconds, failed, block_counts
            ),
        )

    def _handle_end(
        self,
        server: Server,
        entry: queueing.QueuedRequest,
        record: Record,
        attempt: int,
        seconds: float,
        failed: bool,
        block_counts: tuple[int, int],
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
            self._handle_failure(server, entry, record, attempt)
            return
        server.store(call.prompt, self.now)
        self.cache.record_cached(server.name, *block_counts)
        self.retries.record_success(SERVICE)
        record.ended_at = self.now
        record.code = "late"
        if self.now <= entry.work.deadline:
            record.answered_at, record.code = self.now, "answered"

    def _handle_failure(
        self,
        server: Server,
        entry: queueing.QueuedRequest,
        record: Record,
        attempt: int,
    ) -> None:
        work = entry.work
        decision = self.retries.decide(
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
            decision = retries.Retry(0.0)
        if isinstance(decision, retries.GiveUp):
            record.code, record.ended_at = decision.code, self.now
            return
        excluded = work.excluded | {server.name}
        if len(excluded) >= len(self.servers):
            excluded = frozenset()
        self.at(
            self.now + decision.delay,
            lambda: self._arrive(record, attempt + 1, excluded),
        )
