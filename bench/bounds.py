"""The bound on the fairness gap, computed for one replay.

``docs/design/sharing.md`` derives it. It holds for whatever the costs are; what enters
from the run is how many slots each account held at most at once.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from bench import node, world
from celeryspan.decisions import grants, reporting, slotcharge

if TYPE_CHECKING:
    from bench import traces


def find_bound(owner: world.World) -> float:
    """Return the greatest gap that the derivation allows, in cost units per weight."""
    return max((_find_service(owner, item) for item in owner.services), default=0.0)


def _find_service(owner: world.World, service: str) -> float:
    accounts = sorted(owner.trace.accounts)
    costs: dict[str, list[float]] = {account: [] for account in accounts}
    for request in owner.trace.requests:
        if request.service == service:
            costs[request.account].append(request.cost)
    every = [cost for found in costs.values() for cost in found]
    if not every:
        return 0.0
    charge = slotcharge.SLOT_CHARGE * max(sum(every) / len(every), _mean_hint(owner))
    stale = _find_staleness(owner, service)
    sides = []
    for account in accounts:
        weight = owner.trace.accounts[account]
        held = owner.measures.most_held.get((service, account), 0)
        streaming = sum(heapq.nlargest(held, costs[account])) / weight
        charged = 3.0 * charge * held / weight
        sides.append(streaming + charged + 2.0 * stale / weight)
    return sum(heapq.nlargest(2, sides))


def _mean_hint(owner: world.World) -> float:
    hints = [item.hint for item in owner.trace.requests if item.hint is not None]
    return sum(hints) / len(hints) if hints else 0.0


def _find_staleness(owner: world.World, service: str) -> float:
    """Return the service that a home may not have heard of, in cost units."""
    servers = [spec for spec in owner.trace.servers if spec.service == service]
    rate = sum(spec.slots * spec.rate for spec in servers)
    seconds = node.TICK_SECONDS + owner.trace.link_seconds + world.RETRANSMIT_SECONDS
    seconds += grants.LIFT_WARMUP_SECONDS
    seconds += _find_unheard(owner.trace)
    return owner.trace.routers * reporting.MAX_UNREPORTED_UNITS + rate * seconds


def _find_unheard(trace: traces.Trace) -> float:
    """Return for how long parts of the fleet do not hear each other, in seconds."""
    end = trace.requests[-1].at if trace.requests else 0.0
    heals = [fault.at for fault in trace.faults if fault.kind == "heal"]
    total = 0.0
    for fault in trace.faults:
        if fault.kind == "cut":
            healed = min((at for at in heals if at >= fault.at), default=end)
            total += (
                healed - fault.at + world.DETECT_SECONDS + grants.LIFT_WARMUP_SECONDS
            )
        if fault.kind == "restart":
            total += world.RESTART_SECONDS + grants.LIFT_WARMUP_SECONDS
    return total
