"""Decides whether a run moves to another engine after prefill, and to which one.

An engine dedicated to long prompts prefills them one after another, and the streams of
prompts that it has already prefilled emit no event during the next prefill. This made
three in four prompts of over 20,000 tokens exceed their gap limit. Copying a prompt of
30,000 tokens to an engine without long prompts takes 25 ms, a tenth of the gap that its
caller allows.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import catalog
from celeryspan.decisions import poolservers, serverpaces

MIN_EVENTS = 3
"""Expected events below which a run ends before a copy would pay off."""

PENDING_SECOND_COST = 1.0
RUN_COST_SECONDS = 0.004
"""Cost of a second of pending prefill and of a run in progress at a target, in seconds.
One more run adds 0.08 ms to each step of all other runs, over about 50 steps."""

OTHER_DATA_CENTRE_COST_SECONDS = 0.02
"""Cost of a target in another data centre: a copy there takes twice as long."""


def is_worth_moving(engine: catalog.Engine, output_tokens: int) -> bool:
    """Whether a run with this expected output length is worth copying."""
    return engine.moves and output_tokens >= MIN_EVENTS * engine.stride


def choose_target(
    source: poolservers.PoolServer,
    servers: Iterable[poolservers.PoolServer],
    now: float,
) -> poolservers.PoolServer | None:
    """Return the server that takes over a run, or None if none can accept it."""
    candidates = [
        server
        for server in servers
        if server is not source
        and server.is_available(now)
        and not server.is_prefilling_long()
    ]

    def cost(server: poolservers.PoolServer) -> float:
        is_near = server.entry.data_centre == source.entry.data_centre
        return (
            PENDING_SECOND_COST * server.pending_seconds(now)
            + RUN_COST_SECONDS
            * len(server.runs)
            * server.slowdown
            * server.measure_pace(now)
            + serverpaces.estimate_slow_cost(server.measure_pace(now))
            + (0.0 if is_near else OTHER_DATA_CENTRE_COST_SECONDS)
        )

    return min(candidates, key=cost, default=None)
