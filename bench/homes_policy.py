"""The policy ``celeryspan``: a fleet of routers with homes over the virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench import node as nodes, policies, world
from celeryspan import ids
from celeryspan.decisions import reporting

if TYPE_CHECKING:
    from collections.abc import Callable

NAME = "celeryspan"
"""Of the policy, in the registry."""

# Seconds until a dead incarnation's counters are folded.
FOLD_SECONDS = 60.0


@policies.register(NAME)
class Celeryspan:
    """The fleet: one node for each router."""

    rule = "units"
    ledger_options: dict[str, float] = {}

    def __init__(self, owner: world.World) -> None:
        self.world = owner
        routers = range(owner.trace.routers)
        self.names = [ids.RouterId(f"router-{index}") for index in routers]
        self.servers = {
            service: [
                server
                for server, entry in owner.servers.items()
                if entry.spec.service == service
            ]
            for service in owner.services
        }
        self.nodes = [nodes.Node(self, index) for index in routers]
        self.change()
        owner.schedule(world.LOAD_SECONDS, self.note_load)

    def make_rule(self) -> reporting.Rule:
        """Return the rule of exchange."""
        return reporting.RULES[self.rule]()

    def arrive(self, job: world.Job) -> None:
        """Queue a request at its router."""
        self.nodes[job.router].arrive(job)

    def end(self, job: world.Job) -> None:
        """Tell the request's router that it ended."""
        self.nodes[job.router].end(job)

    def drop(self, job: world.Job) -> None:
        """Tell the request's router that it was refused."""
        self.nodes[job.router].drop(job)

    def change(self) -> None:
        """Let all routers look at the membership."""
        for node in self.nodes:
            if self.world.alive[node.index]:
                node.change_view()
                node.start()

    def lose(self, router: int) -> None:
        """Start a router anew, without state."""
        old = self.nodes[router]
        node = nodes.Node(self, router)
        self.nodes[router] = node
        self.world.after(FOLD_SECONDS, self.fold, old)

    def fold(self, old: nodes.Node) -> None:
        """Fold the counters of an incarnation that is gone."""
        for node in self.nodes:
            node.counters.fold(old.name, old.incarnation)

    def note_load(self) -> None:
        """Let homes read the load reports."""
        for node in self.nodes:
            if self.world.alive[node.index]:
                node.note_load()
        self.world.after(world.LOAD_SECONDS, self.note_load)

    def deliver(self, target: int, call: Callable, sender: int, item: object) -> None:
        """Hand a message to a node."""
        call(self.nodes[target], sender, item)
