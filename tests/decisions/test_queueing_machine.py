"""Queues under random orders of arrivals, grants, lost grants, cancels and delays."""

from __future__ import annotations

import collections

from hypothesis import stateful, strategies

from celeryspan import dispatch, ids
from celeryspan.decisions import queueing

SERVICE = ids.ServiceId("gate-desk")
SERVER = ids.ServerId("s1")
ACCOUNTS = [ids.AccountId(name) for name in "abc"]


class QueueMachine(stateful.RuleBasedStateMachine):
    """Each request is in exactly one place and leaves it once."""

    def __init__(self) -> None:
        super().__init__()
        self.queues = queueing.Queues()
        self.now = 0.0
        self.count = 0
        self.waiting: dict[ids.RequestId, dispatch.Work] = {}
        self.granted: dict[ids.RequestId, dispatch.Work] = {}
        self.overtaken: collections.Counter[ids.RequestId] = collections.Counter()

    @stateful.rule(
        account=strategies.sampled_from(ACCOUNTS),
        seconds=strategies.floats(0.1, 20.0),
        cost=strategies.floats(1.0, 100.0),
    )
    def arrive(self, account: ids.AccountId, seconds: float, cost: float) -> None:
        self.count += 1
        request = ids.RequestId(f"r{self.count}")
        work = dispatch.Work(request, SERVICE, account, self.now + seconds)
        self.queues.add(work, 10, cost, self.now)
        self.waiting[request] = work

    @stateful.rule(
        account=strategies.sampled_from(ACCOUNTS), preferred=strategies.integers(0, 9)
    )
    def grant(self, account: ids.AccountId, preferred: int) -> None:
        def affinity(work: dispatch.Work) -> float:
            return float(int(work.request[1:]) % 10 == preferred)

        entry = self.queues.pick(SERVICE, account, SERVER, self.now, affinity)
        if entry is None:
            return
        assert entry.work.account == account
        assert entry.work.deadline > self.now
        work = self.waiting.pop(entry.work.request)
        self.granted[work.request] = work
        for request, other in self.waiting.items():
            older = int(request[1:]) < int(work.request[1:])
            if other.account == account and older:
                self.overtaken[request] += 1

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=strategies.data(), lost=strategies.booleans())
    def leave(self, data: strategies.DataObject, lost: bool) -> None:
        request = data.draw(strategies.sampled_from(sorted(self.granted)))
        work = self.granted.pop(request)
        if lost:
            self.queues.requeue(request, self.now)
            self.waiting[request] = work
        else:
            self.queues.finish(request, self.now)
            self.queues.finish(request, self.now)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        request = data.draw(strategies.sampled_from(sorted(self.waiting)))
        assert self.queues.cancel(request, self.now) is not None
        assert self.queues.cancel(request, self.now) is None
        del self.waiting[request]

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for entry in self.queues.expire(self.now):
            del self.waiting[entry.work.request]
        assert all(work.deadline > self.now for work in self.waiting.values())

    @stateful.invariant()
    def counts_agree(self) -> None:
        held = collections.Counter(work.account for work in self.waiting.values())
        for account in ACCOUNTS:
            assert self.queues.waiting(SERVICE, account) == held[account]
            assert self.queues.account_bytes(account) == 10 * held[account]
        assert self.queues.total_bytes == 10 * len(self.waiting)

    @stateful.invariant()
    def no_request_is_overtaken_indefinitely(self) -> None:
        limit = queueing.MAX_OVERTAKES
        assert all(count <= limit + 1 for count in self.overtaken.values())


TestQueueMachine = QueueMachine.TestCase
