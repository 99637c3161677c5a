"""Ways of placing that trials compare; each looks like the ledger of a pool."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Protocol

import xxhash

from celeryspan import catalog, ids, states
from celeryspan.decisions import pools, shards
from celeryspan.wire import messages

SERVICE = ids.ServiceId("engines")

SHARES_SECONDS = 0.25
"""As the routers' homes do."""

CHOICES = 3
"""Engines among which the policy by hash chooses."""


class Policy(Protocol):
    """What a trial asks of the home of a pool."""

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Set the servers."""

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Take in a request."""

    def begin(self, request: ids.RequestId, server: ids.ServerId, now: float) -> None:
        """Note a first event."""

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Note an end."""

    def tick(self, now: float) -> list[pools.Answer]:
        """Decide again."""


REGISTRY: dict[str, Callable[[random.Random], Policy]] = {}


def register(name: str) -> Callable[[Callable], Callable]:
    """Put a policy into the registry."""

    def decorate(make: Callable[[random.Random], Policy]) -> Callable:
        REGISTRY[name] = make
        return make

    return decorate


@register("ledger")
def make_ledger(generator: random.Random) -> Policy:
    """Return what the routers run."""
    return pools.Pool(ids.PoolId("engines#1#0"), generator)


@register("any")
class AnyServer:
    """Sends each request at once to any server with a place; others wait in line."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._line: collections.deque[messages.SlotRequest] = collections.deque()
        self._free: dict[ids.ServerId, int] = {}

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Set the servers."""
        self._free = {entry.server: entry.slots for entry in entries}

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Take in a request."""
        self._line.append(ask)
        return self._place(router)

    def begin(self, request: ids.RequestId, server: ids.ServerId, now: float) -> None:
        """Learn nothing."""

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Take the place back."""
        self._free[server] += 1

    def tick(self, now: float) -> list[pools.Answer]:
        """Place who waits."""
        return self._place(ids.RouterId("router"))

    def choose(self, ask: messages.SlotRequest) -> ids.ServerId | None:
        """Return a server for a request, or None."""
        free = [server for server, count in self._free.items() if count]
        return self._generator.choice(free) if free else None

    def _place(self, router: ids.RouterId) -> list[pools.Answer]:
        answers = []
        while self._line:
            ask = self._line[0]
            server = self.choose(ask)
            if server is None:
                break
            self._line.popleft()
            self._free[server] -= 1
            offer = messages.SlotOffer(ask.request, ask.pool, server, 0.0, "")
            answers.append(pools.Answer(router, ask, offer, 0.0))
        return answers


@register("by hash")
class ByHash(AnyServer):
    """Chooses among a few servers by the last shared part of the prompt."""

    def choose(self, ask: messages.SlotRequest) -> ids.ServerId | None:
        """Return the freest of the servers that the part names."""
        part = ask.parts[-2].part
        ranked = sorted(
            self._free,
            key=lambda server: xxhash.xxh3_64_intdigest(f"{server}/{part}".encode()),
        )
        best = max(ranked[:CHOICES], key=lambda server: self._free[server])
        return best if self._free[best] else super().choose(ask)


@register("shards")
class Sharded:
    """What the routers run before many engines: a home for each shard of the pool."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._pressures = shards.Pressures()
        self._pools: list[pools.Pool] = []
        self._places: dict[ids.RequestId, pools.Pool] = {}
        self._told_at = 0.0

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Divide the servers."""
        division = shards.divide([entry.server for entry in entries])
        for shard in range(division.count):
            name = shards.name_pool(SERVICE, division.count, shard)
            pool = pools.Pool(name, self._generator)
            mine = [each for each in entries if division.shards[each.server] == shard]
            pool.set_servers(mine, engine)
            self._pools.append(pool)

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Take in a request."""
        key, penalty = shards.find_affinity(ask)
        count = len(self._pools)
        shard = self._pressures.choose(SERVICE, count, key, penalty, now)
        pool = self._places[ask.request] = self._pools[shard]
        return self._note(pool.ask(router, ask, now), now)

    def begin(
        self, request: ids.RequestId, server: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Note a first event."""
        return self._places[request].begin(request, server, now)

    def settle_migration(self, moved: messages.RunMoved, now: float) -> None:
        """Note where a run that was to move is."""
        self._places[moved.request].settle_migration(moved, now)

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Take the place back."""
        self._places[request].end(request, server, ending, now, pause)

    def tick(self, now: float) -> list[pools.Answer]:
        """Decide again in each shard, and let them tell each other their shares."""
        if now - self._told_at >= SHARES_SECONDS:
            self._told_at = now
            self._send_shares(now)
        found: list[pools.Answer] = []
        for pool in self._pools:
            found += self._note(pool.tick(now), now)
        return found

    def _note(self, answers: list[pools.Answer], now: float) -> list[pools.Answer]:
        for answer in answers:
            message = answer.message
            self._pressures.record(message.pool, message.pressure, now)
        return answers

    def _send_shares(self, now: float) -> None:
        for dimension in range(len(self._pools).bit_length() - 1):
            for shard, pool in enumerate(self._pools):
                partner = self._pools[shard ^ (1 << dimension)]
                units = pool.sum_shares(dimension, now)
                told = messages.PoolShares(partner.name, dimension, units)
                partner.receive_shares(told, now)
