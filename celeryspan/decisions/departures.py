"""Which backend servers are leaving: own words, facts of peers, the lagging VM list.

Failure answered: a backend server is about to stop. Without this module it gets work
until it is gone, and that work fails or is cut. The platform's list of VMs lags behind
reality by seconds or minutes, so that it may propose a departure but can't take back
one that the server has announced itself.

Facts are ordered by version, a clock in microseconds that each new fact raises above
the one before; the highest wins, so that late and doubled ones do no harm.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.wire import messages

VM_LIST_LAG_SECONDS = 60.0
"""A list that calls a server live is believed only this long after the server was
said to leave: longer than the list has been seen to lag, and a server that has come
back waits no longer than a restart takes."""


class Departures:
    """What this router holds about servers that leave or came back."""

    def __init__(self) -> None:
        self._facts: dict[ids.ServerId, messages.ServerFact] = {}

    def leaving(self) -> frozenset[ids.ServerId]:
        """Return the servers that get no new work."""
        return frozenset(
            server
            for server, fact in self._facts.items()
            if fact.state is states.ServerState.LEAVING
        )

    def facts(self) -> list[messages.ServerFact]:
        """Return all facts, for a router that has joined."""
        return list(self._facts.values())

    def merge(self, fact: messages.ServerFact) -> bool:
        """Take a peer's fact if it is newer; returns whether it was."""
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
        """Take the word of a server itself; returns the fact to spread, if it is new.

        Parameters
        ----------
        clock : int
            Wall clock in microseconds.
        """
        known = self._facts.get(server)
        standing = known.state if known is not None else states.ServerState.LIVE
        if standing is state:
            return None
        version = max(clock, known.version + 1 if known is not None else 0)
        fact = messages.ServerFact(server, state, version)
        self._facts[server] = fact
        return fact

    def apply_vm_list(
        self, listed: Iterable[tuple[ids.ServerId, states.ServerState]], clock: int
    ) -> list[messages.ServerFact]:
        """Take the VM list; returns the facts to spread."""
        found = []
        for server, state in listed:
            known = self._facts.get(server)
            if state is states.ServerState.LIVE and known is not None:
                if clock - known.version < VM_LIST_LAG_SECONDS * 1_000_000:
                    continue
            fact = self.record_state(server, state, clock)
            if fact is not None:
                found.append(fact)
        return found

    def retain(self, servers: Iterable[ids.ServerId]) -> None:
        """Forget servers that the register does not name any more."""
        kept = frozenset(servers)
        self._facts = {
            server: fact for server, fact in self._facts.items() if server in kept
        }
