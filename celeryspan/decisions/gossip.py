"""Which facts ride on the next datagram.

Pattern answered: a fact (a router is suspected, a backend server is leaving) must
reach all routers within seconds while each router's cost stays the same whatever
their number. Telling everyone directly costs 1,300 messages a fact at one router;
telling it again and again costs bytes for ever. Here each router passes a fact on a
few times on datagrams that it sends anyway.

Grounds of the figures: if each of n routers passes a fact on ``c * log2(n)`` times to
random others, the part that never hears it is below ``exp(-c * log2(n))``; with c =
1.5 and n = 1,300 that is one in five million, so that a loss of 1% leaves much room.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

from celeryspan.wire import messages

REPEATS_FACTOR = 1.5

FACTS_MAX = 12
"""Facts on one datagram: 12 of about 70 bytes fit beside the rest into 1,200 bytes,
which no network of the fleet cuts into pieces."""

BACKLOG_MAX = 200
"""Facts passed on at a time. A healed cut gives birth to thousands; those above this
number travel by exchanges, which the digests on the probes bring about."""


class Gossip:
    """Facts that this router still passes on, the least told first."""

    def __init__(self) -> None:
        self._facts: dict[Hashable, messages.Message] = {}
        self._told: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._facts)

    def put(self, key: Hashable, fact: messages.Message) -> None:
        """Begin to pass on a fact; it takes the place of the older one of its key."""
        self._facts[key] = fact
        self._told[key] = 0
        if len(self._facts) > BACKLOG_MAX:
            self.drop(max(self._told, key=self._told.__getitem__))

    def drop(self, key: Hashable) -> None:
        """Stop to pass on a fact."""
        self._facts.pop(key, None)
        self._told.pop(key, None)

    def take(self, members: int) -> list[messages.Message]:
        """Return the facts for one datagram in a fleet of so many members."""
        if not self._facts:
            return []
        keys = sorted(self._told, key=self._told.__getitem__)[:FACTS_MAX]
        facts = [self._facts[key] for key in keys]
        limit = count_repeats(members)
        for key in keys:
            self._told[key] += 1
            if self._told[key] >= limit:
                self.drop(key)
        return facts


def count_repeats(members: int) -> int:
    """Return how often each router passes a fact on."""
    return max(3, math.ceil(REPEATS_FACTOR * math.log2(members + 1)))
