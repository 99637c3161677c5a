"""Tracks which backend servers are leaving.

Sources are the servers themselves, facts from peer routers and the platform's VM list.

A server that is about to stop would otherwise get requests until it is gone, and these
requests would fail or be cut off. The VM list lags by seconds or minutes, so it may
report a departure but must not revoke one that the server has announced itself.

Facts are ordered by version: a timestamp in microseconds that each new fact raises
above its predecessor's. The highest version wins, so late and duplicate facts have no
effect.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.wire import messages

VM_LIST_LAG_SECONDS = 60.0
"""Time after a departure during which a VM list that reports the server as live is
ignored. It is longer than the observed lag of the list; a server that has come back
waits no longer than a restart takes."""


class Departures:
    """Facts that this router holds about servers that are leaving or have returned."""

    def __init__(self) -> None:
        self._facts: dict[ids.ServerId, messages.ServerFact] = {}

    def leaving(self) -> frozenset[ids.ServerId]:
        """Return the servers that get no new requests."""
        return frozenset(
            server
            for server, fact in self._facts.items()
            if fact.state is states.ServerState.LEAVING
        )

    def facts(self) -> list[messages.ServerFact]:
        """Return all facts, to send to a router that has joined."""
        return list(self._facts.values())

    def merge(self, fact: messages.ServerFact) -> bool:
        """Store a peer's fact if it is newer; return whether it was."""
        if fact.state is states.ServerState.EJECTED:
            return False
        known = self._facts.get(fact.server)
        if known is not None and known.version >= fact.version:
            return False
        self._facts[fact.server] = fact
        return True

    def record_state(
        self, server: ids.ServerId, state: states.ServerState, clock: int
    ) -> messages.ServerFact | None:
        """Record the state of a server; return the fact to spread, if it is new.

        Parameters
        ----------
        clock : int
            Wall clock in microseconds.
        """
        known = self._facts.get(server)
        current = known.state if known is not None else states.ServerState.LIVE
        if current is state:
            return None
        version = max(clock, known.version + 1 if known is not None else 0)
        fact = messages.ServerFact(server, state, version)
        self._facts[server] = fact
        return fact

    def apply_vm_list(
        self, listed: Iterable[tuple[ids.ServerId, states.ServerState]], clock: int
    ) -> list[messages.ServerFact]:
        """Apply the VM list; return the facts to spread."""
        facts = []
        for server, state in listed:
            known = self._facts.get(server)
            if state is states.ServerState.LIVE and known is not None:
                if clock - known.version < VM_LIST_LAG_SECONDS * 1_000_000:
                    continue
            fact = self.record_state(server, state, clock)
            if fact is not None:
                facts.append(fact)
        return facts

    def retain(self, servers: Iterable[ids.ServerId]) -> None:
        """Drop the facts of servers that are no longer in the register."""
        registered = frozenset(servers)
        self._facts = {
            server: fact for server, fact in self._facts.items() if server in registered
        }
