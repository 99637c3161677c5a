"""A virtual clock, backend servers, links and faults for the replay of traces.

Links deliver in order, as TCP does. A message is late by a seeded part of the link's
delay, and one in a thousand by a retransmission; a cut link loses what is under way.
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

# Seconds until routers hold a silent one for dead, and until one that was restarted
# serves again: three probes of 300 ms, and the start of a process.
DETECT_SECONDS = 1.0
RESTART_SECONDS = 2.0

# Part of messages that TCP sends again, and the seconds this takes at least.
RETRANSMITTED = 0.001
RETRANSMIT_SECONDS = 0.2

# Seconds between load reports of a server; a report is one period old when read.
LOAD_SECONDS = 1.0

# Seconds until routers know that a server is leaving.
LEAVE_SECONDS = 0.2

SAMPLE_SECONDS = 1.0

# Seconds after the last request at which whoever still waits is refused, so that a
# replay ends though every server of a service has left.
CLOSE_SECONDS = 3600.0

# Seconds until a caller who reaches no router tries again.
REPEAT_SECONDS = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request on its way through the replay."""

    request: traces.Request
    number: int
    router: int
    state: states.RequestState = states.RequestState.QUEUED
    outcome: states.Outcome | None = None
    server: str = ""
    mark: float = 0.0
    told: float = 0.0
    runs: int = 0
    done: float = 0.0
    counted: float = 0.0
    again: float = 0.0
    key: tuple[str, str] = ("", "")


class BackendServer:
    """A server that streams all its requests at one speed.

    With more requests than slots the engine's speed is shared among them.
    """

    def __init__(self, spec: traces.Server) -> None:
        self.spec = spec
        self.factor = 1.0
        self.leaving = False
        self.left_at = 0.0
        self.running: dict[Job, None] = {}
        self.reported = 0
        self._progress = 0.0
        self._at = 0.0
        self.version = 0

    def advance(self, now: float) -> None:
        """Stream up to a time."""
        busy = len(self.running)
        share = min(1.0, self.spec.slots / busy) if busy else 0.0
        self._progress += self.spec.rate * self.factor * share * (now - self._at)
        self._at = now

    def add(self, job: Job) -> None:
        """Begin a request, or go on with one after computing a part again."""
        job.mark = self._progress - job.done + job.again
        self.running[job] = None

    def given(self, job: Job) -> float:
        """Return what a running request has received, in cost units."""
        return max(job.done, min(self._progress - job.mark, job.request.cost))

    def find_next(self) -> tuple[float, Job] | None:
        """Return the seconds until the next request ends, and the request."""
        if not self.running:
            return None
        job = min(self.running, key=lambda item: item.mark + item.request.cost)
        share = min(1.0, self.spec.slots / len(self.running))
        speed = self.spec.rate * self.factor * share
        left = max(0.0, job.mark + job.request.cost - self._progress)
        return left / speed, job

    @property
    def free(self) -> int:
        """Slots that could take a request."""
        return 0 if self.leaving else max(0, self.spec.slots - len(self.running))


class Policy(Protocol):
    """What decides, driven by the world."""

    def arrive(self, job: Job) -> None:
        """Take in a request that a caller has sent."""

    def end(self, job: Job) -> None:
        """Note that a request has ended and its slot is free."""

    def drop(self, job: Job) -> None:
        """Take out a waiting request that was refused."""

    def change(self) -> None:
        """Note that routers see others or that a server leaves."""

    def lose(self, router: int) -> None:
        """Note that a router has lost its state."""


