"""Whether a run goes to another engine once its prompt is read, and to which one.

Load answered: long prompts among streams that must not pause. An engine that is set
apart reads one long prompt after the other; the streams of those that it has read make
no event while it reads the next one. Of the prompts of over 20,000 tokens three in four
were late for that. Copying a prompt of 30,000 tokens to an engine that reads no long
ones takes 25 ms, a tenth of the pause that its caller allows.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import catalog
from celeryspan.decisions import poolservers

EVENTS_MIN = 3
"""A run of which fewer events are expected ends before it is worth a copy."""

PENDING_WEIGHT = 1.0
RUN_WEIGHT = 0.004
"""What a second of pending reading and a run in progress count for at a target: one run
more makes each step of all the others 0.08 ms longer, some 50 steps in all."""

OTHER_PLACE_SECONDS = 0.02
"""What another data centre counts for: a copy takes twice as long there."""


def pays(engine: catalog.Engine, output_tokens: int) -> bool:
    """Whether a run that is expected to make so many tokens is worth a copy."""
    return engine.moves and output_tokens >= EVENTS_MIN * engine.stride


def choose_target(
    source: poolservers.PoolServer,
    servers: Iterable[poolservers.PoolServer],
    now: float,
) -> poolservers.PoolServer | None:
    """Return the server that takes a run over, or None if none has a place."""
    fit = [
        server
        for server in servers
        if server is not source
        and server.is_available(now)
        and not server.is_prefilling_long()
    ]

    def cost(server: poolservers.PoolServer) -> float:
        is_near = server.entry.data_centre == source.entry.data_centre
        return (
            PENDING_WEIGHT * server.pending_seconds(now)
            + RUN_WEIGHT * len(server.runs) * server.slowdown
            + (0.0 if is_near else OTHER_PLACE_SECONDS)
        )

    return min(fit, key=cost, default=None)
