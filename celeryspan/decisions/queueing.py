"""Queues of one router: one for each service and client account.

Load pattern: more requests arrive than the granted slots can take, from accounts whose
load differs by orders of magnitude, with long jobs among short ones and with prompts
that share prefixes.

Without it: one queue for all lets a flooding account stand before everyone else;
strict arrival order sends a prompt to whichever server is free and recomputes a prefix
that another server has cached; choosing by cached prefix alone passes over a request
without a known prefix for ever; a queue that is only looked at when a slot is free
answers a request whose time is over long after its caller has left.

Grounds of the figures: stated beside each constant; `docs/design/admission.md` has the
measurements.
"""

from __future__ import annotations

import collections
import heapq
from collections.abc import Callable, Iterator

import msgspec

from celeryspan import dispatch, ids
from celeryspan.decisions import drain
from celeryspan.wire import messages

MAX_OVERTAKES = 16
"""Times that younger requests may be served before an older one of the account."""

MAX_CANDIDATES = 32
"""Requests at the head of a queue that compete for a grant; bounds time per pick."""

LONG_COST_FACTOR = 4.0
"""A request is long if its estimate exceeds the account's mean by this factor."""

MAX_LONG_SLOT_SHARE = 0.5
"""Share of an account's slots that long requests may hold while short ones wait."""

MEAN_COST_SMOOTHING = 0.05
"""Weight of a new request in the account's mean estimate: the last twenty count."""

RUN_TIME_FACTOR = 1.0
"""Share of the expected run time without which a request is not started. Measured from
0.5 to 1.5 with hints off by three: below 1 slots are spent on late answers, above 1
accounts within their share are refused what could be done."""

MIN_WAIT_SHARE = 0.1
"""Share of its time that a request may wait whatever its hint says: a hint far too high
must not refuse a request for which a slot is about to be free."""

Affinity = Callable[[dispatch.Work], float]
"""Cost units saved if a request ran on the granted server rather than elsewhere."""


class QueuedRequest(msgspec.Struct):
    """A request that waits or holds a grant.

    Attributes
    ----------
    size : int
        Bytes of memory that its body takes.
    cost_estimate : float
        Expected cost in cost units.
    enqueued_at : float
        Time of admission, in seconds.
    start_by : float
        Time after which the answer would come too late.
    overtaken_count : int
        How often a younger request of the account was served before it.
    picked_at : float or None
        Time at which it was given a grant.
    """

    work: dispatch.Work
    size: int
    cost_estimate: float
    enqueued_at: float
    start_by: float
    overtaken_count: int = 0
    picked_at: float | None = None


class AccountQueue:
    """Requests of one client account for one service, at this router."""

    __slots__ = (
        "cost",
        "drain_rate",
        "entries",
        "long_running",
        "mean_cost",
        "running",
    )

    def __init__(self) -> None:
        self.entries: collections.OrderedDict[ids.RequestId, QueuedRequest] = (
            collections.OrderedDict()
        )
        self.drain_rate = drain.DrainRate()
        self.cost = 0.0
        self.mean_cost = 0.0
        self.running = 0
        self.long_running = 0

    def is_long(self, entry: QueuedRequest) -> bool:
        """Tell whether a request is long for this account."""
        return entry.cost_estimate > LONG_COST_FACTOR * self.mean_cost


