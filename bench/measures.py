"""What callers and operators receive from a replay."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import numpy as np

from celeryspan import states

if TYPE_CHECKING:
    from bench import world

Key = tuple[str, str]


class Measures:
    """Counts while the replay runs; service counts as it streams."""

    def __init__(self, owner: world.World) -> None:
        self._world = owner
        self.control_bytes = 0
        self.open = 0
        self.recomputed = 0.0
        self.gap = 0.0
        self.gaps: list[tuple[float, float]] = []
        self._waiting: dict[Key, int] = {}
        self._service_waiting = dict.fromkeys(owner.services, 0)
        self._emptied: set[Key] = set()
        self._settled: dict[Key, float] = {}
        self._ranges: dict[tuple[Key, Key], tuple[float, float]] = {}
        self._waits: dict[str, list[float]] = {
            name: [] for name in owner.trace.accounts
        }
        self._at = 0.0
        self._busy = 0.0
        self._idle = 0.0
        self.held: dict[Key, int] = {}
        self.most_held: dict[Key, int] = {}

    def arrive(self, job: world.Job) -> None:
        """Count a request that begins to wait."""
        self.open += 1
        self._wait(job.key, 1)

    def start(self, job: world.Job) -> None:
        """Count a request that stops waiting for a slot."""
        self._wait(job.key, -1)
        if job.runs == 1:
            self._note_wait(job)
        self.held[job.key] = self.held.get(job.key, 0) + 1
        most = self.most_held.get(job.key, 0)
        self.most_held[job.key] = max(most, self.held[job.key])

    def stop(self, job: world.Job, given: float) -> None:
        """Count what a request has received at its end."""
        units = given - job.counted
        job.counted = given
        self._settled[job.key] = self._settled.get(job.key, 0.0) + units
        self.held[job.key] -= 1

    def settle(self, job: world.Job) -> None:
        """Count the final answer of a request."""
        self.open -= 1
        if job.state is not states.RequestState.SENT:
            self._wait(job.key, -1)
            self._note_wait(job)

    def wait_again(self, job: world.Job) -> None:
        """Count a request whose stream was cancelled, to be resumed."""
        self._wait(job.key, 1)

    def account(self) -> None:
        """Add up busy and idle slot time since the last change."""
        elapsed, self._at = self._world.now - self._at, self._world.now
        if elapsed <= 0.0:
            return
        for service in self._world.services:
            waiting = self._service_waiting[service]
            if not waiting:
                continue
            servers = [
                item
                for item in self._world.servers.values()
                if item.spec.service == service
            ]
            busy = sum(min(len(item.running), item.spec.slots) for item in servers)
            free = sum(item.free for item in servers)
            self._busy += busy * elapsed
            self._idle += min(free, waiting) * elapsed

    def sample(self) -> None:
        """Compare the service of all pairs that waited since the last sample."""
        for service in self._world.services:
            received = self._received(service)
            waiting = [
                (service, account)
                for account in sorted(self._world.trace.accounts)
                if self._waiting.get((service, account))
            ]
            for one, other in itertools.combinations(waiting, 2):
                self._compare(one, other, received[one] - received[other])
            kept = set(itertools.combinations(waiting, 2))
            for pair in [item for item in self._ranges if item[0][0] == service]:
                if pair not in kept:
                    del self._ranges[pair]
        self._emptied.clear()
        self.gaps.append((self._world.now, self._spread()))

    def report(self) -> dict[str, Any]:
        """Return the figures of the whole replay."""
        waits = [item for found in self._waits.values() for item in found]
        seconds = max(self._world.now, 1e-9)
        routers = self._world.trace.routers
        jobs = self._world.jobs
        return {
            "answered": _count(jobs, states.Outcome.RAN),
            "not_run": _count(jobs, states.Outcome.NOT_RUN),
            "unknown": _count(jobs, states.Outcome.UNKNOWN),
            "ran_twice": sum(
                job.runs > 1 and not job.request.idempotent for job in jobs
            ),
            "gap_max": round(self.gap, 3),
            "greatest_cost": max((job.request.cost for job in jobs), default=0.0),
            "utilisation": round(self._busy / (self._busy + self._idle), 6)
            if self._busy
            else 1.0,
            "idle_while_waiting": round(self._idle, 6),
            "control_bytes_per_router_second": round(
                self.control_bytes / seconds / routers, 3
            ),
            "wait_p50": _percentile(waits, 50),
            "wait_p99": _percentile(waits, 99),
            "per_account": {
                account: self._report_account(account)
                for account in sorted(self._world.trace.accounts)
            },
        }

    def _report_account(self, account: str) -> dict[str, Any]:
        jobs = [job for job in self._world.jobs if job.request.account == account]
        service = sum(
            units for key, units in sorted(self._settled.items()) if key[1] == account
        )
        return {
            "answered": _count(jobs, states.Outcome.RAN),
            "not_run": _count(jobs, states.Outcome.NOT_RUN),
            "service": round(service, 3),
            "wait_p50": _percentile(self._waits[account], 50),
            "wait_p99": _percentile(self._waits[account], 99),
        }

    def _received(self, service: str) -> dict[Key, float]:
        weights = self._world.trace.accounts
        units = {
            (service, account): self._settled.get((service, account), 0.0)
            for account in weights
        }
        for entry in self._world.servers.values():
            if entry.spec.service == service:
                entry.advance(self._world.now)
                for job in entry.running:
                    units[job.key] += entry.given(job) - job.counted
        return {key: value / weights[key[1]] for key, value in units.items()}

    def _compare(self, one: Key, other: Key, difference: float) -> None:
        pair = (one, other)
        if one in self._emptied or other in self._emptied:
            self._ranges.pop(pair, None)
        low, high = self._ranges.get(pair, (difference, difference))
        low, high = min(low, difference), max(high, difference)
        self._ranges[pair] = (low, high)
        self.gap = max(self.gap, high - low)

    def _spread(self) -> float:
        return max((high - low for low, high in self._ranges.values()), default=0.0)

    def _wait(self, key: Key, change: int) -> None:
        self._waiting[key] = self._waiting.get(key, 0) + change
        self._service_waiting[key[0]] += change
        if not self._waiting[key]:
            self._emptied.add(key)

    def _note_wait(self, job: world.Job) -> None:
        wait = self._world.now - job.request.at
        self._waits[job.request.account].append(wait)


def _count(jobs: list[world.Job], outcome: states.Outcome) -> int:
    return sum(job.outcome is outcome for job in jobs)


def _percentile(values: list[float], percent: float) -> float:
    return round(float(np.percentile(values, percent)), 6) if values else 0.0
