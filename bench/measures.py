"""Fairness, utilisation and waiting-time measurements of a replay."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import numpy as np

from celeryspan import states

if TYPE_CHECKING:
    from bench import simulation

QueueKey = tuple[str, str]


class ReplayMeasures:
    """Accumulates measurements during a replay; service is counted as it streams."""

    def __init__(self, simulator: simulation.Simulator) -> None:
        self._simulator = simulator
        self.control_bytes = 0
        self.open_requests = 0
        self.recomputed_units = 0.0
        self._max_gap = 0.0
        self.gap_samples: list[tuple[float, float]] = []
        self._waiting: dict[QueueKey, int] = {}
        self._service_waiting = dict.fromkeys(simulator.services, 0)
        self._emptied_keys: set[QueueKey] = set()
        self._settled: dict[QueueKey, float] = {}
        self._ranges: dict[tuple[QueueKey, QueueKey], tuple[float, float]] = {}
        self._waits: dict[str, list[float]] = {
            name: [] for name in simulator.trace.accounts
        }
        self._accumulated_at = 0.0
        self._busy_seconds = 0.0
        self._idle_seconds = 0.0
        self.held: dict[QueueKey, int] = {}
        self.peak_held: dict[QueueKey, int] = {}

    def record_arrival(self, job: simulation.Job) -> None:
        """Record that a request has arrived and waits for a slot."""
        self.open_requests += 1
        self._change_waiting(job.key, 1)

    def record_start(self, job: simulation.Job) -> None:
        """Record that a request has been sent to a server."""
        self._change_waiting(job.key, -1)
        if job.runs == 1:
            self._record_wait(job)
        self.held[job.key] = self.held.get(job.key, 0) + 1
        peak = self.peak_held.get(job.key, 0)
        self.peak_held[job.key] = max(peak, self.held[job.key])

    def record_stop(self, job: simulation.Job, streamed: float) -> None:
        """Record the units that a request had streamed when it stopped running."""
        units = streamed - job.settled_units
        job.settled_units = streamed
        self._settled[job.key] = self._settled.get(job.key, 0.0) + units
        self.held[job.key] -= 1

    def record_settled(self, job: simulation.Job) -> None:
        """Record the final outcome of a request."""
        self.open_requests -= 1
        if job.state is not states.RequestState.SENT:
            self._change_waiting(job.key, -1)
            self._record_wait(job)

    def record_suspension(self, job: simulation.Job) -> None:
        """Record that a request waits again because its stream was cancelled."""
        self._change_waiting(job.key, 1)

    def accumulate_slot_time(self) -> None:
        """Accumulate busy and idle slot time since the last event."""
        elapsed, self._accumulated_at = (
            self._simulator.now - self._accumulated_at,
            self._simulator.now,
        )
        if elapsed <= 0.0:
            return
        for service in self._simulator.services:
            waiting = self._service_waiting[service]
            if not waiting:
                continue
            servers = [
                item
                for item in self._simulator.servers.values()
                if item.spec.service == service
            ]
            busy = sum(min(len(item.running), item.spec.slots) for item in servers)
            free = sum(item.free_slots for item in servers)
            self._busy_seconds += busy * elapsed
            self._idle_seconds += min(free, waiting) * elapsed

    def sample_gap(self) -> None:
        """Update the service gap of each pair of accounts that is waiting.

        A pair's range starts anew when either queue has been empty since the last
        sample, because the gap is bounded only while both accounts are backlogged.
        """
        for service in self._simulator.services:
            received = self._sum_service(service)
            waiting = [
                (service, account)
                for account in sorted(self._simulator.trace.accounts)
                if self._waiting.get((service, account))
            ]
            for first, second in itertools.combinations(waiting, 2):
                self._update_range(first, second, received[first] - received[second])
            compared = set(itertools.combinations(waiting, 2))
            for pair in [item for item in self._ranges if item[0][0] == service]:
                if pair not in compared:
                    del self._ranges[pair]
        self._emptied_keys.clear()
        self.gap_samples.append((self._simulator.now, self._widest_range()))

    def report(self) -> dict[str, Any]:
        """Return the results of the whole replay."""
        waits = [wait for waits in self._waits.values() for wait in waits]
        seconds = max(self._simulator.now, 1e-9)
        routers = self._simulator.trace.routers
        jobs = self._simulator.jobs
        return {
            "answered": _count(jobs, states.Outcome.RAN),
            "not_run": _count(jobs, states.Outcome.NOT_RUN),
            "unknown": _count(jobs, states.Outcome.UNKNOWN),
            "ran_twice": sum(
                job.runs > 1 and not job.request.idempotent for job in jobs
            ),
            "gap_max": round(self._max_gap, 3),
            "greatest_cost": max((job.request.cost for job in jobs), default=0.0),
            "utilisation": round(
                self._busy_seconds / (self._busy_seconds + self._idle_seconds), 6
            )
            if self._busy_seconds
            else 1.0,
            "idle_while_waiting": round(self._idle_seconds, 6),
            "control_bytes_per_router_second": round(
                self.control_bytes / seconds / routers, 3
            ),
            "wait_p50": _percentile(waits, 50),
            "wait_p99": _percentile(waits, 99),
            "per_account": {
                account: self._report_account(account)
                for account in sorted(self._simulator.trace.accounts)
            },
        }

    def _report_account(self, account: str) -> dict[str, Any]:
        jobs = [job for job in self._simulator.jobs if job.request.account == account]
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

    def _sum_service(self, service: str) -> dict[QueueKey, float]:
        weights = self._simulator.trace.accounts
        units = {
            (service, account): self._settled.get((service, account), 0.0)
            for account in weights
        }
        for entry in self._simulator.servers.values():
            if entry.spec.service == service:
                entry.advance(self._simulator.now)
                for job in entry.running:
                    units[job.key] += entry.streamed_units(job) - job.settled_units
        return {key: value / weights[key[1]] for key, value in units.items()}

    def _update_range(
        self, first: QueueKey, second: QueueKey, difference: float
    ) -> None:
        pair = (first, second)
        if first in self._emptied_keys or second in self._emptied_keys:
            self._ranges.pop(pair, None)
        low, high = self._ranges.get(pair, (difference, difference))
        low, high = min(low, difference), max(high, difference)
        self._ranges[pair] = (low, high)
        self._max_gap = max(self._max_gap, high - low)

    def _widest_range(self) -> float:
        return max((high - low for low, high in self._ranges.values()), default=0.0)

    def _change_waiting(self, key: QueueKey, change: int) -> None:
        self._waiting[key] = self._waiting.get(key, 0) + change
        self._service_waiting[key[0]] += change
        if not self._waiting[key]:
            self._emptied_keys.add(key)

    def _record_wait(self, job: simulation.Job) -> None:
        wait = self._simulator.now - job.request.at
        self._waits[job.request.account].append(wait)


def _count(jobs: list[simulation.Job], outcome: states.Outcome) -> int:
    return sum(job.outcome is outcome for job in jobs)


def _percentile(values: list[float], percent: float) -> float:
    return round(float(np.percentile(values, percent)), 6) if values else 0.0