class World:
    """Everything outside the decisions."""

    def __init__(self, trace: traces.Trace, seed: int) -> None:
        self.trace = trace
        self.now = 0.0
        self.random = random.Random(seed)
        self.servers = {spec.id: BackendServer(spec) for spec in trace.servers}
        self.services = sorted({spec.service for spec in trace.servers})
        self.alive = [True] * trace.routers
        self.groups = [0] * trace.routers
        self.incarnations = [1] * trace.routers
        self.jobs: list[Job] = []
        self.measures = measures.Measures(self)
        self.policy: Policy
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._arrival: dict[tuple[int, int], float] = {}

    def run(self, policy: Policy) -> None:
        """Replay the whole trace."""
        self.policy = policy
        for fault in self.trace.faults:
            self.schedule(fault.at, getattr(self, f"_{fault.kind}"), fault)
        for request in self.trace.requests:
            self.schedule(request.at, self._arrive, request)
        last = max((request.at for request in self.trace.requests), default=0.0)
        self.schedule(last + CLOSE_SECONDS, self._close)
        self.schedule(SAMPLE_SECONDS, self._sample)
        self.schedule(LOAD_SECONDS, self._report_load)
        while self._events and not self.is_over():
            at, _, call, arguments = heapq.heappop(self._events)
            self.now = at
            call(*arguments)

    def is_over(self) -> bool:
        """Return whether each request of the trace has its outcome."""
        return len(self.jobs) == len(self.trace.requests) and self.measures.open == 0

    def schedule(
        self, at: float, call: Callable[..., None], *arguments: object
    ) -> None:
        """Call something at a time."""
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def after(
        self, seconds: float, call: Callable[..., None], *arguments: object
    ) -> None:
        """Call something later."""
        self.schedule(self.now + seconds, call, *arguments)

    def sees(self, one: int, other: int) -> bool:
        """Return whether two routers are alive and in one part of the fleet."""
        alive = self.alive[one] and self.alive[other]
        return alive and self.groups[one] == self.groups[other]

    def send(
        self,
        source: int,
        target: int,
        size: int,
        call: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Carry a message of some bytes over the link between two routers."""
        if source == target:
            self.after(0.0, call, *arguments)
            return
        self.measures.control_bytes += size
        delay = self.trace.link_seconds * (1.0 + self.random.expovariate(5.0))
        if self.random.random() < RETRANSMITTED:
            delay += RETRANSMIT_SECONDS
        link = (source, target)
        at = max(self.now + delay, self._arrival.get(link, 0.0))
        self._arrival[link] = at
        lives = (self.incarnations[source], self.incarnations[target])
        self.schedule(at, self._deliver, link, lives, call, arguments)

    def start(self, job: Job, server: str) -> bool:
        """Send a request to a server; return False if it refuses, not run."""
        entry = self.servers[server]
        if entry.leaving:
            return False
        self.measures.account()
        self._reach(entry)
        job.state = states.RequestState.SENT
        job.server, job.told = server, 0.0
        job.runs += 1
        entry.add(job)
        self.measures.start(job)
        self._plan(entry)
        return True

    def suspend(self, job: Job, recomputed: float) -> None:
        """Cancel a stream, to be resumed; a part of it will be computed again."""
        self.measures.account()
        entry = self.servers[job.server]
        self._reach(entry)
        job.done = entry.given(job)
        job.again = recomputed * job.done
        self.measures.recomputed += job.again
        self.measures.stop(job, job.done)
        del entry.running[job]
        self._plan(entry)
        job.state = states.RequestState.QUEUED
        self.measures.wait_again(job)

    def settle(self, job: Job, outcome: states.Outcome) -> None:
        """Give a request its final answer."""
        self.measures.account()
        if job.state is states.RequestState.SENT:
            entry = self.servers[job.server]
            self._reach(entry)
            self.measures.stop(job, entry.given(job))
            del entry.running[job]
            self._plan(entry)
        job.outcome = outcome
        self.measures.settle(job)
        job.state = states.RequestState.SETTLED

    def given(self, job: Job) -> float:
        """Return what a running request has received so far, in cost units."""
        entry = self.servers[job.server]
        self._reach(entry)
        return entry.given(job)

    def _arrive(self, request: traces.Request) -> None:
        if not any(self.alive):
            self.after(REPEAT_SECONDS, self._arrive, request)
            return
        router = request.router
        while not self.alive[router]:
            router = (router + 1) % self.trace.routers
        job = Job(request, len(self.jobs), router)
        job.key = (request.service, request.account)
        self.measures.account()
        self.jobs.append(job)
        self.measures.arrive(job)
        if request.deadline is not None:
            self.schedule(request.deadline, self._give_up, job)
        self.policy.arrive(job)

    def _give_up(self, job: Job) -> None:
        if job.state is states.RequestState.QUEUED:
            self.settle(job, states.Outcome.NOT_RUN)
            self.policy.drop(job)

    def _close(self) -> None:
        for job in self.jobs:
            self._give_up(job)

    def _reach(self, entry: BackendServer) -> None:
        entry.advance(self.now)

    def _plan(self, entry: BackendServer) -> None:
        entry.version += 1
        found = entry.find_next()
        if found is not None:
            seconds, job = found
            self.after(seconds, self._finish, entry, entry.version, job)

    def _finish(self, entry: BackendServer, version: int, job: Job) -> None:
        if version != entry.version:
            return
        self.settle(job, states.Outcome.RAN)
        self.policy.end(job)

    def _deliver(
        self,
        link: tuple[int, int],
        lives: tuple[int, int],
        call: Callable[..., None],
        arguments: tuple,
    ) -> None:
        source, target = link
        now = (self.incarnations[source], self.incarnations[target])
        if lives == now and self.sees(source, target):
            call(*arguments)

    def _sample(self) -> None:
        self.measures.sample()
        self.after(SAMPLE_SECONDS, self._sample)

    def _report_load(self) -> None:
        for entry in self.servers.values():
            entry.reported = len(entry.running)
        self.after(LOAD_SECONDS, self._report_load)

    def _cut(self, fault: traces.Fault) -> None:
        group = max(self.groups) + 1
        for router in fault.routers:
            self.groups[router] = group
        self.after(DETECT_SECONDS, self.policy.change)

    def _heal(self, fault: traces.Fault) -> None:
        for router in fault.routers or range(self.trace.routers):
            self.groups[router] = 0
        self.after(DETECT_SECONDS, self.policy.change)

    def _restart(self, fault: traces.Fault) -> None:
        for router in fault.routers:
            self.alive[router] = False
            self.incarnations[router] += 1
            for job in self.jobs:
                if job.router == router and job.outcome is None:
                    self.settle(job, states.Outcome.UNKNOWN)
            self.policy.lose(router)
            self.after(RESTART_SECONDS, self._return, router)
        self.after(DETECT_SECONDS, self.policy.change)

    def _return(self, router: int) -> None:
        self.alive[router] = True
        self.policy.change()

    def _slow(self, fault: traces.Fault) -> None:
        entry = self.servers[fault.server]
        self._reach(entry)
        entry.factor = fault.factor
        self._plan(entry)

    def _leave(self, fault: traces.Fault) -> None:
        self.measures.account()
        self.servers[fault.server].leaving = True
        self.servers[fault.server].left_at = self.now
        self.after(LEAVE_SECONDS, self.policy.change)
