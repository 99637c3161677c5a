"""Sums of the units that wait in one pool, by client account.

They stand for the single requests, so that the start of a request is predicted without
a scan of the queue (:mod:`startforecasts`).
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from celeryspan import ids
from celeryspan.decisions import poolqueue, servicerates

SHORT_SLACK_SECONDS = 1.0
"""Time for which the refusal of a request with a short slack limits the waiting of the
other requests of its account. Without the limit, requests with long objectives would
fill the queue that those with short ones can't wait in."""

SLACK_SECONDS_MIN = 0.02
"""Requests with a shorter slack don't limit others: they can hardly be in time."""


class Flow(msgspec.Struct):
    """Units of the requests of one account that are in time, or that are late.

    Attributes
    ----------
    waiting : float
        Units that wait.
    added, passed : float
        Units that have ever been added and that have left from the front.
    """

    waiting: float = 0.0
    added: float = 0.0
    passed: float = 0.0

    def add(self, units: float) -> float:
        """Add a request at the end and return its mark."""
        mark = self.added
        self.waiting += units
        self.added += units
        return mark

    def remove(self, mark: float, units: float) -> None:
        """Remove a request."""
        self.waiting = max(0.0, self.waiting - units)
        if mark + units >= self.added:
            self.added = mark
        else:
            self.passed += units

    def measure_ahead(self, mark: float) -> float:
        """Return the units that wait before a request."""
        return min(max(0.0, mark - self.passed), self.waiting)


class Account(msgspec.Struct):
    """Waiting units and recent service of one account.

    Attributes
    ----------
    refused_slacks : dict
        Slack and last refusal of requests, by latency objective.
    retry_at : float
        Last time that was given to a refused caller.
    """

    in_time: Flow = msgspec.field(default_factory=Flow)
    late: Flow = msgspec.field(default_factory=Flow)
    entries: int = 0
    rate: servicerates.AccountRate = msgspec.field(
        default_factory=servicerates.AccountRate
    )
    refused_slacks: dict[float, tuple[float, float]] = msgspec.field(
        default_factory=dict
    )
    retry_at: float = 0.0

    def record_refused(self, task: poolqueue.Task, now: float) -> None:
        """Record the refusal of a request that arrives."""
        slack = task.start_by - task.arrived_at + task.ask.waited
        if slack >= SLACK_SECONDS_MIN:
            self.refused_slacks[round(task.ask.objective, 2)] = slack, now

    def find_slack_max(self, now: float) -> float:
        """Return the shortest slack of requests that were refused lately."""
        self.refused_slacks = {
            objective: (slack, refused_at)
            for objective, (slack, refused_at) in self.refused_slacks.items()
            if now - refused_at < SHORT_SLACK_SECONDS
        }
        return min(
            (slack for slack, _ in self.refused_slacks.values()), default=math.inf
        )


class Entry(msgspec.Struct):
    """A waiting request and its place in the flow of its account."""

    task: poolqueue.Task
    mark: float
    is_late: bool


class Demand(NamedTuple):
    """What an account has received and what it may get next; in units.

    Attributes
    ----------
    rate : float
        Units a second that arrive, taken from those that are started.
    """

    name: ids.AccountId
    received: float
    in_time: float
    late: float
    rate: float
