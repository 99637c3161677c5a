"""Registry of replay policies, and the policies for comparison."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bench import simulation
from celeryspan import ids
from celeryspan.decisions import preemption, sharing, slotcharge

if TYPE_CHECKING:
    from collections.abc import Callable

POLICIES: dict[str, Callable[[simulation.Simulator], simulation.Policy]] = {}

# Typical cost configured for each service in the register.
TYPICAL_COST_UNITS = 420.0

# Seconds between rebalancings of leased shares.
REBALANCE_SECONDS = 1.0

# Services whose streams can be cancelled and resumed.
MODEL_SERVICES = ("lm-pool", "planner-llm")

QueueKey = tuple[str, str]


def register(
    name: str,
) -> Callable[[Callable[[simulation.Simulator], simulation.Policy]], Callable]:
    """Register a policy under a name."""

    def add(factory: Callable[[simulation.Simulator], simulation.Policy]) -> Callable:
        POLICIES[name] = factory
        return factory

    return add


class FairQueue:
    """Weighted fair queue over accounts, with counters that are updated without delay.

    Parameters
    ----------
    charging_rule : str
        Name of the rule that charges an account for requests in progress.
    """

    def __init__(
        self, simulator: simulation.Simulator, charging_rule: str = "slots"
    ) -> None:
        self._simulator = simulator
        self._charging_rule = charging_rule
        self._estimator = sharing.CostEstimator()
        self._slot_charge = slotcharge.SlotCharge()
        self._queues: dict[QueueKey, collections.deque[simulation.Job]] = {}
        self._running: dict[QueueKey, dict[simulation.Job, float]] = {}
        self._settled: dict[QueueKey, float] = {}
        self._suspended: dict[QueueKey, float] = {}
        self._lifts: dict[QueueKey, float] = {}
        self._floors: dict[str, float] = {}

    def push(self, job: simulation.Job) -> None:
        """Add a request; lift the counter of an account that becomes backlogged."""
        queue = self._queues.setdefault(job.key, collections.deque())
        if not queue:
            self._lift(job.key)
        queue.append(job)

    def remove(self, job: simulation.Job) -> None:
        """Remove a request that was refused."""
        if job in self._queues.get(job.key, ()):
            self._queues[job.key].remove(job)

    def pop(self, service: str) -> simulation.Job | None:
        """Remove and return the next request of a service."""
        keys = [key for key, queue in self._queues.items() if queue]
        keys = [key for key in keys if key[0] == service]
        if not keys:
            return None
        key = min(keys, key=lambda item: (self._priority(item), item))
        level = self._level(key)
        self._floors[service] = max(level, self._floors.get(service, 0.0))
        job = self._queues[key].popleft()
        request = job.request
        if job.resumed_from:
            self._suspended[key] -= job.resumed_from
        estimate = self._estimator.estimate(*key, request.hint, TYPICAL_COST_UNITS)
        self._slot_charge.record_estimate(service, estimate)
        self._running.setdefault(key, {})[job] = estimate
        return job

    def finish(self, job: simulation.Job) -> None:
        """Charge the actual cost of a request that has ended."""
        self._running[job.key].pop(job)
        cost = job.request.cost
        self._settled[job.key] = self._settled.get(job.key, 0.0) + cost
        self._estimator.record_cost(*job.key, cost)
        self._slot_charge.record_cost(job.key[0], cost)

    def requeue(self, job: simulation.Job) -> None:
        """Put a request whose stream was cancelled back at the head of its queue."""
        self._running[job.key].pop(job)
        self._suspended[job.key] = self._suspended.get(job.key, 0.0) + job.resumed_from
        self._queues.setdefault(job.key, collections.deque()).appendleft(job)

    def describe(
        self, service: str
    ) -> tuple[dict[str, float], list[str], list[simulation.Job]]:
        """Return account levels, waiting accounts and running requests of a service."""
        keys = [key for key in self._queues if key[0] == service]
        levels = {key[1]: self._level(key) for key in keys}
        waiting = [key[1] for key in keys if self._queues[key]]
        running = [job for key in keys for job in self._running.get(key, ())]
        return levels, waiting, running

    def forget(self, job: simulation.Job) -> None:
        """Discard a request whose router lost its state."""
        self._running.get(job.key, {}).pop(job, None)
        self.remove(job)

    def count(self, service: str) -> int:
        """Return the number of waiting and running requests of a service."""
        total = 0
        for key, queue in self._queues.items():
            if key[0] == service:
                total += len(queue) + len(self._running.get(key, ()))
        return total

    def _level(self, key: QueueKey) -> float:
        weight = self._simulator.trace.accounts[key[1]]
        units = self._settled.get(key, 0.0) + self._suspended.get(key, 0.0)
        if self._charging_rule != "dispatch":
            for job in self._running.get(key, ()):
                units += self._simulator.streamed_units(job)
        return units / weight + self._lifts.get(key, 0.0)

    def _priority(self, key: QueueKey) -> float:
        weight = self._simulator.trace.accounts[key[1]]
        return self._level(key) + self._pending_charge(key) / weight

    def _pending_charge(self, key: QueueKey) -> float:
        running = self._running.get(key, {})
        if self._charging_rule == "slots":
            return self._slot_charge.per_slot(key[0]) * len(running)
        if self._charging_rule == "streamed":
            return 0.0
        if self._charging_rule in ("estimate", "dispatch"):
            return sum(running.values())
        if self._charging_rule == "true":
            return sum(job.request.cost for job in running)
        if self._charging_rule == "true-left":
            return sum(
                job.request.cost - self._simulator.streamed_units(job)
                for job in running
            )
        left = (
            value - self._simulator.streamed_units(job)
            for job, value in running.items()
        )
        return sum(max(0.0, value) for value in left)

    def _lift(self, key: QueueKey) -> None:
        others = [
            self._level(item)
            for item, queue in self._queues.items()
            if queue and item[0] == key[0]
        ]
        lowest = min(others, default=self._floors.get(key[0], 0.0))
        lift = max(0.0, lowest - self._level(key))
        self._lifts[key] = self._lifts.get(key, 0.0) + lift


class CentralScheduler:
    """A single queue for the whole fleet with up-to-date state."""

    charging_rule = "slots"

    def __init__(self, simulator: simulation.Simulator) -> None:
        self._simulator = simulator
        self._queue = FairQueue(simulator, self.charging_rule)

    def handle_arrival(self, job: simulation.Job) -> None:
        """Queue a request and fill free slots of its service."""
        self._queue.push(job)
        self._fill_slots(job.key[0])

    def handle_end(self, job: simulation.Job) -> None:
        """Charge a request and refill its slot."""
        self._queue.finish(job)
        self._fill_slots(job.key[0])

    def handle_refusal(self, job: simulation.Job) -> None:
        """Remove a request that was refused."""
        self._queue.remove(job)

    def handle_topology_change(self) -> None:
        """Fill free slots of all services."""
        for service in self._simulator.services:
            self._fill_slots(service)

    def handle_restart(self, router: int) -> None:
        """Discard the requests of a router that lost its state."""
        for job in self._simulator.jobs:
            if job.router == router and job.outcome is not None:
                self._queue.forget(job)
        self.handle_topology_change()

    def _fill_slots(self, service: str) -> None:
        while True:
            server = pick_server(self._simulator, service)
            job = self._queue.pop(service) if server else None
            if server is None or job is None:
                return
            self._simulator.start_request(job, server)


def pick_server(simulator: simulation.Simulator, service: str) -> str | None:
    """Return the server of a service with the largest share of free slots, or None."""
    servers = [
        item
        for item in simulator.servers.values()
        if item.spec.service == service and item.free_slots
    ]
    if not servers:
        return None
    return max(servers, key=lambda item: item.free_slots / item.spec.slots).spec.id


@register("oracle")
class Oracle(CentralScheduler):
    """Upper bound: central scheduling with the best charging rule."""


for _rule in ("streamed", "dispatch", "estimate", "left", "true", "true-left"):
    register(f"oracle-{_rule}")(
        type("Oracle", (CentralScheduler,), {"charging_rule": _rule})
    )


class PreemptiveOracle(CentralScheduler):
    """An oracle that preempts streams of an account that is far ahead.

    Only idempotent requests of ``MODEL_SERVICES`` are cancelled.
    """

    min_lead_units = 2000.0

    def __init__(self, simulator: simulation.Simulator) -> None:
        super().__init__(simulator)
        simulator.schedule_after(preemption.PREEMPTION_INTERVAL_SECONDS, self._preempt)

    def _preempt(self) -> None:
        for service in self._simulator.services:
            if service in MODEL_SERVICES:
                self._preempt_service(service)
        self._simulator.schedule_after(
            preemption.PREEMPTION_INTERVAL_SECONDS, self._preempt
        )

    def _preempt_service(self, service: str) -> None:
        levels, waiting, running = self._queue.describe(service)
        streams = {
            preemption.Stream(
                ids.RequestId(str(job.number)),
                job.key[1],
                self._simulator.streamed_units(job),
            ): job
            for job in running
            if job.request.idempotent
        }
        victim = preemption.pick_victim(levels, waiting, streams, self.min_lead_units)
        if victim is not None:
            job = streams[victim]
            self._simulator.suspend(job, preemption.RECOMPUTE_COST_SHARE)
            self._queue.requeue(job)
            self._fill_slots(service)


for _lead in (1000, 2000, 4000):
    register(f"oracle-preempt-{_lead}")(
        type("PreemptiveOracle", (PreemptiveOracle,), {"min_lead_units": float(_lead)})
    )


class ArrivalOrderQueue(FairQueue):
    """A queue that serves requests in order of arrival."""

    def _priority(self, key: QueueKey) -> float:
        return self._queues[key][0].request.at


@register("fifo")
class ArrivalOrder(CentralScheduler):
    """A single first-in, first-out queue for the whole fleet."""

    def __init__(self, simulator: simulation.Simulator) -> None:
        super().__init__(simulator)
        self._queue = ArrivalOrderQueue(simulator)


@register("alone")
class IsolatedRouters:
    """Routers without coordination: equal window shares and local counters."""

    def __init__(self, simulator: simulation.Simulator) -> None:
        self._simulator = simulator
        routers = range(simulator.trace.routers)
        self._queues = [FairQueue(simulator) for _ in routers]
        self._held: list[dict[str, int]] = [collections.Counter() for _ in routers]
        self._shares = [self._split_windows(router) for router in routers]

    def handle_arrival(self, job: simulation.Job) -> None:
        """Queue a request at its router and fill the router's share."""
        self._queues[job.router].push(job)
        self._fill_slots(job.router, job.key[0])

    def handle_end(self, job: simulation.Job) -> None:
        """Free a slot of the router's share and refill it."""
        self._held[job.router][job.server] -= 1
        self._queues[job.router].finish(job)
        self._fill_slots(job.router, job.key[0])

    def handle_refusal(self, job: simulation.Job) -> None:
        """Remove a request that was refused."""
        self._queues[job.router].remove(job)

    def handle_topology_change(self) -> None:
        """Fill the shares of all routers."""
        for router in range(self._simulator.trace.routers):
            for service in self._simulator.services:
                self._fill_slots(router, service)

    def handle_restart(self, router: int) -> None:
        """Reset a router to empty queues and counters."""
        self._queues[router] = FairQueue(self._simulator)
        self._held[router] = collections.Counter()

    def _split_windows(self, router: int) -> dict[str, int]:
        shares = {}
        routers = self._simulator.trace.routers
        for index, entry in enumerate(self._simulator.servers.values()):
            base, rest = divmod(entry.spec.slots, routers)
            shares[entry.spec.id] = base + ((router - index) % routers < rest)
        return shares

    def _fill_slots(self, router: int, service: str) -> None:
        while self._simulator.alive[router]:
            server = self._pick_server(router, service)
            job = self._queues[router].pop(service) if server else None
            if server is None or job is None:
                return
            self._held[router][server] += 1
            self._simulator.start_request(job, server)

    def _pick_server(self, router: int, service: str) -> str | None:
        free = {
            item.spec.id: self._shares[router][item.spec.id]
            - self._held[router][item.spec.id]
            for item in self._simulator.servers.values()
            if item.spec.service == service and not item.leaving
        }
        best = max(free, key=lambda item: free[item], default=None)
        return best if best is not None and free[best] > 0 else None


@register("leased")
class LeasedShares(IsolatedRouters):
    """Window shares proportional to each router's demand, updated every second."""

    def __init__(self, simulator: simulation.Simulator) -> None:
        super().__init__(simulator)
        simulator.schedule_after(REBALANCE_SECONDS, self._rebalance)

    def _rebalance(self) -> None:
        for service in self._simulator.services:
            demand = [queue.count(service) for queue in self._queues]
            self._assign_shares(service, demand)
        self.handle_topology_change()
        self._simulator.schedule_after(REBALANCE_SECONDS, self._rebalance)

    def _assign_shares(self, service: str, demand: list[int]) -> None:
        total = sum(demand)
        routers = range(len(demand))
        for entry in self._simulator.servers.values():
            if entry.spec.service != service or not total:
                continue
            slots = entry.spec.slots
            exact = [slots * count / total for count in demand]
            shares = [int(value) for value in exact]
            order = sorted(routers, key=lambda item: shares[item] - exact[item])
            for router in order[: slots - sum(shares)]:
                shares[router] += 1
            for router in routers:
                self._shares[router][entry.spec.id] = shares[router]
