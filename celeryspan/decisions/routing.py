"""Prefix affinity: matches requests to backend servers by prompt cache and load.

Many prompts share long prefixes (a farm's season history, an airport's stand plan), and
one prefix may be hot enough to fill several servers.

Without affinity each prompt is recomputed wherever a slot is free. With strict affinity
all prompts of a hot prefix wait for the one server that caches it while others idle.
Without a shared tie-break, routers that have just started send everything to the same
server.

A free slot is never left idle to preserve affinity. Among the waiting requests of the
granted account, the one that would lose most on another server is sent; any request is
better than none. A hot prefix thus spreads to as many servers as it fills.

See `docs/design/routing.md` for the measurements behind the constants.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from celeryspan import dispatch, ids
from celeryspan.decisions import ratelimits

MAX_PAIRS = 20_000
"""Maximum number of (block, server) pairs: 8 MB at 409 bytes for a block with one
holder, a quarter of a node's memory budget for control data."""

GAP_CONFIDENCE_FACTOR = 0.7
"""Factor on the confidence after a gap in the events: the missed events concern a small
part of what a server has stored."""

MIN_CONFIDENCE = 0.2
"""Minimum confidence: a prefix that may be cached still ranks above one that is not."""

OBSERVATION_WEIGHT = 0.2
"""Weight of one answer in the confidence: answers report how much was cached, and five
of them outweigh the gaps in between."""

FULL_WINDOW_PENALTY_BLOCKS = 8.0
"""Cached blocks that make a server with a full window equal to an idle one: about the
time until its next slot is released."""


class CacheEvent(msgspec.Struct, frozen=True):
    """Reports that a server has stored or evicted a prompt block."""

    sequence: int
    stored: bool
    block: int


class Candidate(msgspec.Struct, frozen=True):
    """A server considered for a request.

    Attributes
    ----------
    window : int
        Maximum number of concurrent requests.
    in_use : int
        Current number of requests.
    """

    server: ids.ServerId
    window: int
    in_use: int


class CacheMap:
    """Estimates which prompt blocks the servers of this router's services have cached.

    Each block maps to the servers that are assumed to hold it, so that the best other
    server is found without checking all of them. A gap in a server's events lowers the
    confidence in everything it stored before; answers that report cached blocks restore
    it.

    Parameters
    ----------
    max_pairs : int
        Maximum number of (block, server) pairs; the least recently used blocks are
        dropped first.
    """

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self._max_pairs = max_pairs
        self._holders: collections.OrderedDict[int, set[ids.ServerId]] = (
            collections.OrderedDict()
        )
        self._pair_count = 0
        self._last_sequences: dict[ids.ServerId, int] = {}
        self._confidence: dict[ids.ServerId, float] = {}

    def apply_events(
        self,
        server: ids.ServerId,
        events: Iterable[CacheEvent],
        last: int,
        now: float,
    ) -> None:
        """Apply cache events of one server; ``last`` is its newest sequence number.

        A missing sequence number is a gap. A ``last`` lower than before means that the
        server has restarted with an empty cache.
        """
        del now
        known = self._last_sequences.get(server, 0)
        if last < known:
            self.forget(server)
            known = 0
        missed = False
        for event in events:
            if event.sequence <= known:
                continue
            missed = missed or event.sequence > known + 1
            known = event.sequence
            if event.stored:
                self._add(server, event.block)
            else:
                self._discard(server, event.block)
        if missed or known < last:
            self._lower_confidence(server)
        self._last_sequences[server] = last

    def last_sequence(self, server: ids.ServerId) -> int:
        """Return the sequence number after which to request events from a server."""
        return self._last_sequences.get(server, 0)

    def record_sent(
        self, server: ids.ServerId, prefix: Sequence[int], now: float
    ) -> int:
        """Assume that a server caches the blocks of a prompt sent to it.

        The server's own event arrives seconds later. Until then, further prompts with
        the same prefix would be spread over all servers.

        Returns
        -------
        int
            Number of leading blocks that the server was assumed to hold before, for
            :meth:`record_cached`.
        """
        del now
        expected = self._count_blocks(server, prefix)
        for block in prefix:
            self._add(server, block)
        return expected

    def record_cached(self, server: ids.ServerId, expected: int, cached: int) -> None:
        """Update the confidence from the cached blocks that an answer reports.

        The report is compared with the estimate from before the prompt was sent. The
        estimate after sending includes every block, so each new prompt would count as a
        cache miss.

        Parameters
        ----------
        expected : int
            Return value of :meth:`record_sent`.
        """
        if not expected:
            return
        hit_share = min(1.0, cached / expected)
        confidence = self._confidence.get(server, 1.0)
        confidence += (hit_share - confidence) * OBSERVATION_WEIGHT
        self._confidence[server] = max(MIN_CONFIDENCE, confidence)

    def forget(self, server: ids.ServerId) -> None:
        """Drop the state of a server that is gone or has restarted."""
        for block in [one for one, held in self._holders.items() if server in held]:
            self._discard(server, block)
        self._last_sequences.pop(server, None)
        self._confidence.pop(server, None)

    def expected_blocks(self, server: ids.ServerId, prefix: Sequence[int]) -> float:
        """Return the expected number of a prompt's blocks that a server has cached."""
        return self._count_blocks(server, prefix) * self._confidence.get(server, 1.0)

    def max_expected_elsewhere(
        self, server: ids.ServerId, prefix: Sequence[int]
    ) -> float:
        """Return the greatest expected number of blocks at any other server."""

        def is_held(index: int) -> bool:
            holders = self._holders.get(prefix[index], ())
            return len(holders) > 1 or (bool(holders) and server not in holders)

        depth = _count_leading(len(prefix), is_held)
        if not depth:
            return 0.0
        others = (one for one in self._holders[prefix[depth - 1]] if one != server)
        return depth * max(self._confidence.get(one, 1.0) for one in others)

    def count_pairs(self) -> int:
        """Return the number of stored (block, server) pairs."""
        return self._pair_count

    def _count_blocks(self, server: ids.ServerId, prefix: Sequence[int]) -> int:
        return _count_leading(
            len(prefix), lambda index: server in self._holders.get(prefix[index], ())
        )

    def _add(self, server: ids.ServerId, block: int) -> None:
        holders = self._holders.setdefault(block, set())
        self._pair_count += server not in holders
        holders.add(server)
        self._holders.move_to_end(block)
        while self._pair_count > self._max_pairs:
            _, dropped = self._holders.popitem(last=False)
            self._pair_count -= len(dropped)

    def _discard(self, server: ids.ServerId, block: int) -> None:
        holders = self._holders.get(block)
        if not holders or server not in holders:
            return
        holders.discard(server)
        self._pair_count -= 1
        if not holders:
            del self._holders[block]

    def _lower_confidence(self, server: ids.ServerId) -> None:
        confidence = self._confidence.get(server, 1.0) * GAP_CONFIDENCE_FACTOR
        self._confidence[server] = max(MIN_CONFIDENCE, confidence)


