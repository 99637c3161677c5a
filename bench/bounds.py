"""Computes the upper bound on the fairness gap of one replay.

The derivation is in ``docs/design/sharing.md``. The bound holds for any costs. The only
measured input is the greatest number of slots that each account held at once.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from bench import node, simulation
from celeryspan.decisions import grants, reporting, slotcharge

if TYPE_CHECKING:
    from bench import traces


def compute_gap_bound(simulator: simulation.Simulator) -> float:
    """Return the upper bound on the fairness gap, in cost units per weight."""
    return max(
        (_compute_service_bound(simulator, item) for item in simulator.services),
        default=0.0,
    )


def _compute_service_bound(simulator: simulation.Simulator, service: str) -> float:
    accounts = sorted(simulator.trace.accounts)
    costs: dict[str, list[float]] = {account: [] for account in accounts}
    for request in simulator.trace.requests:
        if request.service == service:
            costs[request.account].append(request.cost)
    all_costs = [cost for account_costs in costs.values() for cost in account_costs]
    if not all_costs:
        return 0.0
    charge = slotcharge.SLOT_CHARGE * max(
        sum(all_costs) / len(all_costs), _compute_mean_hint(simulator)
    )
    unreported = _compute_unreported_service(simulator, service)
    account_bounds = []
    for account in accounts:
        weight = simulator.trace.accounts[account]
        held = simulator.measures.peak_held.get((service, account), 0)
        streaming = sum(heapq.nlargest(held, costs[account])) / weight
        charged = 3.0 * charge * held / weight
        account_bounds.append(streaming + charged + 2.0 * unreported / weight)
    return sum(heapq.nlargest(2, account_bounds))


def _compute_mean_hint(simulator: simulation.Simulator) -> float:
    hints = [item.hint for item in simulator.trace.requests if item.hint is not None]
    return sum(hints) / len(hints) if hints else 0.0


def _compute_unreported_service(simulator: simulation.Simulator, service: str) -> float:
    """Return the service that a home may not have been told of, in cost units."""
    servers = [spec for spec in simulator.trace.servers if spec.service == service]
    rate = sum(spec.slots * spec.rate for spec in servers)
    seconds = (
        node.TICK_SECONDS + simulator.trace.link_seconds + simulation.RETRANSMIT_SECONDS
    )
    seconds += grants.LIFT_WARMUP_SECONDS
    seconds += _sum_outage_seconds(simulator.trace)
    return simulator.trace.routers * reporting.MAX_UNREPORTED_UNITS + rate * seconds


def _sum_outage_seconds(trace: traces.Trace) -> float:
    """Return for how long partitions and restarts delay reports, in seconds."""
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
