"""Gossip: facts piggybacked on datagrams that are sent anyway.

A fact (a router is suspected, a backend server is leaving) must reach all routers
within seconds at a cost per router that does not depend on the size of the fleet.
Sending it to everyone directly costs one router 1,300 messages; repeating it without
limit costs bandwidth for ever. Here each router forwards a fact a limited number of
times.

If each of n routers forwards a fact ``c * log2(n)`` times to random others, the
fraction that never receives it is below ``exp(-c * log2(n))``. For c = 1.5 and
n = 1,300 that is one in five million, which leaves ample margin for 1% datagram loss.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

from celeryspan.wire import messages

RETRANSMIT_FACTOR = 1.5

FACTS_PER_DATAGRAM_MAX = 12
"""Facts per datagram: 12 of about 70 bytes fit into 1,200 bytes with the rest, which no
network of the fleet fragments."""

BACKLOG_MAX = 200
"""Facts queued at a time. A healed partition produces thousands; those beyond the limit
are transferred by exchanges, which the digests on probes trigger."""


class Gossip:
    """Queue of facts to forward, least transmitted first."""

    def __init__(self) -> None:
        self._facts: dict[Hashable, messages.Message] = {}
        self._transmissions: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._facts)

    def put(self, key: Hashable, fact: messages.Message) -> None:
        """Queue a fact, replacing an older one of the same key."""
        self._facts[key] = fact
        self._transmissions[key] = 0
        if len(self._facts) > BACKLOG_MAX:
            self.drop(max(self._transmissions, key=self._transmissions.__getitem__))

    def drop(self, key: Hashable) -> None:
        """Remove a fact from the queue."""
        self._facts.pop(key, None)
        self._transmissions.pop(key, None)

    def take(self, members: int) -> list[messages.Message]:
        """Return the facts for one datagram in a fleet of the given size."""
        if not self._facts:
            return []
        keys = sorted(self._transmissions, key=self._transmissions.__getitem__)[
            :FACTS_PER_DATAGRAM_MAX
        ]
        facts = [self._facts[key] for key in keys]
        limit = transmit_limit(members)
        for key in keys:
            self._transmissions[key] += 1
            if self._transmissions[key] >= limit:
                self.drop(key)
        return facts


def transmit_limit(members: int) -> int:
    """Return how many times each router sends a fact."""
    return max(3, math.ceil(RETRANSMIT_FACTOR * math.log2(members + 1)))
