"""One router of the policy ``celeryspan`` in a replay.

This module only passes messages; every decision is made by the modules of
``celeryspan.decisions`` that the daemon uses.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from bench import policies, simulation
from celeryspan import ids
from celeryspan.decisions import grants, homes, partitions, reporting, sharing
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bench import homes_policy

# Approximate size of a message and of the frame around one or more messages. The codec
# uses 73 to 93 bytes for a frame of one message, and 25 to 38 for each further one.
BYTES_PER_MESSAGE = 40
BYTES_PER_FRAME = 40

# Seconds between counter exchanges. At 100 ms, the homes of a service with short
# requests grant several slots before they learn of each other's grants.
TICK_SECONDS = 0.02

# Seconds for which urgent demand changes are collected into one report.
URGENT_BATCH_SECONDS = 0.001

QueueKey = tuple[str, str]
SharedItem = messages.Counter | messages.Lift | messages.Pending


class Node:
    """One router: its queues, its grant ledger and its view of the fleet."""

    def __init__(self, fleet: homes_policy.CeleryspanPolicy, index: int) -> None:
        self.fleet = fleet
        self.simulator = fleet.simulator
        self.index = index
        self.name = ids.RouterId(f"router-{index}")
        self.incarnation = ids.Incarnation(self.simulator.incarnations[index])
        weights = self.simulator.trace.accounts
        self.counters = sharing.Counters(
            self.name, self.incarnation, lambda account: weights[account]
        )
        self.ledger = grants.Ledger(
            self.name, self.incarnation, self.counters, **fleet.ledger_options
        )
        self.counter_reporter = reporting.CounterReporter(fleet.make_rule())
        self.demand_reporter = reporting.DemandReporter()
        self.estimator = sharing.CostEstimator()
        self.queues: dict[QueueKey, collections.deque[simulation.Job]] = {}
        self.running: dict[simulation.Job, messages.Grant] = {}
        self.units: dict[QueueKey, float] = {}
        self.view: tuple[int, ...] = ()
        self.homes: dict[str, dict[str, int]] = {}
        self.leaving: set[str] = set()
        self.started = False
        self.sequence = 0
        self.rotation = 0
        self.scheduled_reports: set[QueueKey] = set()
        self.in_use: dict[str, int] = {}

    def start(self) -> None:
        """Start the periodic tick, at an offset that differs between routers."""
        if not self.started:
            self.started = True
            routers = self.simulator.trace.routers
            self.simulator.schedule_after(
                TICK_SECONDS * self.index / routers, self.tick
            )

    def handle_arrival(self, job: simulation.Job) -> None:
        """Queue a request and schedule a demand report."""
        self.queues.setdefault(job.key, collections.deque()).append(job)
        self.schedule_demand_report(job.key)

    def handle_refusal(self, job: simulation.Job) -> None:
        """Remove a request that was refused."""
        queue = self.queues.get(job.key, ())
        if job in queue:
            queue.remove(job)
            self.schedule_demand_report(job.key)

    def handle_end(self, job: simulation.Job) -> None:
        """Release the slot of a request and report the actual cost."""
        grant = self.running.pop(job)
        self.record_streamed(job, job.request.cost)
        self.estimator.record_cost(*job.key, job.request.cost)
        self.release_slot(grant, job.request.cost)

    def record_streamed(self, job: simulation.Job, streamed: float) -> None:
        """Count the service streamed since the last call."""
        units = streamed - job.reported_units
        job.reported_units = streamed
        self.counters.record_service(*job.key, units)
        self.units[job.key] = self.units.get(job.key, 0.0) + units

    def release_slot(self, grant: messages.Grant, cost: float) -> None:
        """Notify the home that a slot is free."""
        ended = messages.GrantEnded(grant.grant, grant.server, grant.account, cost)
        self.send_to_home(grant.server, Node.handle_ended, ended)

    def schedule_demand_report(self, key: QueueKey) -> None:
        """Schedule a demand report, sooner if the homes' information is wrong.

        It is wrong if homes know of demand and nothing waits, or the other way round.
        """
        if key in self.scheduled_reports:
            return
        waiting = len(self.queues[key])
        informed_homes = self.demand_reporter.informed_homes(key)
        urgent = bool(informed_homes) != bool(waiting)
        self.scheduled_reports.add(key)
        seconds = URGENT_BATCH_SECONDS if urgent else reporting.DEMAND_BATCH_SECONDS
        self.simulator.schedule_after(seconds, self.send_demand_reports, key)

    def send_demand_reports(self, key: QueueKey) -> None:
        """Report the number of waiting requests of a queue to homes."""
        self.scheduled_reports.discard(key)
        if not self.is_current():
            return
        now, waiting = self.simulator.now, len(self.queues[key])
        stage = self.demand_reporter.find_stage(key, waiting, now)
        targets = dict.fromkeys(self.demand_reporter.informed_homes(key))
        targets.update(dict.fromkeys(self.pick_homes(key, stage)))
        for home in targets:
            if self.demand_reporter.reported_waiting(key, home) != waiting:
                self.demand_reporter.record_report(key, home, waiting)
                self.sequence += 1
                self.send(int(home[7:]), Node.handle_demand, self.build_demand(key))
        if stage is reporting.Stage.ONE:
            self.scheduled_reports.add(key)
            self.simulator.schedule_after(
                reporting.ESCALATE_SECONDS, self.send_demand_reports, key
            )

    def pick_homes(
        self, key: QueueKey, stage: reporting.Stage
    ) -> Iterable[ids.RouterId]:
        """Return the homes to report a queue to."""
        found = self.homes.get(key[0], {})
        names = {server: self.fleet.names[home] for server, home in found.items()}
        if stage is reporting.Stage.NONE or not names:
            return ()
        if stage is reporting.Stage.ALL:
            attempt = self.demand_reporter.find_sample_number(key, self.simulator.now)
            return homes.sample_homes(set(names.values()), self.name, key[0], attempt)
        self.rotation += 1
        first = homes.pick_first_home(names, self.name, key[0], self.rotation)
        return (
            ()
            if self.demand_reporter.informed_homes(key) or first is None
            else (first,)
        )

    def build_demand(self, key: QueueKey) -> messages.Demand:
        """Return the demand report of a queue."""
        queue = self.queues[key]
        age = self.simulator.now - queue[0].request.at if queue else 0.0
        hint = queue[0].request.hint if queue else None
        typical = policies.TYPICAL_COST_UNITS
        cost = self.estimator.estimate(*key, hint, typical) if queue else 0.0
        return messages.Demand(*key, len(queue), age, self.sequence, cost)

    def handle_demand(self, sender: int, demand: messages.Demand) -> None:
        """As home: record a demand report."""
        self.ledger.update_demand(self.fleet.names[sender], demand, self.simulator.now)
        self.issue_grants()

    def handle_used(self, sender: int, used: messages.GrantUsed) -> None:
        """As home: record that a grant was used."""
        self.ledger.mark_used(self.fleet.names[sender], used, self.simulator.now)

    def handle_ended(self, sender: int, ended: messages.GrantEnded) -> None:
        """As home: record that a grant ended and its slot is free."""
        self.ledger.end_grant(self.fleet.names[sender], ended, self.simulator.now)
        self.issue_grants()

    def handle_held(self, sender: int, held: messages.SlotsHeld) -> None:
        """As home: record which slots a router holds."""
        self.ledger.set_held(self.fleet.names[sender], held, self.simulator.now)
        self.issue_grants()

    def handle_leaving(self, sender: int, server: str) -> None:
        """As home: stop granting slots of a server that is leaving."""
        self.leaving.add(server)
        self.set_windows()

    def issue_grants(self) -> None:
        """As home: grant free slots."""
        for issued in self.ledger.issue(self.simulator.now):
            self.send(int(issued.router[7:]), Node.handle_grant, issued.grant)

    def handle_grant(self, sender: int, grant: messages.Grant) -> None:
        """Send the account's next request, or return the grant if there is none."""
        key = (grant.service, grant.account)
        queue = self.queues.get(key)
        if not queue:
            self.return_unused_grant(key, grant)
            return
        job = queue[0]
        if not self.simulator.start_request(job, grant.server):
            self.send_to_home(grant.server, Node.handle_leaving, grant.server)
            self.return_unused_grant(key, grant)
            return
        queue.popleft()
        self.running[job] = grant
        self.demand_reporter.record_use(
            key, self.fleet.names[sender], self.simulator.now
        )
        used = messages.GrantUsed(grant.grant, grant.server, grant.account, 0.0)
        self.send_to_home(grant.server, Node.handle_used, used)
        self.schedule_demand_report(key)

    def return_unused_grant(self, key: QueueKey, grant: messages.Grant) -> None:
        """Return a grant unused; its home then assumes that nothing waits here."""
        home = self.homes[grant.service][grant.server]
        self.demand_reporter.record_report(key, self.fleet.names[home], 0)
        self.release_slot(grant, 0.0)
        self.schedule_demand_report(key)

    def tick(self) -> None:
        """Exchange changed counters, lifts and pending counts with the other homes."""
        if not self.is_current():
            return
        for job in self.running:
            self.record_streamed(job, self.simulator.streamed_units(job))
        self.share_with_homes(self.find_due_counters())
        self.share_with_homes(self.ledger.pop_lifts())
        self.share_with_homes(self.ledger.pop_pending())
        self.ledger.expire(self.simulator.now)
        self.issue_grants()
        self.simulator.schedule_after(TICK_SECONDS, self.tick)

    def find_due_counters(self) -> list[messages.Counter]:
        """Return the counters that are due to be sent."""
        due = self.counter_reporter.find_due(self.units, None, self.simulator.now)
        return [
            messages.Counter(self.name, self.incarnation, *key, self.units[key])
            for key in due
        ]

    def share_with_homes(self, items: list[SharedItem]) -> None:
        """Send each item to the homes of its service, in one frame per home."""
        frames: dict[int, list[SharedItem]] = {}
        for item in items:
            for home in sorted(set(self.homes[item.service].values())):
                if home != self.index:
                    frames.setdefault(home, []).append(item)
        for home, frame in frames.items():
            self.send(home, Node.handle_shared, frame, count=len(frame))

    def handle_shared(self, sender: int, frame: list[SharedItem]) -> None:
        """Merge counters, lifts and pending counts of another router."""
        for item in frame:
            if isinstance(item, messages.Counter):
                self.counters.merge(item)
            elif isinstance(item, messages.Lift):
                self.counters.merge_lift(item)
            else:
                self.counters.merge_pending(self.fleet.names[sender], item)

    def handle_snapshot(self, sender: int, snapshot: sharing.Snapshot) -> None:
        """Load the counter snapshot of a peer."""
        self.counters.load_snapshot(snapshot)

    def update_view(self) -> None:
        """Update the membership view; reassign homes and forget departed routers."""
        routers = range(self.simulator.trace.routers)
        view = tuple(
            item for item in routers if self.simulator.can_reach(self.index, item)
        )
        departed = [item for item in self.view if item not in view]
        self.view = view
        for router in departed:
            self.forget_router(router)
        self.move_homes()
        self.set_windows()
        for key in self.queues:
            self.schedule_demand_report(key)
        self.issue_grants()

    def forget_router(self, router: int) -> None:
        """Free the slots and pending counts of an unreachable router."""
        name = self.fleet.names[router]
        self.ledger.forget_router(name)
        self.counters.forget_pending(name)
        self.demand_reporter.forget(name)

    def send_snapshot(self, router: int, service: str) -> None:
        """Send a snapshot to a new home if this is the first other home."""
        self.counter_reporter.forget(service)
        peers = set(self.homes[service].values()) - {router}
        if self.index != min(peers, default=None):
            return
        snapshot = self.counters.snapshot()
        count = len(snapshot.counters) + len(snapshot.lifts) + len(snapshot.folded)
        self.send(router, Node.handle_snapshot, snapshot, count=count)

    def move_homes(self) -> None:
        """Recompute the homes of all servers and move those that changed."""
        names = [self.fleet.names[item] for item in self.view]
        old = dict(item for found in self.homes.values() for item in found.items())
        for service in self.simulator.services:
            servers = self.fleet.servers[service]
            found = homes.assign_homes(servers, names)
            before = set(self.homes.get(service, {}).values())
            self.homes[service] = {key: int(home[7:]) for key, home in found.items()}
            for server, home in self.homes[service].items():
                if old.get(server) != home:
                    self.move_home(server, service, old.get(server), home)
            for home in sorted(set(self.homes[service].values()) - before):
                self.send_snapshot(home, service)
        self.share_with_homes(self.ledger.list_pending())

    def move_home(self, server: str, service: str, old: int | None, new: int) -> None:
        """Move the home of one server and report the slots held there."""
        if old == self.index:
            self.ledger.remove_server(server)
        if new == self.index:
            spec = self.simulator.servers[server].spec
            awaited = [self.fleet.names[item] for item in self.view]
            now = self.simulator.now
            self.ledger.add_server(server, service, spec.slots, now, awaited)
        held = tuple(
            (job.request.account, 0.0) for job in self.running if job.server == server
        )
        self.send(new, Node.handle_held, messages.SlotsHeld(server, held))

    def set_windows(self) -> None:
        """Set the window of each server whose home is this router."""
        for server in self.ledger.servers():
            entry = self.simulator.servers[server]
            if server in self.leaving or (
                entry.leaving
                and entry.left_at + simulation.LEAVE_NOTICE_SECONDS
                <= self.simulator.now
            ):
                self.ledger.set_window(server, 0)
                continue
            others = None
            if server in self.in_use:
                others = max(0, entry.reported_running - self.in_use[server])
            window = partitions.share_window(
                entry.spec.slots, len(self.view), self.simulator.trace.routers, others
            )
            self.ledger.set_window(server, window)

    def handle_load_reports(self) -> None:
        """Apply the load reports, which are one interval old."""
        self.set_windows()
        self.in_use = {item: self.ledger.in_use(item) for item in self.ledger.servers()}
        self.issue_grants()

    def send(self, target: int, call: Callable, item: object, count: int = 1) -> None:
        """Send a message to a router."""
        size = BYTES_PER_FRAME + count * BYTES_PER_MESSAGE
        self.simulator.send(
            self.index, target, size, self.fleet.deliver, target, call, self.index, item
        )

    def send_to_home(self, server: str, call: Callable, item: object) -> None:
        """Send a message to the home of a server."""
        service = self.simulator.servers[server].spec.service
        self.send(self.homes[service][server], call, item)

    def is_current(self) -> bool:
        """Return whether this incarnation is still running."""
        return self.fleet.nodes[self.index] is self and self.simulator.alive[self.index]
