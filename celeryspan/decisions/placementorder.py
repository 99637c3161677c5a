"""Order in which the waiting requests of one pool are placed.

* The account that has received the least service goes first (:mod:`accountshares`).
  Within an account, requests that can still meet their objective go before late ones: a
  late answer is worth less to its caller, and in a queue where all requests wait
  equally long all of them are late. Otherwise they are served in order of arrival.
* An account with only late requests yields to others, up to a bound. Without the bound,
  an account whose router delays its requests gets nothing beside a flood.
* A request that continues a stream goes only to servers of the version that began it
  (:mod:`streamversions`). It goes before new requests of accounts that have received at
  least half as much service.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from celeryspan import ids
from celeryspan.decisions import accountshares, placing, poolqueue
from celeryspan.wire import messages

LATE_WEIGHT = 1.5
"""Weight of service that an account has received if all its waiting requests are late.
It then gets two thirds of what others get; fairness requires half."""

RESUMING_WEIGHT = 0.5
"""Weight of the service that an account has received for requests that continue its
streams. Only some servers can take them, which new requests would fill."""

LOOKAHEAD_REQUESTS = 10
"""Requests of one account compared in each decision. One that fits no server yet
doesn't block the rest, and the time of a decision is bounded."""


class Placement(NamedTuple):
    """A waiting request and the server that can take it now."""

    task: poolqueue.Task
    server: ids.ServerId


class GroupKey(NamedTuple):
    """Key of a group of waiting requests of one account that are compared.

    Requests in time sort before late ones of the same account, because late ones weigh
    the account's received service higher.
    """

    is_late: bool
    account: ids.AccountId


TasksByGroup = dict[GroupKey, list[poolqueue.Task]]


class PlacementOrder:
    """Selects the requests of a pool to place, one after the other."""

    def __init__(
        self,
        placer: placing.Placer,
        queue: poolqueue.PoolQueue,
        shares: accountshares.AccountShares,
    ) -> None:
        self._placer = placer
        self._queue = queue
        self._shares = shares

    def select(self, now: float) -> Iterator[Placement]:
        """Yield the requests that servers can take now.

        The caller starts the run of each and charges it before it asks for the next.
        Long prompts and other requests are placed separately, because they go to
        different servers; neither kind waits behind the oldest requests of the other.
        """
        yield from self._select_resuming(now)
        for is_long in (False, True):
            if self._placer.has_capacity(is_long, now):
                candidates = self._group_waiting(is_long, now)
                yield from self._select_from_groups(candidates, is_long, now)

    def _select_resuming(self, now: float) -> Iterator[Placement]:
        """Yield requests that continue streams, as far as their accounts may go first.

        Their servers may be few, and none of them may be one that usually takes prompts
        of their length, so that each of them is tried.
        """
        resuming = self._queue.list_resuming()
        if not resuming:
            return
        least = min(self._shares.level(task.ask.account) for task in self._queue)
        for task in resuming[:LOOKAHEAD_REQUESTS]:
            level = self._shares.level(task.ask.account) * RESUMING_WEIGHT
            if level <= least and self._can_place(task.ask):
                placement = self._select_one([task], now)
                if placement is not None:
                    yield placement

    def _group_waiting(self, is_long: bool, now: float) -> TasksByGroup:
        """Return the waiting requests that could run, grouped and oldest first."""
        found: TasksByGroup = {}
        for task in self._queue:
            if task.is_long == is_long and self._can_place(task.ask):
                group = GroupKey(task.start_by < now, task.ask.account)
                found.setdefault(group, []).append(task)
        for fitting in found.values():
            fitting.sort(key=lambda task: task.queued_at)
        return found

    def _can_place(self, ask: messages.SlotRequest) -> bool:
        """Whether a request needs no isolation, or can be isolated now."""
        return not ask.isolation or self._placer.can_isolate(ask)

    def _select_from_groups(
        self, candidates: TasksByGroup, is_long: bool, now: float
    ) -> Iterator[Placement]:
        while candidates and self._placer.has_capacity(is_long, now):
            group = min(candidates, key=self._priority)
            placement = self._select_one(candidates[group], now)
            if placement is not None:
                yield placement
            if placement is None or not candidates[group]:
                del candidates[group]

    def _priority(self, group: GroupKey) -> tuple[float, GroupKey]:
        """Return the sort key of a group; the lowest is placed first."""
        level = self._shares.level(group.account)
        return level * (LATE_WEIGHT if group.is_late else 1.0), group

    def _select_one(self, tasks: list[poolqueue.Task], now: float) -> Placement | None:
        """Select one of the oldest requests of a group and remove it from the group.

        The request that fits the free servers best is chosen: in a peak, one engine at
        a time is free, and it would otherwise prefill parts that another engine has
        cached.
        """
        best: tuple[float, int, ids.ServerId] | None = None
        for index, task in enumerate(tasks[:LOOKAHEAD_REQUESTS]):
            choice = self._placer.choose(
                task.ask, now - task.arrived_at, now, task.router
            )
            if choice is None:
                continue
            if best is None or choice.regret < best[0]:
                best = (choice.regret, index, choice.server)
            if choice.regret <= 0.0:
                break
        if best is None:
            return None
        return Placement(tasks.pop(best[1]), best[2])
