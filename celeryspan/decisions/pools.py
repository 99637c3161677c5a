"""Assigns the slots of one pool of backend servers to waiting requests.

The servers admit in order of arrival and know neither accounts nor latency objectives.
One router, the home of the pool, therefore decides for all routers: six routers that
each see a sixth of an engine's prompts can neither keep long prompts apart nor give
accounts equal shares. A service with many servers has several pools (:mod:`shards`).

* Accounts get equal service (:mod:`placementorder`).
* A grant is charged to its account at once, and refunded if it comes back unused:
  callers of an overloaded router leave before their requests are sent, and their
  account would get less than others for it.
* :mod:`placing` selects the server. Requests that no server can take yet wait here and
  never in an engine's queue.
* Requests that can't be served in reasonable time are refused at once, with the time
  after which a slot is likely to be free. So are requests of an account that already
  has more waiting than its placement rate (:mod:`placementrates`) can serve in time,
  and, if enabled, those that are expected to start too late (:mod:`earlyrefusals`).
"""

from __future__ import annotations

import collections
import random
from collections.abc import Iterable, Sequence

import msgspec

from celeryspan import catalog, ids, states
from celeryspan.decisions import (
    accountshares,
    announcements,
    earlyrefusals,
    placementorder,
    placementrates,
    placing,
    poolqueue,
    poolservers,
    rejections,
    streamversions,
    waitlimits,
)
from celeryspan.wire import messages

REFUNDED_ENDINGS = (
    states.RunEnding.GONE,
    states.RunEnding.REJECTED,
    states.RunEnding.UNREACHABLE,
    states.RunEnding.UNUSED,
)
"""Endings of runs that have used no server. The others are charged even without a first
event: the server may have read the prompt."""

NO_SERVER = ids.ServerId("")


class Answer(msgspec.Struct, frozen=True):
    """A decision on a request and the data behind it.

    Attributes
    ----------
    waited : float
        Time that the request waited in this pool, in seconds.
    is_late : bool
        Whether it can no longer meet its latency objective.
    run : Run or None
        The run that was started; None for a refusal.
    """

    router: ids.RouterId
    ask: messages.SlotRequest
    message: messages.SlotOffer | messages.SlotRefusal
    waited: float
    is_late: bool = False
    run: poolservers.Run | None = None


