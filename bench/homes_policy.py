"""The policy ``celeryspan``: a fleet of routers with homes over the virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench import node as nodes, policies, simulation
from celeryspan import ids
from celeryspan.decisions import reporting

if TYPE_CHECKING:
    from collections.abc import Callable

POLICY_NAME = "celeryspan"

# Seconds until a dead incarnation's counters are folded.
FOLD_AFTER_SECONDS = 60.0


@policies.register(POLICY_NAME)
class CeleryspanPolicy:
    """The fleet: one node for each router."""

    rule = "units"
    ledger_options: dict[str, float] = {}

    def __init__(self, simulator: simulation.Simulator) -> None:
        self.simulator = simulator
        routers = range(simulator.trace.routers)
        self.names = [ids.RouterId(f"router-{index}") for index in routers]
        self.servers = {
            service: [
                server
                for server, entry in simulator.servers.items()
                if entry.spec.service == service
            ]
            for service in simulator.services
        }
        self.nodes = [nodes.Node(self, index) for index in routers]
        self.handle_topology_change()
        simulator.schedule(simulation.LOAD_REPORT_SECONDS, self.handle_load_reports)

    def make_rule(self) -> reporting.Rule:
        """Return the rule of exchange."""
        return reporting.RULES[self.rule]()

    def handle_arrival(self, job: simulation.Job) -> None:
        """Queue a request at its router."""
        self.nodes[job.router].handle_arrival(job)

    def handle_end(self, job: simulation.Job) -> None:
        """Tell the request's router that it ended."""
        self.nodes[job.router].handle_end(job)

    def handle_refusal(self, job: simulation.Job) -> None:
        """Tell the request's router that it was refused."""
        self.nodes[job.router].handle_refusal(job)

    def handle_topology_change(self) -> None:
        """Let all routers look at the membership."""
        for node in self.nodes:
            if self.simulator.alive[node.index]:
                node.update_view()
                node.start()

    def handle_restart(self, router: int) -> None:
        """Start a router anew, without state."""
        old = self.nodes[router]
        node = nodes.Node(self, router)
        self.nodes[router] = node
        self.simulator.schedule_after(FOLD_AFTER_SECONDS, self.fold_counters, old)

    def fold_counters(self, old: nodes.Node) -> None:
        """Fold the counters of an incarnation that is gone."""
        for node in self.nodes:
            node.counters.fold(old.name, old.incarnation)

    def handle_load_reports(self) -> None:
        """Let homes read the load reports."""
        for node in self.nodes:
            if self.simulator.alive[node.index]:
                node.handle_load_reports()
        self.simulator.schedule_after(
            simulation.LOAD_REPORT_SECONDS, self.handle_load_reports
        )

    def deliver(self, target: int, call: Callable, sender: int, item: object) -> None:
        """Hand a message to a node."""
        call(self.nodes[target], sender, item)
