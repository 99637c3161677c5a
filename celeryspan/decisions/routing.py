"""Which request suits which backend server, by cached prompt prefix and load.

Load pattern: many prompts share long prefixes (a farm's season history, an airport's
stand plan), and one prefix may be hot enough to fill several servers.

Without it: each prompt is computed anew wherever a slot is free; or all prompts of a
hot prefix wait for the one server that has it while others idle; or routers that have
just started send everything to the same server.

A slot that falls free is never left idle for the sake of a prefix: among the waiting
requests of the granted account the one goes that loses most if it runs elsewhere, and
any request goes before none. So a hot prefix spreads to as many servers as it fills.

Grounds of the figures: stated beside each constant; `docs/design/routing.md` has the
measurements.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from celeryspan import dispatch, ids
from celeryspan.decisions import pacing

MAX_PAIRS = 20_000
"""Pairs of block and server that are remembered: 8 MB at the 409 bytes of a block with
one holder, a quarter of a node's memory for control."""

GAP_CONFIDENCE_FACTOR = 0.7
"""Trust kept after a gap: what it hid is a small part of what a server has stored."""

MIN_CONFIDENCE = 0.2
"""Least trust: a prefix that may be cached still goes before one that is not."""

OBSERVATION_WEIGHT = 0.2
"""Weight of one answer in the trust: answers show what was cached, and five of them
outweigh the gaps between."""

FULL_WINDOW_PENALTY_BLOCKS = 8.0
"""Blocks that a server must save to be preferred over one that is idle, when its own
window is full: about the time in which the next slot falls free."""


class CacheEvent(msgspec.Struct, frozen=True):
    """A block of a prompt that a server has stored or evicted."""

    sequence: int
    stored: bool
    block: int


class Candidate(msgspec.Struct, frozen=True):
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
    """What the servers of this router's services have cached, as far as is known.

    Each block maps to the servers that are believed to have it, so that the best one
    elsewhere is found without asking all. A gap in a server's events lowers the trust
    in all that it stored before; an answer that shows a block cached restores it.

    Parameters
    ----------
    max_blocks : int
        Pairs of block and server that are remembered; the oldest go first.
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
        """Take in cache events of one server; ``last`` is the newest it has.

        A number that is missed, or one lower than the last (the server has started
        again), is a gap.
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
        """Return the number after which to ask the server for events."""
        return self._last_sequences.get(server, 0)

    def record_sent(
        self, server: ids.ServerId, prefix: Sequence[int], now: float
    ) -> int:
        """Expect a prompt's blocks at the server that it was sent to.

        Its own event comes seconds later; until then further prompts of the same prefix
        would be spread over all servers.

        Returns
        -------
        int
            Blocks that the server was believed to have before, for :meth:`observe`.
        """
        del now
        expected = self._count_blocks(server, prefix)
        for block in prefix:
            self._add(server, block)
        return expected

    def record_cached(self, server: ids.ServerId, expected: int, cached: int) -> None:
        """Learn from an answer how many blocks of a prompt were cached.

        What was believed when the prompt was sent counts: afterwards the server has
        all of it, and each first prompt would look like a broken promise.

        Parameters
        ----------
        expected : int
            What :meth:`sent` returned.
        """
        if not expected:
            return
        shown = min(1.0, cached / expected)
        trust = self._confidence.get(server, 1.0)
        trust += (shown - trust) * OBSERVATION_WEIGHT
        self._confidence[server] = max(MIN_CONFIDENCE, trust)

    def forget(self, server: ids.ServerId) -> None:
        """Drop what is known of a server that is gone or has restarted."""
        for block in [one for one, held in self._holders.items() if server in held]:
            self._discard(server, block)
        self._last_sequences.pop(server, None)
        self._confidence.pop(server, None)

    def expected_blocks(self, server: ids.ServerId, prefix: Sequence[int]) -> float:
        """Return the expected number of a prompt's blocks that a server has."""
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
        """Return how many pairs of block and server are remembered."""
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
        trust = self._confidence.get(server, 1.0) * GAP_CONFIDENCE_FACTOR
        self._confidence[server] = max(MIN_CONFIDENCE, trust)


def _count_leading(length: int, is_held: Callable[[int], bool]) -> int:
    """Return how many leading blocks are held, by bisection.

    A block is stored after the blocks before it and evicted before them, so that the
    held ones are a prefix; where a gap has hidden an eviction, the count is a guess, as
    is all that is known of that server.
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
    """Chooses requests for servers and servers for requests."""

    def __init__(self, cache: CacheMap) -> None:
        self._cache = cache
        self._limiter = pacing.RateLimiter(pacing.FeedbackLoop.AFFINITY.value)

    def affinity(self, server: ids.ServerId, work: dispatch.Work) -> float:
        """Return the blocks lost if a request ran elsewhere than on a granted server.

        Counting only what this server has would let it take prompts that another has
        cached as well, and leave it those that nobody has.
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
        """Choose one of several servers with room; None if there is none.

        Used where several servers have room: to ask the home of the best one first, and
        where no home grants slots. Saved blocks count against the load; without
        any knowledge the choice follows the prefix over the servers, so that routers
        that have just started agree, and different prefixes spread.
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
    """Return a number from 0 to 1 that orders servers for a prefix, alike everywhere.

    The server of the highest number is the rendezvous of the prefix: one server more or
    less moves only the prefixes that it gains or held.
    """
    return xxhash.xxh64_intdigest(f"{server}/{block}".encode()) / 2.0**64
