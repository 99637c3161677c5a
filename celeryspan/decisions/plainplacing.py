"""Selects the plain server that takes a request: that with the least expected time."""

from __future__ import annotations

from collections.abc import Collection

from celeryspan.decisions import candidates, poolservers
from celeryspan.wire import messages


def choose(
    available: Collection[poolservers.PoolServer],
    ask: messages.SlotRequest,
    now: float,
) -> candidates.Choice | None:
    """Return the server that takes a request now, or None if none is available."""
    if not available:
        return None
    healthy = min(server.health.failure_rate for server in available)

    def cost(server: poolservers.PoolServer) -> tuple[float, str]:
        present = len(server.runs) + server.count_others(now)
        use = (present + 1) / server.entry.slots
        call_seconds = server.call_seconds * server.measure_pace(now)
        failing = (
            server.health.failure_rate - healthy
        ) * candidates.FAILURE_COST_SECONDS
        extra = (
            failing
            + candidates.estimate_remote_cost(server, ask)
            + candidates.estimate_resting_cost(server)
        )
        return call_seconds * (1.0 + use) + extra, server.entry.server

    return candidates.Choice(min(available, key=cost).entry.server, 0.0)