def _count_leading(length: int, is_held: Callable[[int], bool]) -> int:
    """Return the number of leading blocks that are held, by bisection.

    A block is stored after its predecessors and evicted before them, so the held blocks
    form a prefix. If a gap has hidden an eviction the count is only an estimate, as is
    everything else known about that server.
    """
    low, high = 0, length
    while low < high:
        middle = (low + high) // 2
        if is_held(middle):
            low = middle + 1
        else:
            high = middle
    return low


class AffinityRouting:
    """Chooses requests for servers, and servers for requests, by prefix affinity."""

    def __init__(self, cache: CacheMap) -> None:
        self._cache = cache
        self._limiter = ratelimits.RateLimiter(ratelimits.FeedbackLoop.AFFINITY.value)

    def affinity(self, server: ids.ServerId, work: dispatch.Work) -> float:
        """Return the cached blocks lost if a request does not run on the given server.

        Counting only the blocks on this server would prefer prompts that another server
        has cached as well.
        """
        if not work.prefix:
            return 0.0
        here = self._cache.expected_blocks(server, work.prefix)
        return here - self._cache.max_expected_elsewhere(server, work.prefix)

    def choose_server(
        self,
        work: dispatch.Work,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> ids.ServerId | None:
        """Choose among the servers with free slots; None if there are none.

        Used to ask the home of the best server first, and where no home grants slots.
        Cached blocks are weighed against load. Without cache data the choice is a
        rendezvous hash of the prefix, so that routers that have just started agree and
        different prefixes spread over the servers.
        """
        free = [
            item
            for item in candidates
            if item.in_use < item.window and item.server not in work.excluded
        ]
        if not free:
            return None
        best = max(free, key=lambda item: self._score(item, work, rng))
        if self._cache.expected_blocks(best.server, work.prefix):
            return best.server
        if work.prefix and not self._limiter.allow(work.prefix[0], now):
            held = [
                one
                for one in free
                if self._cache.expected_blocks(one.server, work.prefix)
            ]
            best = max(held or [best], key=lambda item: self._score(item, work, rng))
        return best.server

    def _score(
        self, item: Candidate, work: dispatch.Work, rng: random.Random
    ) -> tuple[float, float]:
        load = FULL_WINDOW_PENALTY_BLOCKS * item.in_use / item.window
        saved = self._cache.expected_blocks(item.server, work.prefix)
        if not work.prefix:
            return -load, rng.random()
        return saved - load, rendezvous_weight(item.server, work.prefix[0])


def rendezvous_weight(server: ids.ServerId, block: int) -> float:
    """Return the rendezvous hash of a server for a prefix block, from 0 to 1.

    All routers compute the same weight and prefer the server with the highest one.
    Adding or removing a server moves only the prefixes that it gains or held.
    """
    return xxhash.xxh64_intdigest(f"{server}/{block}".encode()) / 2.0**64
