"""Request queues of one router: one queue per service and client account.

Requests arrive faster than granted slots can serve them. The load of accounts differs
by orders of magnitude, long jobs are mixed with short ones, and prompts share prefixes.

The design avoids these faults of simpler queues:

- One queue for all accounts lets a flooding account block everyone else.
- Strict arrival order sends a prompt to whichever server is free, and recomputes a
  prefix that another server has cached.
- Choosing by cached prefix alone starves requests without a cached prefix.
- A queue that is checked only when a slot is free answers an expired request long
  after its caller has disconnected.

``docs/design/admission.md`` has the measurements behind the constants.
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
"""Times that younger requests of an account may be served before an older one."""

MAX_CANDIDATES = 32
"""Requests at the head of a queue considered for a grant; bounds the time per pick."""

LONG_COST_FACTOR = 4.0
"""A request is long if its estimated cost exceeds the account's mean by this factor."""

MAX_LONG_SLOT_SHARE = 0.5
"""Share of an account's slots that long requests may hold while short ones wait."""

MEAN_COST_SMOOTHING = 0.05
"""Weight of a new request in the account's mean cost, about a 20-request average."""

RUN_TIME_FACTOR = 1.0
"""Part of its expected run time that a request needs before its deadline to be started.
With cost hints off by a factor of three, values from 0.5 to 1 spend slots on late
answers, and values from 1 to 1.5 refuse requests, of accounts within their share, that
could have been served."""

MIN_WAIT_SHARE = 0.1
"""Share of the time to its deadline that a request may always wait. Without it, a cost
hint that is far too high would refuse a request although a slot is about to be free."""

Affinity = Callable[[dispatch.Work], float]
"""Returns the cost units saved by running a request on the granted server."""


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
        Time, in seconds, after which the answer would miss its deadline.
    overtaken_count : int
        How often a younger request of the account was served first.
    picked_at : float or None
        Time at which the request received a grant, in seconds.
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
        """Return whether a request is long for this account."""
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
        """Append an admitted request."""
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
        """Remove and return the waiting request with the highest affinity to a server.

        A request is overtaken at most ``MAX_OVERTAKES`` times. While short requests
        wait, long ones hold at most ``MAX_LONG_SLOT_SHARE`` of the account's slots.
        Returns None if no waiting request may run on this server.
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
        """Allow the waiting requests of an account to run on a server that failed them.

        If the home has no other server, it offers the same one again each time; without
        this, the grant would be returned repeatedly while the requests wait.
        """
        queue = self._queues.get((service, account))
        for entry in queue.entries.values() if queue else ():
            left = entry.work.excluded - {server}
            entry.work = msgspec.structs.replace(entry.work, excluded=left)

    def requeue(self, request: ids.RequestId, now: float) -> None:
        """Put a picked request back at the head: its grant ended before it was sent."""
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
        """Remove a picked request that has been answered or has failed."""
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
        """Remove a waiting request whose caller has disconnected."""
        entry = self._waiting.get(request)
        if entry is not None:
            self._remove(entry, now)
        return entry

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer be answered in time.

        Their callers are told at once; running them would waste slots.
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
        """Remove and return the youngest waiting request of an account."""
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
        """Return the demand to report to the homes of a service."""
        queue = self._queues.get((service, account))
        waiting = len(queue.entries) if queue else 0
        if queue is None or not waiting:
            return messages.Demand(service, account, 0, 0.0, sequence, 0.0)
        oldest = next(iter(queue.entries.values()))
        age = now - oldest.enqueued_at
        mean = queue.cost / waiting
        return messages.Demand(service, account, waiting, age, sequence, mean)

    def backlogged(self) -> list[tuple[ids.ServiceId, ids.AccountId]]:
        """Return the queues that are not empty."""
        return [key for key, queue in self._queues.items() if queue.entries]

    def oldest(
        self, service: ids.ServiceId, account: ids.AccountId
    ) -> QueuedRequest | None:
        """Return the request at the head of a queue, or None if the queue is empty."""
        queue = self._queues.get((service, account))
        return next(iter(queue.entries.values()), None) if queue else None

    def waiting(self, service: ids.ServiceId, account: ids.AccountId) -> int:
        """Return the length of a queue."""
        queue = self._queues.get((service, account))
        return len(queue.entries) if queue else 0

    def drain_rate(
        self, service: ids.ServiceId, account: ids.AccountId, now: float
    ) -> float | None:
        """Return the requests per second that leave a queue, or None if unknown."""
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
        """Return the memory that the waiting requests of an account take, in bytes."""
        return self._bytes.get(account, 0)

    def largest_account(self) -> ids.AccountId | None:
        """Return the account whose waiting requests take the most memory."""
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
        """Delete an empty queue, unless it has a drain rate worth keeping."""
        key = (work.service, work.account)
        queue = self._queues[key]
        if (
            not queue.entries
            and not queue.running
            and queue.drain_rate.estimate(0.0) is None
        ):
            del self._queues[key]
