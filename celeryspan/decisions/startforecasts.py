"""Predicts when waiting requests of one pool will start.

The prediction simulates the placement order (:mod:`placementorder`) with sums of units
per account instead of single requests. A request of account *a* starts when *a* has
received the units that wait before it. Until then, each other account gets what it has
waiting and what arrives for it, but only as far as its received service stays below
that of *a*. The expected start is the time in which the pool starts all of this at its
recent rate.

A request that can't start in time falls behind the requests in time of its own account,
also behind those that arrive later. The rate at which the account is served stands for
these: an account that already gets more than its share never reaches its late requests.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from celeryspan import ids
from celeryspan.decisions import (
    accountbacklogs,
    placementorder,
    poolqueue,
    servicerates,
    waitlimits,
)

ACCOUNT_RATE_MIN = 1e-3
"""Accounts without requests waiting and with a lower rate are dropped, in units a
second."""

SNAPSHOT_SECONDS = 0.01
"""Time for which the sums of the other accounts are reused, so that not every arrival
computes them again."""

REVIEW_SECONDS = 0.025
"""Interval at which a waiting request is reviewed."""

REVIEWS_MAX = 4
"""Requests reviewed in one tick; it bounds the time of a tick."""

ARRIVAL_SLACK_SHARE = 0.6
"""Share of its slack after which a request that arrives must be expected to start. The
rest is for errors of the forecast: a request that is admitted should not be refused
later."""

LATE_RATE_SHARE = 0.9
"""Share of the pool's rate that late requests may count on. Without the reserve, small
errors of the rates admit late requests to a pool that never reaches them."""

WAIT_SECONDS_MAX = 10.0
"""Largest expected wait that is distinguished."""

WAIT_STEPS = 2
"""Steps in which an expected wait is computed; each uses the arrivals within the last
one."""


class StartForecasts:
    """Expected starts of the requests of one pool that wait for the same servers.

    Parameters
    ----------
    measure_received : callable
        Returns the service that an account has recently received, in units, from its
        name and the time.
    """

    def __init__(
        self, measure_received: Callable[[ids.AccountId, float], float]
    ) -> None:
        self._measure_received = measure_received
        self._accounts: dict[ids.AccountId, accountbacklogs.Account] = {}
        self._entries: dict[ids.RequestId, accountbacklogs.Entry] = {}
        self._reviews: list[tuple[float, ids.RequestId]] = []
        self._rate = servicerates.FullRate()
        self._demands: list[accountbacklogs.Demand] = []
        self._demands_at = -math.inf

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, task: poolqueue.Task) -> None:
        """Add a request that begins to wait."""
        account = self._accounts.setdefault(task.ask.account, accountbacklogs.Account())
        account.entries += 1
        is_late = task.start_by < task.arrived_at
        flow = account.late if is_late else account.in_time
        entry = accountbacklogs.Entry(task, flow.add(task.units), is_late)
        self._entries[task.ask.request] = entry
        self._schedule_review(entry, task.arrived_at)

    def remove(self, task: poolqueue.Task) -> None:
        """Remove a request that no longer waits."""
        entry = self._entries.pop(task.ask.request, None)
        if entry is None:
            return
        account = self._accounts[task.ask.account]
        account.entries -= 1
        flow = account.late if entry.is_late else account.in_time
        flow.remove(entry.mark, task.units)
        if not account.entries:
            account.in_time, account.late = (
                accountbacklogs.Flow(),
                accountbacklogs.Flow(),
            )

    def record_start(self, task: poolqueue.Task, now: float) -> None:
        """Record that a request has been placed."""
        account = self._accounts.setdefault(task.ask.account, accountbacklogs.Account())
        account.rate.record_start(task.units, now)
        self._rate.record_start(task.units)

    def observe(self, now: float, *, is_full: bool) -> None:
        """Update the rate of the pool, once in each tick.

        Parameters
        ----------
        is_full : bool
            Whether no server can take a request.
        """
        self._rate.observe(now, is_full=is_full and bool(self._entries))

    @property
    def was_full(self) -> bool:
        """Whether requests were left waiting and all servers full at the last tick."""
        return self._rate.was_full

    def is_known(self) -> bool:
        """Whether the rate of the pool is known."""
        return self._rate.is_known()

    def can_start(self, task: poolqueue.Task, now: float) -> bool:
        """Whether a request that arrives now is expected to start before it gives up.

        True while the rate is not known, or nothing waits.
        """
        if not self._entries or not self.is_known():
            return True
        account = self._accounts.get(task.ask.account, accountbacklogs.Account())
        slack = ARRIVAL_SLACK_SHARE * min(
            task.start_by - now, account.find_slack_max(now)
        )
        if self._starts_in_time(task, account.in_time.waiting, slack, now):
            return True
        ahead = account.in_time.waiting + account.late.waiting
        if self._starts_late(task, ahead, now):
            return True
        account.record_refused(task, now)
        return False

    def review(self, now: float) -> list[poolqueue.Task]:
        """Return waiting requests that can no longer start before they give up."""
        found = []
        reviewed = 0
        # Entries of requests that have left don't count; otherwise those of a flood
        # would pile up.
        while reviewed < REVIEWS_MAX and self._reviews and self._reviews[0][0] <= now:
            entry = self._entries.get(heapq.heappop(self._reviews)[1])
            if entry is None:
                continue
            reviewed += 1
            self._update_lateness(entry, now)
            if self.is_known() and not self._can_still_start(entry, now):
                found.append(entry.task)
            self._schedule_review(entry, now)
        return found

    def reserve_retry(self, task: poolqueue.Task, now: float) -> float | None:
        """Return when the caller of a refused request should retry, in seconds.

        Successive callers of one account get times that are as far apart as the account
        can be served. None while the rate is not known.
        """
        if not self.is_known():
            return None
        account = self._accounts.setdefault(task.ask.account, accountbacklogs.Account())
        wait = self._measure_wait(task, account.in_time.waiting, now)
        waiting = sum(1 for each in self._list_demands(now) if each.in_time)
        share = max(account.rate.measure(now), self._rate.measure() / max(1, waiting))
        earliest = max(now + wait, account.retry_at + task.units / share)
        if earliest > now + WAIT_SECONDS_MAX:
            earliest = now + wait
        account.retry_at = earliest
        return max(waitlimits.RETRY_SECONDS_MIN, earliest - now)

    def _schedule_review(self, entry: accountbacklogs.Entry, now: float) -> None:
        task = entry.task
        due = now + REVIEW_SECONDS
        if not entry.is_late:
            due = min(due, max(now, task.start_by))
        heapq.heappush(self._reviews, (due, task.ask.request))

    def _update_lateness(self, entry: accountbacklogs.Entry, now: float) -> None:
        if entry.is_late or entry.task.start_by >= now:
            return
        account = self._accounts[entry.task.ask.account]
        account.in_time.remove(entry.mark, entry.task.units)
        entry.mark = account.late.add(entry.task.units)
        entry.is_late = True

    def _can_still_start(self, entry: accountbacklogs.Entry, now: float) -> bool:
        account = self._accounts[entry.task.ask.account]
        if entry.is_late:
            ahead = account.in_time.waiting + account.late.measure_ahead(entry.mark)
            return self._starts_late(entry.task, ahead, now)
        ahead = account.in_time.measure_ahead(entry.mark)
        slack = entry.task.start_by - now
        if self._starts_in_time(entry.task, ahead, slack, now):
            return True
        ahead = account.in_time.waiting + account.late.waiting
        return self._starts_late(entry.task, ahead, now)

    def _starts_in_time(
        self, task: poolqueue.Task, ahead: float, seconds: float, now: float
    ) -> bool:
        return seconds >= 0.0 and self._sum_before(task, ahead, seconds, now) <= (
            self._rate.measure() * seconds
        )

    def _starts_late(self, task: poolqueue.Task, ahead: float, now: float) -> bool:
        seconds = task.give_up_at - now
        account = self._accounts.get(task.ask.account)
        if account is not None:
            ahead += account.rate.measure(now) * seconds
        before = self._sum_before(task, ahead, seconds, now, is_late=True)
        available = LATE_RATE_SHARE * self._rate.measure() * seconds
        return seconds > 0.0 and before <= available

    def _measure_wait(self, task: poolqueue.Task, ahead: float, now: float) -> float:
        """Return the expected wait of a request in time, in seconds."""
        seconds = max(0.0, task.give_up_at - now)
        for _ in range(WAIT_STEPS):
            before = self._sum_before(task, ahead, seconds, now)
            seconds = min(WAIT_SECONDS_MAX, before / self._rate.measure())
        return seconds

    def _sum_before(
        self,
        task: poolqueue.Task,
        ahead: float,
        seconds: float,
        now: float,
        *,
        is_late: bool = False,
    ) -> float:
        """Return the units that start before a request if it starts after ``seconds``.

        ``ahead`` are the units that its own account has waiting before it.
        """
        name = task.ask.account
        level = self._measure_received(name, now) + ahead
        weight = placementorder.LATE_WEIGHT
        in_time_level, late_level = (
            (level * weight, level) if is_late else (level, level / weight)
        )
        total = ahead
        for other, received, in_time, late, rate in self._list_demands(now):
            if received >= in_time_level or other == name:
                continue
            units = min(in_time + rate * seconds, in_time_level - received)
            total += units
            if late:
                total += min(late, max(0.0, late_level - received - units))
        return total

    def _list_demands(self, now: float) -> list[accountbacklogs.Demand]:
        """Return the demand of all accounts as of this tick."""
        if now - self._demands_at < SNAPSHOT_SECONDS:
            return self._demands
        self._demands_at = now
        self._demands = []
        for name, account in list(self._accounts.items()):
            rate = account.rate.measure(now)
            if not account.entries and rate < ACCOUNT_RATE_MIN:
                del self._accounts[name]
                continue
            level = self._measure_received(name, now)
            in_time, late = account.in_time.waiting, account.late.waiting
            self._demands.append(
                accountbacklogs.Demand(name, level, in_time, late, rate)
            )
        return self._demands
