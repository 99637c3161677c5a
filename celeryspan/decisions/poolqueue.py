"""The requests of one pool that wait for a place, by client account."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

OUTPUT_WEIGHT = 2.0
"""A generated token counts as two that are read."""


class Task(msgspec.Struct):
    """A request that waits.

    Attributes
    ----------
    start_by, give_up_at, end_at : float
        Until when the request must be placed to be in time, when waiting ends, and when
        the request must have ended; on the home's clock, in seconds.
    work : float
        What it takes of a server, in seconds.
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
    def units(self) -> float:
        """Service that the request asks for, in tokens; 1 for a plain call."""
        ask = self.ask
        return ask.prompt_tokens + OUTPUT_WEIGHT * ask.output_tokens or 1.0


class Backlog(msgspec.Struct, frozen=True):
    """What waits of one account.

    Attributes
    ----------
    late : int
        Requests among those that wait which can no longer be in time.
    level : float
        Service that the account has begun to get of late in all shards, in tokens.
    """

    account: ids.AccountId
    waiting: int
    late: int
    level: float


class PoolQueue:
    """Requests that wait, and the work that they are.

    Attributes
    ----------
    work : float
        What all of them take of servers, in seconds.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self._tasks: dict[ids.AccountId, dict[ids.RequestId, Task]] = {}

    def __len__(self) -> int:
        return sum(len(tasks) for tasks in self._tasks.values())

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def __iter__(self) -> Iterator[Task]:
        """Yield all tasks, account by account."""
        for tasks in self._tasks.values():
            yield from tasks.values()

    def add(self, task: Task) -> None:
        """Let a request wait."""
        self._tasks.setdefault(task.ask.account, {})[task.ask.request] = task
        self.work += task.work

    def remove(self, task: Task) -> None:
        """Take out a request if it waits."""
        self._remove(task.ask.account, task.ask.request)

    def cancel(self, request: ids.RequestId) -> None:
        """Take out a request of whatever account, if it waits."""
        for account in list(self._tasks):
            if self._remove(account, request):
                return

    def remove_matching(self, is_taken: Callable[[Task], bool]) -> list[Task]:
        """Take out all requests for which something holds, and return them."""
        found = [task for task in self if is_taken(task)]
        for task in found:
            self.remove(task)
        return found

    def count(self, account: ids.AccountId) -> int:
        """Return how many requests of an account wait."""
        return len(self._tasks.get(account, ()))

    def list_routers(self) -> set[ids.RouterId]:
        """Return the routers whose requests wait."""
        return {task.router for task in self}

    def list_backlogs(
        self, measure: Callable[[ids.AccountId], float], now: float
    ) -> list[Backlog]:
        """Return what waits of each account, those with most waiting first.

        Parameters
        ----------
        measure : callable
            Returns the service that an account has begun to get of late, in tokens.
        """
        found = [
            Backlog(
                account, len(tasks), count_late(tasks.values(), now), measure(account)
            )
            for account, tasks in self._tasks.items()
        ]
        return sorted(found, key=lambda each: -each.waiting)

    def _remove(self, account: ids.AccountId, request: ids.RequestId) -> bool:
        """Take out a request if it waits; returns whether it did."""
        tasks = self._tasks.get(account, {})
        task = tasks.pop(request, None)
        if task is None:
            return False
        if not tasks:
            del self._tasks[account]
        # Rounding errors of many sums and differences end with the queue.
        self.work = self.work - task.work if self._tasks else 0.0
        return True


def count_late(tasks: Iterable[Task], now: float) -> int:
    """Return how many requests can no longer be in time."""
    return sum(task.start_by < now for task in tasks)
