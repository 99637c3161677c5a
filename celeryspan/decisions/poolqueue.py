"""Requests that wait for a slot in one pool, grouped by client account."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

OUTPUT_WEIGHT = 2.0
"""Weight of a generated token relative to a prompt token."""


class Task(msgspec.Struct):
    """A waiting request.

    Attributes
    ----------
    start_by, give_up_at, end_at : float
        Latest start that meets the latency objective, time at which waiting ends, and
        deadline of the request; on the home's clock, in seconds.
    work : float
        Estimated server time, in seconds.
    """

    ask: messages.SlotRequest
    router: ids.RouterId
    arrived_at: float
    start_by: float
    give_up_at: float
    end_at: float
    is_long: bool
    work: float

    @property
    def queued_at(self) -> float:
        """Time that determines the order; a retry keeps its position."""
        return self.arrived_at - (self.ask.waited if self.ask.excluded else 0.0)

    @property
    def units(self) -> float:
        """Service that the request asks for, in tokens; 1 for a plain call."""
        ask = self.ask
        return ask.prompt_tokens + OUTPUT_WEIGHT * ask.output_tokens or 1.0


class Backlog(msgspec.Struct, frozen=True):
    """Waiting requests of one account.

    Attributes
    ----------
    late : int
        Waiting requests that can no longer meet their latency objective.
    level : float
        Service that the account has recently received in all shards, in tokens.
    unused : int
        Grants of the account that came back unused since the last report.
    """

    account: ids.AccountId
    waiting: int
    late: int
    level: float
    unused: int = 0


class QueueObserver(Protocol):
    """Is told of each request that begins and that ends to wait."""

    def add(self, task: Task) -> None:
        """Add a request."""

    def remove(self, task: Task) -> None:
        """Remove a request."""


class PoolQueue:
    """Waiting requests and their total work.

    Parameters
    ----------
    observer : QueueObserver, optional
        Is told of each request that is added or removed.

    Attributes
    ----------
    work : float
        Estimated server time of all waiting requests, in seconds.
    """

    def __init__(self, observer: QueueObserver | None = None) -> None:
        self.work = 0.0
        self._observer = observer
        self._tasks: dict[ids.AccountId, dict[ids.RequestId, Task]] = {}
        self._resuming: dict[ids.RequestId, Task] = {}

    def __len__(self) -> int:
        return sum(len(tasks) for tasks in self._tasks.values())

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def __iter__(self) -> Iterator[Task]:
        """Yield all tasks, account by account."""
        for tasks in self._tasks.values():
            yield from tasks.values()

    def add(self, task: Task) -> None:
        """Add a request."""
        self._tasks.setdefault(task.ask.account, {})[task.ask.request] = task
        if task.ask.version:
            self._resuming[task.ask.request] = task
        self.work += task.work
        if self._observer is not None:
            self._observer.add(task)

    def remove(self, task: Task) -> None:
        """Remove a request if it is queued."""
        self._remove(task.ask.account, task.ask.request)

    def cancel(self, request: ids.RequestId) -> None:
        """Remove a request by its id, whatever its account, if it is queued."""
        for account in list(self._tasks):
            if self._remove(account, request):
                return

    def remove_matching(self, matches: Callable[[Task], bool]) -> list[Task]:
        """Remove all requests that match a predicate and return them."""
        found = [task for task in self if matches(task)]
        for task in found:
            self.remove(task)
        return found

    def count(self, account: ids.AccountId) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._tasks.get(account, ()))

    def list_resuming(self) -> list[Task]:
        """Return the tasks that continue streams, in the order of their arrival."""
        return sorted(self._resuming.values(), key=lambda task: task.arrived_at)

    def list_routers(self) -> set[ids.RouterId]:
        """Return the routers that have requests waiting."""
        return {task.router for task in self}

    def list_backlogs(
        self,
        measure: Callable[[ids.AccountId], float],
        unused: Mapping[ids.AccountId, int],
        now: float,
    ) -> list[Backlog]:
        """Return the backlog of each account, largest first.

        Parameters
        ----------
        measure : callable
            Returns the service that an account has recently received, in tokens.
        unused : mapping
            Grants that came back unused, by account.
        """
        found = [
            Backlog(
                account,
                len(tasks),
                count_late(tasks.values(), now),
                measure(account),
                unused.get(account, 0),
            )
            for account, tasks in self._tasks.items()
        ]
        return sorted(found, key=lambda each: -each.waiting)

    def _remove(self, account: ids.AccountId, request: ids.RequestId) -> bool:
        """Remove a request if it is queued; returns whether it was."""
        tasks = self._tasks.get(account, {})
        task = tasks.pop(request, None)
        if task is None:
            return False
        self._resuming.pop(request, None)
        if self._observer is not None:
            self._observer.remove(task)
        if not tasks:
            del self._tasks[account]
        # Reset when the queue is empty so that rounding errors don't accumulate.
        self.work = self.work - task.work if self._tasks else 0.0
        return True


def count_late(tasks: Iterable[Task], now: float) -> int:
    """Return how many requests can no longer meet their latency objective."""
    return sum(task.start_by < now for task in tasks)
