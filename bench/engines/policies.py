"""Ways of placing that trials compare; each looks like the ledger of a pool."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
from typing import Protocol

import xxhash

from celeryspan import catalog, ids, states
from celeryspan.decisions import pools
from celeryspan.wire import messages

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
    return pools.Pool(ids.ServiceId("engines"), generator)


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
            offer = messages.SlotOffer(ask.request, ask.service, server)
            answers.append(pools.Answer(router, offer, 0.0))
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
