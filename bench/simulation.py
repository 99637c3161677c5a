"""Discrete-event simulation of servers, links and faults on a virtual clock.

Links deliver in order, as TCP does. Each message is delayed by the link's delay plus
seeded jitter, and one in a thousand also by a retransmission. Messages in transit on a
partitioned link are lost.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING, Protocol

from bench import measures, traces
from celeryspan import states

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds until routers declare an unresponsive one dead (three probes of 300 ms), and
# until a restarted router serves again (process start).
FAILURE_DETECTION_SECONDS = 1.0
RESTART_SECONDS = 2.0

# Share of messages that TCP retransmits, and the minimum delay that this adds.
RETRANSMIT_PROBABILITY = 0.001
RETRANSMIT_SECONDS = 0.2

# Seconds between load reports of a server; a report is one interval old when read.
LOAD_REPORT_SECONDS = 1.0

# Seconds until routers learn that a server is leaving.
LEAVE_NOTICE_SECONDS = 0.2

SAMPLE_SECONDS = 1.0

# Seconds after the last request at which all waiting requests are refused, so that the
# replay ends even if every server of a service has left.
REFUSE_AFTER_SECONDS = 3600.0

# Seconds until a caller that reaches no router retries.
RETRY_SECONDS = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """The state of one request during the replay.

    Attributes
    ----------
    progress_offset : float
        Server progress at which the current run would have streamed nothing yet.
    reported_units : float
        Units of the current run that its router has already counted.
    resumed_from : float
        Units streamed before the last suspension.
    settled_units : float
        Units that the measurements have already counted.
    recomputed_units : float
        Units to compute again before a resumed stream goes on.
    """

    request: traces.Request
    number: int
    router: int
    state: states.RequestState = states.RequestState.QUEUED
    outcome: states.Outcome | None = None
    server: str = ""
    progress_offset: float = 0.0
    reported_units: float = 0.0
    runs: int = 0
    resumed_from: float = 0.0
    settled_units: float = 0.0
    recomputed_units: float = 0.0
    key: tuple[str, str] = ("", "")


class BackendServer:
    """A server that streams all running requests at the same speed.

    With more requests than slots, the requests share the speed of all slots.
    """

    def __init__(self, spec: traces.Server) -> None:
        self.spec = spec
        self.factor = 1.0
        self.leaving = False
        self.left_at = 0.0
        self.running: dict[Job, None] = {}
        self.reported_running = 0
        self._progress = 0.0
        self._advanced_at = 0.0
        self.version = 0

    def advance(self, now: float) -> None:
        """Advance the streams of all running requests to a time."""
        running = len(self.running)
        share = min(1.0, self.spec.slots / running) if running else 0.0
        self._progress += (
            self.spec.rate * self.factor * share * (now - self._advanced_at)
        )
        self._advanced_at = now

    def add(self, job: Job) -> None:
        """Start a request, or resume one after recomputing part of its stream."""
        job.progress_offset = self._progress - job.resumed_from + job.recomputed_units
        self.running[job] = None

    def streamed_units(self, job: Job) -> float:
        """Return the cost units that a running request has streamed."""
        return max(
            job.resumed_from,
            min(self._progress - job.progress_offset, job.request.cost),
        )

    def next_completion(self) -> tuple[float, Job] | None:
        """Return the seconds until the next request completes, and the request."""
        if not self.running:
            return None
        job = min(
            self.running, key=lambda item: item.progress_offset + item.request.cost
        )
        share = min(1.0, self.spec.slots / len(self.running))
        speed = self.spec.rate * self.factor * share
        left = max(0.0, job.progress_offset + job.request.cost - self._progress)
        return left / speed, job

    @property
    def free_slots(self) -> int:
        """Number of slots that can accept a request."""
        return 0 if self.leaving else max(0, self.spec.slots - len(self.running))


class Policy(Protocol):
    """A scheduling policy; the simulator calls it on each event."""

    def handle_arrival(self, job: Job) -> None:
        """Handle a request that a caller has sent."""

    def handle_end(self, job: Job) -> None:
        """Handle the end of a request, which frees its slot."""

    def handle_refusal(self, job: Job) -> None:
        """Remove a waiting request that was refused."""

    def handle_topology_change(self) -> None:
        """Handle a change of reachable routers or a server that is leaving."""

    def handle_restart(self, router: int) -> None:
        """Handle a router restart that lost the router's state."""