class Queues:
    """All queues of one router."""

    def __init__(self) -> None:
        self._queues: dict[tuple[ids.ServiceId, ids.AccountId], AccountQueue] = {}
        self._waiting: dict[ids.RequestId, QueuedRequest] = {}
        self._running: dict[ids.RequestId, tuple[QueuedRequest, bool]] = {}
        self._deadlines: list[tuple[float, ids.RequestId]] = []
        self._bytes: dict[ids.AccountId, int] = {}
        self._run_times: dict[ids.ServiceId, drain.RunTimeEstimator] = {}
        self.total_bytes = 0

    def add(
        self, work: dispatch.Work, size: int, estimate: float, now: float
    ) -> QueuedRequest:
        """Append a request that admission has let in."""
        start_by = now + self.max_wait(work, estimate, now)
        entry = QueuedRequest(work, size, estimate, now, start_by)
        queue = self._get_queue(work)
        self._insert(queue, entry, now)
        share = MEAN_COST_SMOOTHING if queue.mean_cost else 1.0
        queue.mean_cost += (estimate - queue.mean_cost) * share
        return entry

    def pick(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        server: ids.ServerId,
        now: float,
        affinity: Affinity | None = None,
    ) -> QueuedRequest | None:
        """Take the request that fits a granted server best.

        A request is overtaken at most ``MAX_OVERTAKES`` times.
        Returns None if no waiting request may go to this server.
        """
        queue = self._queues.get((service, account))
        if queue is None:
            return None
        candidates = list(self._candidates(queue, server, now))
        if not candidates:
            return None
        chosen = self._choose(queue, candidates, affinity)
        for entry in candidates:
            if entry is chosen:
                break
            entry.overtaken_count += 1
        self._start(queue, chosen, now)
        return chosen

    def clear_exclusion(
        self, service: ids.ServiceId, account: ids.AccountId, server: ids.ServerId
    ) -> None:
        """Let the waiting requests of an account go to a server that failed them.

        Guards against a grant that goes to and fro: its home has no other server, so
        that it offers the same one for ever while the requests wait.
        """
        queue = self._queues.get((service, account))
        for entry in queue.entries.values() if queue else ():
            left = entry.work.excluded - {server}
            entry.work = msgspec.structs.replace(entry.work, excluded=left)

    def requeue(self, request: ids.RequestId, now: float) -> None:
        """Put a picked request back in front: its grant ended before it was sent."""
        entry, was_long = self._running.pop(request)
        queue = self._get_queue(entry.work)
        queue.running -= 1
        queue.long_running -= was_long
        queue.drain_rate.record_departures(now, -1)
        entry.picked_at = None
        entry.overtaken_count = MAX_OVERTAKES
        self._insert(queue, entry, now)
        queue.entries.move_to_end(request, last=False)

    def finish(self, request: ids.RequestId, now: float, answered: bool = True) -> None:
        """Forget a picked request: it has its answer or its error."""
        found = self._running.pop(request, None)
        if found is None:
            return
        entry, was_long = found
        if answered and entry.picked_at is not None:
            run_time = self._run_times.setdefault(
                entry.work.service, drain.RunTimeEstimator()
            )
            run_time.record(now - entry.picked_at, entry.cost_estimate)
        queue = self._get_queue(entry.work)
        queue.running -= 1
        queue.long_running -= was_long
        self._discard_if_unused(entry.work)

    def cancel(self, request: ids.RequestId, now: float) -> QueuedRequest | None:
        """Take out a waiting request whose caller has left."""
        entry = self._waiting.get(request)
        if entry is not None:
            self._remove(entry, now)
        return entry

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out requests that can no longer be answered in time.

        Their callers are to be told at once; run, they would take slots for nothing.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heapq.heappop(self._deadlines)
            entry = self._waiting.get(request)
            if entry is not None:
                self._remove(entry, now)
                expired.append(entry)
        return expired

    def shed(self, account: ids.AccountId, now: float) -> QueuedRequest | None:
        """Take out the youngest waiting request of an account."""
        found = [
            next(reversed(queue.entries.values()))
            for key, queue in self._queues.items()
            if key[1] == account and queue.entries
        ]
        if not found:
            return None
        youngest = max(found, key=lambda entry: entry.enqueued_at)
        self._remove(youngest, now)
        return youngest

    def next_deadline(self) -> float | None:
        """Return when to call :meth:`expire` next, or None if nothing waits."""
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def demand(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        sequence: int,
        now: float,
    ) -> messages.Demand:
        """Return what to report to the homes of a service."""
        queue = self._queues.get((service, account))
        waiting = len(queue.entries) if queue else 0
        if queue is None or not waiting:
            return messages.Demand(service, account, 0, 0.0, sequence, 0.0)
        oldest = next(iter(queue.entries.values()))
        age = now - oldest.enqueued_at
        mean = queue.cost / waiting
        return messages.Demand(service, account, waiting, age, sequence, mean)

    def backlogged(self) -> list[tuple[ids.ServiceId, ids.AccountId]]:
        """Return the queues in which something waits."""
        return [key for key, queue in self._queues.items() if queue.entries]

    def oldest(
        self, service: ids.ServiceId, account: ids.AccountId
    ) -> QueuedRequest | None:
        """Return the first request in line, for which a server may be asked first."""
        queue = self._queues.get((service, account))
        return next(iter(queue.entries.values()), None) if queue else None

    def waiting(self, service: ids.ServiceId, account: ids.AccountId) -> int:
        """Return how many requests wait in one queue."""
        queue = self._queues.get((service, account))
        return len(queue.entries) if queue else 0

    def drain_rate(
        self, service: ids.ServiceId, account: ids.AccountId, now: float
    ) -> float | None:
        """Return requests a second that leave a queue, or None if not yet known."""
        queue = self._queues.get((service, account))
        return queue.drain_rate.estimate(now) if queue else None

    def expected_run_time(self, service: ids.ServiceId, estimate: float) -> float:
        """Return the expected seconds from sending to the end of the answer."""
        run_time = self._run_times.get(service)
        return run_time.estimate(estimate) if run_time else 0.0

    def max_wait(self, work: dispatch.Work, estimate: float, now: float) -> float:
        """Return the seconds that a request may wait and still be answered in time."""
        left = work.deadline - now
        run = RUN_TIME_FACTOR * self.expected_run_time(work.service, estimate)
        return max(left - run, MIN_WAIT_SHARE * left)

    def account_bytes(self, account: ids.AccountId) -> int:
        """Return the bytes that an account's waiting requests take."""
        return self._bytes.get(account, 0)

    def largest_account(self) -> ids.AccountId | None:
        """Return the account with the most waiting bytes."""
        if not self._bytes:
            return None
        return max(self._bytes, key=lambda account: (self._bytes[account], account))

    def _candidates(
        self, queue: AccountQueue, server: ids.ServerId, now: float
    ) -> Iterator[QueuedRequest]:
        scanned = 0
        for entry in queue.entries.values():
            if entry.start_by <= now or server in entry.work.excluded:
                continue
            yield entry
            scanned += 1
            if scanned >= MAX_CANDIDATES:
                return

    def _choose(
        self,
        queue: AccountQueue,
        candidates: list[QueuedRequest],
        affinity: Affinity | None,
    ) -> QueuedRequest:
        for entry in candidates:
            if entry.overtaken_count >= MAX_OVERTAKES:
                return entry
        allowed = MAX_LONG_SLOT_SHARE * (queue.running + 1)
        if queue.long_running + 1 > allowed:
            short = [entry for entry in candidates if not queue.is_long(entry)]
            candidates = short or candidates
        if affinity is None:
            return candidates[0]
        return max(candidates, key=lambda entry: affinity(entry.work))

    def _start(self, queue: AccountQueue, entry: QueuedRequest, now: float) -> None:
        queue.drain_rate.record_departures(now)
        self._remove(entry, now, keep=True)
        entry.picked_at = now
        was_long = queue.is_long(entry)
        queue.running += 1
        queue.long_running += was_long
        self._running[entry.work.request] = (entry, was_long)

    def _get_queue(self, work: dispatch.Work) -> AccountQueue:
        key = (work.service, work.account)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = AccountQueue()
        return queue

    def _insert(self, queue: AccountQueue, entry: QueuedRequest, now: float) -> None:
        work = entry.work
        if not queue.entries:
            queue.drain_rate.start(now)
        queue.entries[work.request] = entry
        queue.cost += entry.cost_estimate
        self._waiting[work.request] = entry
        self._bytes[work.account] = self._bytes.get(work.account, 0) + entry.size
        self.total_bytes += entry.size
        heapq.heappush(self._deadlines, (entry.start_by, work.request))

    def _remove(self, entry: QueuedRequest, now: float, keep: bool = False) -> None:
        work = entry.work
        queue = self._get_queue(work)
        del queue.entries[work.request]
        del self._waiting[work.request]
        queue.cost -= entry.cost_estimate
        if not queue.entries:
            queue.cost = 0.0
            queue.drain_rate.stop(now)
        self.total_bytes -= entry.size
        self._bytes[work.account] -= entry.size
        if not self._bytes[work.account]:
            del self._bytes[work.account]
        if not keep:
            self._discard_if_unused(work)

    def _discard_if_unused(self, work: dispatch.Work) -> None:
        """Keep a queue's measured rate; only queues that never served are dropped."""
        key = (work.service, work.account)
        queue = self._queues[key]
        if (
            not queue.entries
            and not queue.running
            and queue.drain_rate.estimate(0.0) is None
        ):
            del self._queues[key]
