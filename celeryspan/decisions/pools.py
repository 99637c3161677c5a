"""The ledger of a pool: who gets which place at the backend servers of one service.

Load answered: all requests of a service, of all routers, at servers that admit in the
order of arrival and know neither accounts nor objectives. (A service with many servers
has several pools, see :mod:`shards`.) One router, the home of the
pool, decides for all, since six routers that each see a sixth of an engine's prompts
can neither keep long prompts apart nor hold accounts to equal shares.

* The account that has begun least goes first (:mod:`accountshares`). Within it,
  requests that can still be in time go before those that can't: a late answer is worth
  less to its caller, and in a queue where all wait alike all are late. Otherwise the
  order of arrival holds.
* An account with nothing but late requests gives way to others, up to a bound: without
  the bound one whose router holds requests up gets nothing beside a flood.
* Where a request goes is chosen by :mod:`placing`; what no server can take yet waits
  here, never in an engine's queue.
* What can't be served in a sensible time is refused at once, with the time after which
  a place is likely. An account that has more waiting than it gets places for in time
  (:mod:`paces`) has no room in the queue.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import accountshares, paces, placing, poolqueue, poolservers
from celeryspan.wire import messages

WAIT_TIMEOUT_SHARE = 0.25
"""Part of the timeout after which a request that waits is refused: the caller can then
still come back and be served. A late answer is worth more to it than none."""

WAIT_OBJECTIVES_MAX = 3.0
"""Latency objectives after which a request that waits is refused: callers give up on a
stream without an event after four of them."""

START_MARGIN_SECONDS = 0.1
"""A request counts as in time only if it could start this much later still: a server
has up to this much reading before it. With twice the load that engines can read it
raised the answers in time from 443 of 786 to 649 of 772 (trial of the emulator)."""

LATE_WEIGHT = 1.5
"""What service counts for when an account has only late requests: two thirds of what
others get, where fairness asks for half."""

ACCOUNT_QUEUE_OBJECTIVES = 3.0
"""Latency objectives of work that one account may have waiting at its pace: as long as
a request waits at most."""

ACCOUNT_QUEUE_PER_SERVER_MIN = 16
"""Requests of one account that may wait for each server, whatever its pace."""

NO_SERVER = ids.ServerId("")

LOOKAHEAD_REQUESTS = 10
"""Requests of one account that are weighed against each other: one that fits nowhere
yet does not hold up the rest, and the choice is bounded in time."""

RETRY_JITTER = 0.5
"""Refused callers return over a time this much longer than the estimate."""

RETRY_SECONDS_MIN = 0.05


class Answer(msgspec.Struct, frozen=True):
    """What a router is told, and what decided it.

    Attributes
    ----------
    waited : float
        Time that the request waited here, in seconds.
    is_late : bool
        Whether it can no longer be in time.
    run : Run or None
        The place taken; None for a refusal.
    """

    router: ids.RouterId
    ask: messages.SlotRequest
    message: messages.SlotOffer | messages.SlotRefusal
    waited: float
    is_late: bool = False
    run: poolservers.Run | None = None


class GroupKey(NamedTuple):
    """Requests of one account that are weighed against each other.

    Those in time go before the late ones of the same account: its level counts less.
    """

    is_late: bool
    account: ids.AccountId


TasksByGroup = dict[GroupKey, list[poolqueue.Task]]


class Pool:
    """Places at the servers of one service, and the requests that wait for them.

    Parameters
    ----------
    generator : random.Random
        Spreads the return of those refused.
    """

    def __init__(self, name: ids.PoolId, generator: random.Random) -> None:
        self.name = name
        self._generator = generator
        self._placer = placing.Placer()
        self._shares = accountshares.AccountShares()
        self._rates = paces.PlacementRates()
        self._queue = poolqueue.PoolQueue()
        self._queue_seconds = 0.0

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set which servers may get new work."""
        self._placer.set_servers(entries, engine)

    def pop_unqueried(self) -> list[catalog.ServerEntry]:
        """Return the engines that are to be asked what they keep; each comes once."""
        return self._placer.pop_unqueried()

    def add_cached_parts(
        self,
        asked: catalog.ServerEntry,
        parts: Iterable[messages.PromptPart],
        now: float,
    ) -> None:
        """Take in what an engine says that it keeps."""
        self._placer.add_cached_parts(asked, parts, now)

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[Answer]:
        """Take in a request; returns what is decided at once.

        While others wait the next :meth:`tick` decides for all: deciding anew for each
        message took a whole core with some hundred requests waiting.
        """
        task = self._make_task(router, ask, now)
        if self._placer.exceeds_memory(ask):
            return [self._refuse(task, "too-large", now)]
        self._placer.record_arrival(ask, now)
        if self._exceeds_queue_limit(ask, now):
            return [self._refuse(task, "no-place-in-time", now)]
        others_wait = bool(self._queue)
        self._queue.add(task)
        return [] if others_wait else self.decide(now)

    def _exceeds_queue_limit(self, ask: messages.SlotRequest, now: float) -> bool:
        """Whether more of an account waits than gets places in time.

        Without a server there is no pace to go by: the list may be late.
        """
        servers = self._placer.count_servers()
        waiting = self._queue.count(ask.account)
        if not servers or waiting < ACCOUNT_QUEUE_PER_SERVER_MIN * servers:
            return False
        rate = self._rates.measure(ask.account, now)
        return waiting >= rate * ask.objective * ACCOUNT_QUEUE_OBJECTIVES

    def _make_task(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> poolqueue.Task:
        arrived = now - ask.waited
        first_event = self._placer.estimate_first_event(ask)
        patience = min(
            ask.timeout * WAIT_TIMEOUT_SHARE, ask.objective * WAIT_OBJECTIVES_MAX
        )
        return poolqueue.Task(
            ask,
            router,
            arrived_at=now,
            start_by=arrived + ask.objective - first_event - START_MARGIN_SECONDS,
            give_up_at=arrived + patience - first_event,
            end_at=arrived + ask.timeout,
            is_long=self._placer.is_long(ask),
            work=self._placer.estimate_work(ask),
        )

    def cancel(self, request: ids.RequestId) -> None:
        """Take a request out of the queue."""
        self._queue.cancel(request)

    def begin(
        self, request: ids.RequestId, server: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Note the first event of a run; returns where it is to go on, if it moves."""
        self._placer.begin(request, server, now)
        return self._placer.migrate(request, server, now)

    def settle_migration(self, moved: messages.RunMoved, now: float) -> None:
        """Take back the place that a run has left, or did not move to."""
        self._placer.settle_migration(
            moved.request, moved.server, moved.target, now, is_moved=moved.is_moved
        )

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Take a place back; ``pause`` is the longest between two events."""
        self._placer.end(request, server, ending, now, pause)

    def restore_run(
        self, router: ids.RouterId, run: messages.RunHeld, now: float
    ) -> None:
        """Take in a run that another home has placed."""
        self._placer.restore_run(router, run, now)

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the requests and runs of a router that is dead."""
        self._queue.remove_matching(lambda task: task.router == router)
        self._placer.forget_router(router)

    def list_routers(self) -> set[ids.RouterId]:
        """Return the routers whose requests wait here."""
        return self._queue.list_routers()

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def list_backlogs(self, now: float) -> list[poolqueue.Backlog]:
        """Return what waits of each account, those with most waiting first."""
        return self._queue.list_backlogs(
            lambda account: self._shares.measure(account, now), now
        )

    def count_runs(self) -> int:
        """Return how many places are taken."""
        return self._placer.count_runs()

    def sum_shares(
        self, dimension: int, now: float
    ) -> tuple[messages.AccountUnits, ...]:
        """Return what the partner in a dimension is to be told of accounts."""
        units = self._shares.sum_units(dimension, now)
        return tuple(
            messages.AccountUnits(name, value) for name, value in units.items()
        )

    def receive_shares(self, told: messages.PoolShares, now: float) -> None:
        """Take in what another shard says that accounts have begun."""
        units = {each.account: each.units for each in told.units}
        self._shares.receive(told.dimension, units, now)

    def measure_pressure(self, now: float) -> float:
        """Return how long a request that comes now would wait, in seconds."""
        slot_wait = self._placer.estimate_slot_wait(self.count_waiting())
        return max(slot_wait, self._queue_seconds) + self._placer.measure_pending(now)

    def tick(self, now: float) -> list[Answer]:
        """Decide again: servers have read on, and some have waited too long."""
        self._placer.expire(now)
        answers = self._expire(now) + self.decide(now)
        self._queue_seconds = self._estimate_wait()
        return answers

    def decide(self, now: float) -> list[Answer]:
        """Place as many requests as servers can take now.

        Long prompts go to servers of their own, so that neither kind waits behind the
        other's oldest requests.
        """
        answers: list[Answer] = []
        for is_long in (False, True):
            if self._placer.has_capacity(is_long, now):
                candidates = self._group_waiting(is_long, now)
                answers += self._place_groups(candidates, is_long, now)
        return answers

    def _group_waiting(self, is_long: bool, now: float) -> TasksByGroup:
        """Return the requests of each account that fit, oldest first."""
        found: TasksByGroup = {}
        for task in self._queue:
            if task.is_long == is_long and self._can_place(task.ask):
                group = GroupKey(task.start_by < now, task.ask.account)
                found.setdefault(group, []).append(task)
        for fitting in found.values():
            fitting.sort(key=lambda task: task.arrived_at)
        return found

    def _can_place(self, ask: messages.SlotRequest) -> bool:
        """Whether a request need not wait for others that run apart, as it must."""
        return not ask.isolation or self._placer.can_isolate(ask)

    def _place_groups(
        self, candidates: TasksByGroup, is_long: bool, now: float
    ) -> list[Answer]:
        answers: list[Answer] = []
        while candidates and self._placer.has_capacity(is_long, now):
            group = min(candidates, key=self._priority)
            answer = self._place_one(candidates[group], now)
            if answer is not None:
                answers.append(answer)
            if answer is None or not candidates[group]:
                del candidates[group]
        return answers

    def _priority(self, group: GroupKey) -> tuple[float, GroupKey]:
        """Return the place of an account in line; the least goes first."""
        level = self._shares.level(group.account)
        return level * (LATE_WEIGHT if group.is_late else 1.0), group

    def _place_one(self, tasks: list[poolqueue.Task], now: float) -> Answer | None:
        """Place one of the oldest requests, and take it out.

        It is the one that fits the servers that are free best: in a peak one engine at
        a time is free, and would read again what another one keeps.
        """
        best: tuple[float, int, ids.ServerId] | None = None
        for index, task in enumerate(tasks[:LOOKAHEAD_REQUESTS]):
            choice = self._placer.choose(task.ask, now - task.arrived_at, now)
            if choice is None:
                continue
            if best is None or choice.regret < best[0]:
                best = (choice.regret, index, choice.server)
            if choice.regret <= 0.0:
                break
        if best is None:
            return None
        return self._offer(tasks.pop(best[1]), best[2], now)

    def _offer(self, task: poolqueue.Task, server: ids.ServerId, now: float) -> Answer:
        self._queue.remove(task)
        run = self._placer.start_run(task.ask, task.router, server, task.end_at, now)
        self._shares.charge(task.ask.account, task.units, now)
        self._rates.record(task.ask.account, now)
        pressure = self.measure_pressure(now)
        offer = messages.SlotOffer(
            task.ask.request, self.name, server, pressure, run.source or NO_SERVER
        )
        return _make_answer(task, offer, now, run)

    def _expire(self, now: float) -> list[Answer]:
        late = self._queue.remove_matching(lambda task: task.give_up_at <= now)
        return [self._refuse(task, "no-place-in-time", now) for task in late]

    def _refuse(self, task: poolqueue.Task, reason: str, now: float) -> Answer:
        wait = self._estimate_wait()
        jitter = 1.0 + RETRY_JITTER * self._generator.random()
        retry_after = max(RETRY_SECONDS_MIN, wait) * jitter
        refusal = messages.SlotRefusal(
            task.ask.request, self.name, retry_after, reason, self.measure_pressure(now)
        )
        return _make_answer(task, refusal, now)

    def _estimate_wait(self) -> float:
        """Return the time in which what waits now will have been placed, in seconds."""
        return self._placer.estimate_wait(self._queue.work)


def _make_answer(
    task: poolqueue.Task,
    message: messages.SlotOffer | messages.SlotRefusal,
    now: float,
    run: poolservers.Run | None = None,
) -> Answer:
    waited = now - task.arrived_at
    return Answer(task.router, task.ask, message, waited, task.start_by < now, run)
