"""The policy ``celeryspan``: a fleet of routers on the virtual clock.

The home of a server is the router that grants its slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench import node as nodes, policies, simulation
from celeryspan import ids
from celeryspan.decisions import reporting

if TYPE_CHECKING:
    from collections.abc import Callable

POLICY_NAME = "celeryspan"

# Seconds until the counters of a dead incarnation are folded.
FOLD_AFTER_SECONDS = 60.0


@policies.register(POLICY_NAME)
class CeleryspanPolicy:
    """A fleet with one `node.Node` per router."""

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
        """Return the rule that decides when counters are exchanged."""
        return reporting.RULES[self.rule]()

    def handle_arrival(self, job: simulation.Job) -> None:
        """Pass a request to its router."""
        self.nodes[job.router].handle_arrival(job)

    def handle_end(self, job: simulation.Job) -> None:
        """Notify the request's router of its end."""
        self.nodes[job.router].handle_end(job)

    def handle_refusal(self, job: simulation.Job) -> None:
        """Notify the request's router of its refusal."""
        self.nodes[job.router].handle_refusal(job)

    def handle_topology_change(self) -> None:
        """Update the membership view of all running routers."""
        for node in self.nodes:
            if self.simulator.alive[node.index]:
                node.update_view()
                node.start()

    def handle_restart(self, router: int) -> None:
        """Replace a router by a new node without state."""
        old = self.nodes[router]
        node = nodes.Node(self, router)
        self.nodes[router] = node
        self.simulator.schedule_after(FOLD_AFTER_SECONDS, self.fold_counters, old)

    def fold_counters(self, old: nodes.Node) -> None:
        """Fold the counters of a dead incarnation on all nodes."""
        for node in self.nodes:
            node.counters.fold(old.name, old.incarnation)

    def handle_load_reports(self) -> None:
        """Deliver the load reports to all running routers."""
        for node in self.nodes:
            if self.simulator.alive[node.index]:
                node.handle_load_reports()
        self.simulator.schedule_after(
            simulation.LOAD_REPORT_SECONDS, self.handle_load_reports
        )

    def deliver(self, target: int, call: Callable, sender: int, item: object) -> None:
        """Call a message handler of the target node."""
        call(self.nodes[target], sender, item)