class Pool:
    """The slots at the servers of one pool and the requests waiting for them.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter in retry times.
    early_refusals : EarlyRefusals
        Whether to refuse requests on arrival that are expected to start too late.
    """

    def __init__(
        self,
        name: ids.PoolId,
        generator: random.Random,
        *,
        early_refusals: states.EarlyRefusals = states.EarlyRefusals.NEVER,
    ) -> None:
        self.name = name
        self._generator = generator
        self._placer = placing.Placer()
        self._shares = accountshares.AccountShares()
        self._rates = placementrates.PlacementRates()
        self._early_refusals = earlyrefusals.EarlyRefusals(
            self._placer, self._shares, early_refusals
        )
        self._queue = poolqueue.PoolQueue(self._early_refusals)
        self._order = placementorder.PlacementOrder(
            self._placer, self._queue, self._shares
        )
        self._queue_seconds = 0.0
        self._must_check_versions = False
        self._unused: collections.Counter[ids.AccountId] = collections.Counter()

    def set_servers(
        self, entries: Sequence[catalog.ServerEntry], engine: catalog.Engine | None
    ) -> None:
        """Set the servers that may get new requests."""
        self._placer.set_servers(entries, engine)
        self._must_check_versions = True

    def limit_cold_grants(self, grants_max: float) -> None:
        """Set how many requests a cold server may be granted within a second."""
        self._placer.limit_cold_grants(grants_max)

    def pop_unqueried(self) -> list[catalog.ServerEntry]:
        """Return the engines to query for their cached parts, each of them once."""
        return self._placer.pop_unqueried()

    def add_cached_parts(
        self,
        asked: catalog.ServerEntry,
        parts: Iterable[messages.PromptPart],
        now: float,
    ) -> None:
        """Add the parts that an engine reports as cached."""
        self._placer.add_cached_parts(asked, parts, now)

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[Answer]:
        """Queue a request; returns the decisions made at once.

        While other requests wait, the next :meth:`tick` decides for all: deciding again
        for each message took a whole core with a few hundred requests waiting.
        """
        task = waitlimits.make_task(self._placer, router, ask, now)
        if self._placer.exceeds_memory(ask):
            return [self._refuse(task, "too-large", now)]
        if not self._placer.has_version(ask.version):
            return [self._refuse_version_gone(task, now)]
        rest = self._placer.measure_rest(router, now)
        if rest is not None:
            return [self._make_refusal(task, announcements.SERVERS_RESTING, rest, now)]
        trial = self._placer.measure_rejection(router, ask, now)
        if trial is not None:
            return [self._refuse_rejecting(task, trial, now)]
        self._placer.record_arrival(ask, now)
        if self._exceeds_queue_limit(ask, now) or not self._early_refusals.admits(
            task, now
        ):
            return [self._refuse(task, "no-place-in-time", now)]
        others_wait = bool(self._queue)
        self._queue.add(task)
        return [] if others_wait else self.decide(now)

    def _exceeds_queue_limit(self, ask: messages.SlotRequest, now: float) -> bool:
        """Whether more requests of an account wait than can be placed in time.

        Without servers there is no placement rate to compare with, because the list of
        servers may not have arrived yet.
        """
        servers = self._placer.count_servers()
        waiting = self._queue.count(ask.account)
        if not servers or waiting < waitlimits.ACCOUNT_QUEUE_PER_SERVER_MIN * servers:
            return False
        rate = self._rates.measure(ask.account, now)
        return waiting >= waitlimits.count_waiting_max(ask, rate)

    def record_rest(
        self, router: ids.RouterId, rest: messages.ServerRest, now: float
    ) -> list[Answer]:
        """Record that a server has asked a router for a rest.

        Returns refusals of the requests that the router has waiting, if all servers
        rest for it.
        """
        self._placer.record_rest(router, rest, now)
        seconds = self._placer.measure_rest(router, now)
        if seconds is None:
            return []
        waiting = self._queue.remove_matching(lambda task: task.router == router)
        reason = announcements.SERVERS_RESTING
        return [self._make_refusal(task, reason, seconds, now) for task in waiting]

    def cancel(self, request: ids.RequestId) -> None:
        """Remove a request from the queue."""
        self._queue.cancel(request)

    def begin(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        now: float,
        load: messages.LoadReport | None = None,
    ) -> ids.ServerId | None:
        """Record the first event of a run; returns its target server if it moves."""
        self._placer.begin(request, server, now, load)
        return self._placer.migrate(request, server, now)

    def settle_migration(self, moved: messages.RunMoved, now: float) -> None:
        """Free the slot that a run has left, or the one that it didn't move to."""
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
        load: messages.LoadReport | None = None,
    ) -> None:
        """Free the slot of a run; ``pause`` is its longest time between two events."""
        run = self._placer.end(request, server, ending, now, pause, load)
        if run is not None and ending in REFUNDED_ENDINGS and not run.is_begun:
            self._shares.refund(run.account, run.units, run.since, now)
            self._unused[run.account] += 1

    def restore_run(
        self, router: ids.RouterId, run: messages.RunHeld, now: float
    ) -> None:
        """Record a run that another home has placed."""
        self._placer.restore_run(router, run, now)

    def forget_router(self, router: ids.RouterId) -> None:
        """Drop the requests and runs of a dead router."""
        self._queue.remove_matching(lambda task: task.router == router)
        self._placer.forget_router(router)

    def list_routers(self) -> set[ids.RouterId]:
        """Return the routers that have requests waiting here."""
        return self._queue.list_routers()

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def list_backlogs(self, now: float) -> list[poolqueue.Backlog]:
        """Return the backlog of each account since the last call, largest first."""
        unused, self._unused = self._unused, collections.Counter()
        return self._queue.list_backlogs(
            lambda account: self._shares.measure(account, now), unused, now
        )

    def list_rejecting(self) -> list[rejections.RejectingServer]:
        """Return the servers that reject requests."""
        return self._placer.list_rejecting()

    def count_runs(self) -> int:
        """Return the number of slots in use."""
        return self._placer.count_runs()

    def list_paces(self, now: float) -> dict[ids.ServerId, float]:
        """Return the expected paces of the servers whose pace differs from 1."""
        return self._placer.list_paces(now)

    def sum_shares(
        self, dimension: int, now: float
    ) -> tuple[messages.AccountUnits, ...]:
        """Return the units per account to send to the partner in a dimension."""
        units = self._shares.sum_units(dimension, now)
        return tuple(
            messages.AccountUnits(name, value) for name, value in units.items()
        )

    def receive_shares(self, told: messages.PoolShares, now: float) -> None:
        """Store the units per account received from another shard."""
        units = {each.account: each.units for each in told.units}
        self._shares.receive(told.dimension, units, now)

    def measure_pressure(self, now: float) -> float:
        """Return how long a request that arrives now would wait, in seconds."""
        slot_wait = self._placer.estimate_slot_wait(self.count_waiting())
        return max(slot_wait, self._queue_seconds) + self._placer.measure_pending(now)

    def tick(self, now: float) -> list[Answer]:
        """Expire overdue requests and runs, then place waiting requests."""
        self._placer.expire(now)
        overdue = [task for task in self._queue if task.give_up_at <= now]
        answers = self._refuse_all(overdue, now) + self._refuse_gone_versions(now)
        answers += self.decide(now) + self._refuse_rejected(now)
        answers += self._refuse_all(self._early_refusals.select(now), now)
        self._queue_seconds = self._estimate_wait()
        return answers

    def decide(self, now: float) -> list[Answer]:
        """Place as many waiting requests as servers can take now."""
        return [
            self._offer(task, server, now) for task, server in self._order.select(now)
        ]

    def _refuse_gone_versions(self, now: float) -> list[Answer]:
        """Refuse requests for whose streams no server is left."""
        if not self._must_check_versions:
            return []
        self._must_check_versions = False
        gone = [
            task
            for task in self._queue.list_resuming()
            if not self._placer.has_version(task.ask.version)
        ]
        for task in gone:
            self._queue.remove(task)
        return [self._refuse_version_gone(task, now) for task in gone]

    def _offer(self, task: poolqueue.Task, server: ids.ServerId, now: float) -> Answer:
        self._queue.remove(task)
        run = self._placer.start_run(task.ask, task.router, server, task.end_at, now)
        run.units = task.units
        self._shares.charge(task.ask.account, task.units, now)
        self._rates.record(task.ask.account, now)
        self._early_refusals.record_start(task, now)
        pressure = self.measure_pressure(now)
        offer = messages.SlotOffer(
            task.ask.request, self.name, server, pressure, run.source or NO_SERVER
        )
        return _make_answer(task, offer, now, run)

    def _refuse_all(self, tasks: Sequence[poolqueue.Task], now: float) -> list[Answer]:
        """Remove requests from the queue and refuse them."""
        for task in tasks:
            self._queue.remove(task)
        return [self._refuse(task, "no-place-in-time", now) for task in tasks]

    def _refuse(self, task: poolqueue.Task, reason: str, now: float) -> Answer:
        wait = None
        if reason != "too-large":
            wait = self._early_refusals.reserve_retry(task, now)
        if wait is None:
            wait = waitlimits.spread_retry(self._estimate_wait(), self._generator)
        return self._make_refusal(task, reason, wait, now)

    def _refuse_rejecting(
        self, task: poolqueue.Task, seconds: float, now: float
    ) -> Answer:
        return self._make_refusal(task, rejections.SERVERS_REJECTING, seconds, now)

    def _refuse_rejected(self, now: float) -> list[Answer]:
        """Refuse waiting requests that all servers are expected to reject."""
        if not self._queue or not self._placer.list_rejecting():
            return []
        found = [
            (task, self._placer.measure_rejection(task.router, task.ask, now))
            for task in self._queue
        ]
        answers = []
        for task, seconds in found:
            if seconds is not None:
                self._queue.remove(task)
                answers.append(self._refuse_rejecting(task, seconds, now))
        return answers

    def _refuse_version_gone(self, task: poolqueue.Task, now: float) -> Answer:
        reason = streamversions.Verdict.VERSION_GONE.value
        return self._make_refusal(task, reason, 0.0, now)

    def _make_refusal(
        self, task: poolqueue.Task, reason: str, retry_after: float, now: float
    ) -> Answer:
        refusal = messages.SlotRefusal(
            task.ask.request, self.name, retry_after, reason, self.measure_pressure(now)
        )
        return _make_answer(task, refusal, now)

    def _estimate_wait(self) -> float:
        """Return the time until all waiting requests have been placed, in seconds."""
        return self._placer.estimate_wait(self._queue.work)


def _make_answer(
    task: poolqueue.Task,
    message: messages.SlotOffer | messages.SlotRefusal,
    now: float,
    run: poolservers.Run | None = None,
) -> Answer:
    waited = now - task.arrived_at
    return Answer(task.router, task.ask, message, waited, task.start_by < now, run)
