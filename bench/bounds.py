"""The bound on the fairness gap, computed for one replay.

``docs/design/sharing.md`` derives it. It holds for whatever the costs are; what enters
from the run is how many slots each account held at most at once.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from bench import node, simulation
from celeryspan.decisions import grants, reporting, slotcharge

if TYPE_CHECKING:
    from bench import traces


def find_bound(simulator: simulation.Simulator) -> float:
    """Return the greatest gap that the derivation allows, in cost units per weight."""
    return max(
        (_find_service(simulator, item) for item in simulator.services), default=0.0
    )


def _find_service(simulator: simulation.Simulator, service: str) -> float:
    accounts = sorted(simulator.trace.accounts)
    costs: dict[str, list[float]] = {account: [] for account in accounts}
    for request in simulator.trace.requests:
        if request.service == service:
            costs[request.account].append(request.cost)
    every = [cost for found in costs.values() for cost in found]
    if not every:
        return 0.0
    charge = slotcharge.SLOT_CHARGE * max(
        sum(every) / len(every), _mean_hint(simulator)
    )
    stale = _find_staleness(simulator, service)
    sides = []
    for account in accounts:
        weight = simulator.trace.accounts[account]
        held = simulator.measures.peak_held.get((service, account), 0)
        streaming = sum(heapq.nlargest(held, costs[account])) / weight
        charged = 3.0 * charge * held / weight
        sides.append(streaming + charged + 2.0 * stale / weight)
    return sum(heapq.nlargest(2, sides))


def _mean_hint(simulator: simulation.Simulator) -> float:
    hints = [item.hint for item in simulator.trace.requests if item.hint is not None]
    return sum(hints) / len(hints) if hints else 0.0


def _find_staleness(simulator: simulation.Simulator, service: str) -> float:
    """Return the service that a home may not have heard of, in cost units."""
    servers = [spec for spec in simulator.trace.servers if spec.service == service]
    rate = sum(spec.slots * spec.rate for spec in servers)
    seconds = (
        node.TICK_SECONDS + simulator.trace.link_seconds + simulation.RETRANSMIT_SECONDS
    )
    seconds += grants.LIFT_WARMUP_SECONDS
    seconds += _find_unheard(simulator.trace)
    return simulator.trace.routers * reporting.MAX_UNREPORTED_UNITS + rate * seconds


def _find_unheard(trace: traces.Trace) -> float:
    """Return for how long parts of the fleet do not hear each other, in seconds."""
    end = trace.requests[-1].at if trace.requests else 0.0
    heals = [fault.at for fault in trace.faults if fault.kind == "heal"]
    total = 0.0
    for fault in trace.faults:
        if fault.kind == "cut":
            healed = min((at for at in heals if at >= fault.at), default=end)
            total += (
                healed
                - fault.at
                + simulation.FAILURE_DETECTION_SECONDS
                + grants.LIFT_WARMUP_SECONDS
            )
        if fault.kind == "restart":
            total += simulation.RESTART_SECONDS + grants.LIFT_WARMUP_SECONDS
    return total
