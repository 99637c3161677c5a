"""Placement policies that trials compare, with the interface of a pool's ledger."""

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

SHARES_INTERVAL_SECONDS = 0.25
"""Interval at which shards exchange their shares, as in the routers."""

HASH_CANDIDATES = 3
"""Number of engines among which the hash policy chooses."""


class Policy(Protocol):
    """The interface of a pool's home that a trial uses."""

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Set the servers of the pool."""

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Queue a request and place what can be placed."""

    def begin(self, request: ids.RequestId, server: ids.ServerId, now: float) -> None:
        """Record the first event of a run."""

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Record the end of a run."""

    def tick(self, now: float) -> list[pools.Answer]:
        """Place waiting requests; called at regular intervals."""


REGISTRY: dict[str, Callable[[random.Random], Policy]] = {}


def register(name: str) -> Callable[[Callable], Callable]:
    """Register the factory of a policy under a name."""

    def decorate(make: Callable[[random.Random], Policy]) -> Callable:
        REGISTRY[name] = make
        return make

    return decorate


@register("ledger")
def make_ledger(generator: random.Random) -> Policy:
    """Return the ledger that the routers use for a pool of one shard."""
    return pools.Pool(ids.PoolId("engines#1#0"), generator)


@register("any")
class AnyServer:
    """Sends each request to a random server with a free slot, in order of arrival."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._queue: collections.deque[messages.SlotRequest] = collections.deque()
        self._free: dict[ids.ServerId, int] = {}

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Mark all slots of these servers as free."""
        self._free = {entry.server: entry.slots for entry in entries}

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Queue a request and place what can be placed."""
        self._queue.append(ask)
        return self._place_queued(router)

    def begin(self, request: ids.RequestId, server: ids.ServerId, now: float) -> None:
        """Ignore the event: this policy does not track progress."""

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Free the slot of the run."""
        self._free[server] += 1

    def tick(self, now: float) -> list[pools.Answer]:
        """Place waiting requests."""
        return self._place_queued(ids.RouterId("router"))

    def choose(self, ask: messages.SlotRequest) -> ids.ServerId | None:
        """Return a server with a free slot, or None."""
        free = [server for server, count in self._free.items() if count]
        return self._generator.choice(free) if free else None

    def _place_queued(self, router: ids.RouterId) -> list[pools.Answer]:
        answers = []
        while self._queue:
            ask = self._queue[0]
            server = self.choose(ask)
            if server is None:
                break
            self._queue.popleft()
            self._free[server] -= 1
            offer = messages.SlotOffer(ask.request, ask.pool, server, 0.0, "")
            answers.append(pools.Answer(router, ask, offer, 0.0))
        return answers


@register("by hash")
class ByHash(AnyServer):
    """Chooses among a few servers by rendezvous hashing of the last shared part."""

    def choose(self, ask: messages.SlotRequest) -> ids.ServerId | None:
        """Return the candidate with the most free slots, or else any server."""
        part = ask.parts[-2].part
        ranked = sorted(
            self._free,
            key=lambda server: xxhash.xxh3_64_intdigest(f"{server}/{part}".encode()),
        )
        best = max(ranked[:HASH_CANDIDATES], key=lambda server: self._free[server])
        return best if self._free[best] else super().choose(ask)


@register("shards")
class Sharded:
    """The policy that the routers use for large pools: one ledger per shard."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._pressures = shards.Pressures()
        self._pools: list[pools.Pool] = []
        self._pool_by_request: dict[ids.RequestId, pools.Pool] = {}
        self._shares_sent_at = 0.0

    def set_servers(
        self, entries: list[catalog.ServerEntry], engine: catalog.Engine
    ) -> None:
        """Divide the servers into shards."""
        division = shards.divide([entry.server for entry in entries])
        for shard in range(division.count):
            name = shards.name_pool(SERVICE, division.count, shard)
            pool = pools.Pool(name, self._generator)
            members = [
                each for each in entries if division.shards[each.server] == shard
            ]
            pool.set_servers(members, engine)
            self._pools.append(pool)

    def ask(
        self, router: ids.RouterId, ask: messages.SlotRequest, now: float
    ) -> list[pools.Answer]:
        """Queue a request at the shard chosen by prompt affinity and pressure."""
        key, penalty = shards.find_affinity(ask)
        count = len(self._pools)
        shard = self._pressures.choose(SERVICE, count, key, penalty, now)
        pool = self._pool_by_request[ask.request] = self._pools[shard]
        return self._record_pressures(pool.ask(router, ask, now), now)

    def begin(
        self, request: ids.RequestId, server: ids.ServerId, now: float
    ) -> ids.ServerId | None:
        """Record the first event of a run; returns the server it should migrate to."""
        return self._pool_by_request[request].begin(request, server, now)

    def settle_migration(self, moved: messages.RunMoved, now: float) -> None:
        """Record whether a migration succeeded."""
        self._pool_by_request[moved.request].settle_migration(moved, now)

    def end(
        self,
        request: ids.RequestId,
        server: ids.ServerId,
        ending: states.RunEnding,
        now: float,
        pause: float = 0.0,
    ) -> None:
        """Record the end of a run at its shard."""
        self._pool_by_request[request].end(request, server, ending, now, pause)

    def tick(self, now: float) -> list[pools.Answer]:
        """Place waiting requests in each shard, and exchange shares when due."""
        if now - self._shares_sent_at >= SHARES_INTERVAL_SECONDS:
            self._shares_sent_at = now
            self._send_shares(now)
        answers: list[pools.Answer] = []
        for pool in self._pools:
            answers += self._record_pressures(pool.tick(now), now)
        return answers

    def _record_pressures(
        self, answers: list[pools.Answer], now: float
    ) -> list[pools.Answer]:
        for answer in answers:
            message = answer.message
            self._pressures.record(message.pool, message.pressure, now)
        return answers

    def _send_shares(self, now: float) -> None:
        for dimension in range(len(self._pools).bit_length() - 1):
            for shard, pool in enumerate(self._pools):
                partner = self._pools[shard ^ (1 << dimension)]
                units = pool.sum_shares(dimension, now)
                shares = messages.PoolShares(partner.name, dimension, units)
                partner.receive_shares(shares, now)