class Simulator:
    """Runs the event queue and models servers, links and faults around a policy."""

    def __init__(self, trace: traces.Trace, seed: int) -> None:
        self.trace = trace
        self.now = 0.0
        self.random = random.Random(seed)
        self.servers = {spec.id: BackendServer(spec) for spec in trace.servers}
        self.services = sorted({spec.service for spec in trace.servers})
        self.alive = [True] * trace.routers
        self.partition_ids = [0] * trace.routers
        self.incarnations = [1] * trace.routers
        self.jobs: list[Job] = []
        self.measures = measures.ReplayMeasures(self)
        self.policy: Policy
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._last_delivery: dict[tuple[int, int], float] = {}

    def run(self, policy: Policy) -> None:
        """Replay the whole trace."""
        self.policy = policy
        for fault in self.trace.faults:
            self.schedule(fault.at, getattr(self, f"_{fault.kind}"), fault)
        for request in self.trace.requests:
            self.schedule(request.at, self._admit_request, request)
        last = max((request.at for request in self.trace.requests), default=0.0)
        self.schedule(last + REFUSE_AFTER_SECONDS, self._refuse_remaining)
        self.schedule(SAMPLE_SECONDS, self._sample)
        self.schedule(LOAD_REPORT_SECONDS, self._report_load)
        while self._events and not self.is_finished():
            at, _, call, arguments = heapq.heappop(self._events)
            self.now = at
            call(*arguments)

    def is_finished(self) -> bool:
        """Return whether each request of the trace has its outcome."""
        return (
            len(self.jobs) == len(self.trace.requests)
            and self.measures.open_requests == 0
        )

    def schedule(
        self, at: float, call: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule a call at an absolute time."""
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def schedule_after(
        self, seconds: float, call: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule a call after a delay."""
        self.schedule(self.now + seconds, call, *arguments)

    def can_reach(self, first: int, second: int) -> bool:
        """Return whether two routers are alive and in the same partition."""
        alive = self.alive[first] and self.alive[second]
        return alive and self.partition_ids[first] == self.partition_ids[second]

    def send(
        self,
        source: int,
        target: int,
        size: int,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Deliver a message of ``size`` bytes over the link between two routers."""
        if source == target:
            self.schedule_after(0.0, call, *arguments)
            return
        self.measures.control_bytes += size
        delay = self.trace.link_seconds * (1.0 + self.random.expovariate(5.0))
        if self.random.random() < RETRANSMIT_PROBABILITY:
            delay += RETRANSMIT_SECONDS
        link = (source, target)
        at = max(self.now + delay, self._last_delivery.get(link, 0.0))
        self._last_delivery[link] = at
        incarnations = (self.incarnations[source], self.incarnations[target])
        self.schedule(at, self._deliver, link, incarnations, call, arguments)

    def start_request(self, job: Job, server: str) -> bool:
        """Send a request to a server; return False if the server refuses it."""
        entry = self.servers[server]
        if entry.leaving:
            return False
        self.measures.accumulate_slot_time()
        self._advance(entry)
        job.state = states.RequestState.SENT
        job.server, job.reported_units = server, 0.0
        job.runs += 1
        entry.add(job)
        self.measures.record_start(job)
        self._schedule_completion(entry)
        return True

    def suspend(self, job: Job, recomputed: float) -> None:
        """Cancel a stream that resumes later.

        On resumption, the share ``recomputed`` of the streamed units is computed again.
        """
        self.measures.accumulate_slot_time()
        entry = self.servers[job.server]
        self._advance(entry)
        job.resumed_from = entry.streamed_units(job)
        job.recomputed_units = recomputed * job.resumed_from
        self.measures.recomputed_units += job.recomputed_units
        self.measures.record_stop(job, job.resumed_from)
        del entry.running[job]
        self._schedule_completion(entry)
        job.state = states.RequestState.QUEUED
        self.measures.record_suspension(job)

    def settle(self, job: Job, outcome: states.Outcome) -> None:
        """Record the final outcome of a request."""
        self.measures.accumulate_slot_time()
        if job.state is states.RequestState.SENT:
            entry = self.servers[job.server]
            self._advance(entry)
            self.measures.record_stop(job, entry.streamed_units(job))
            del entry.running[job]
            self._schedule_completion(entry)
        job.outcome = outcome
        self.measures.record_settled(job)
        job.state = states.RequestState.SETTLED

    def streamed_units(self, job: Job) -> float:
        """Return the cost units that a running request has streamed so far."""
        entry = self.servers[job.server]
        self._advance(entry)
        return entry.streamed_units(job)

    def _admit_request(self, request: traces.Request) -> None:
        if not any(self.alive):
            self.schedule_after(RETRY_SECONDS, self._admit_request, request)
            return
        router = request.router
        while not self.alive[router]:
            router = (router + 1) % self.trace.routers
        job = Job(request, len(self.jobs), router)
        job.key = (request.service, request.account)
        self.measures.accumulate_slot_time()
        self.jobs.append(job)
        self.measures.record_arrival(job)
        if request.deadline is not None:
            self.schedule(request.deadline, self._expire, job)
        self.policy.handle_arrival(job)

    def _expire(self, job: Job) -> None:
        if job.state is states.RequestState.QUEUED:
            self.settle(job, states.Outcome.NOT_RUN)
            self.policy.handle_refusal(job)

    def _refuse_remaining(self) -> None:
        for job in self.jobs:
            self._expire(job)

    def _advance(self, entry: BackendServer) -> None:
        entry.advance(self.now)

    def _schedule_completion(self, entry: BackendServer) -> None:
        entry.version += 1
        completion = entry.next_completion()
        if completion is not None:
            seconds, job = completion
            self.schedule_after(seconds, self._complete, entry, entry.version, job)

    def _complete(self, entry: BackendServer, version: int, job: Job) -> None:
        if version != entry.version:
            return
        self.settle(job, states.Outcome.RAN)
        self.policy.handle_end(job)

    def _deliver(
        self,
        link: tuple[int, int],
        incarnations: tuple[int, int],
        call: Callable[..., None],
        arguments: tuple,
    ) -> None:
        source, target = link
        current = (self.incarnations[source], self.incarnations[target])
        if incarnations == current and self.can_reach(source, target):
            call(*arguments)

    def _sample(self) -> None:
        self.measures.sample_gap()
        self.schedule_after(SAMPLE_SECONDS, self._sample)

    def _report_load(self) -> None:
        for entry in self.servers.values():
            entry.reported_running = len(entry.running)
        self.schedule_after(LOAD_REPORT_SECONDS, self._report_load)

    def _cut(self, fault: traces.Fault) -> None:
        partition_id = max(self.partition_ids) + 1
        for router in fault.routers:
            self.partition_ids[router] = partition_id
        self.schedule_after(
            FAILURE_DETECTION_SECONDS, self.policy.handle_topology_change
        )

    def _heal(self, fault: traces.Fault) -> None:
        for router in fault.routers or range(self.trace.routers):
            self.partition_ids[router] = 0
        self.schedule_after(
            FAILURE_DETECTION_SECONDS, self.policy.handle_topology_change
        )

    def _restart(self, fault: traces.Fault) -> None:
        for router in fault.routers:
            self.alive[router] = False
            self.incarnations[router] += 1
            for job in self.jobs:
                if job.router == router and job.outcome is None:
                    self.settle(job, states.Outcome.UNKNOWN)
            self.policy.handle_restart(router)
            self.schedule_after(RESTART_SECONDS, self._resume_router, router)
        self.schedule_after(
            FAILURE_DETECTION_SECONDS, self.policy.handle_topology_change
        )

    def _resume_router(self, router: int) -> None:
        self.alive[router] = True
        self.policy.handle_topology_change()

    def _slow(self, fault: traces.Fault) -> None:
        entry = self.servers[fault.server]
        self._advance(entry)
        entry.factor = fault.factor
        self._schedule_completion(entry)

    def _leave(self, fault: traces.Fault) -> None:
        self.measures.accumulate_slot_time()
        self.servers[fault.server].leaving = True
        self.servers[fault.server].left_at = self.now
        self.schedule_after(LEAVE_NOTICE_SECONDS, self.policy.handle_topology_change)
