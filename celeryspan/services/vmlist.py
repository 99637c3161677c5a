"""The kernel service ``vmlist``: the backend servers that are leaving.

Two routers poll the platform's VM list on behalf of the fleet. Their findings, and the
states that backend servers report themselves, reach every router by gossip within
seconds.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel, states
from celeryspan.adapters import vmlist
from celeryspan.decisions import departures, membertable, watchers
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import (
        configuration,
        datagrams,
        identity,
        links,
        membership,
    )

DUTY = "vmlist"

POLL_SECONDS = 5.0
"""Shorter than the lag of the list itself; two pollers make 0.4 calls a second."""

POLLERS = 2

TICK_SECONDS = 0.5

Handler = Callable[[messages.ServerFact], None]


@kernel.register(
    DUTY, needs=("identity", "datagrams", "links", "membership", "configuration")
)
class VMListService:
    """Holds the departures that this router knows of and gossips new ones."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._datagrams: datagrams.DatagramsService = container.find("datagrams")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._configuration: configuration.ConfigurationService = container.find(
            "configuration"
        )
        self._client = vmlist.VMListClient(container.settings.store_address)
        self._departures = departures.Departures()
        self._leaving: frozenset[ids.ServerId] = frozenset()
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=DUTY, daemon=True)

    def start(self) -> None:
        """Start receiving facts, and polling while this router is a poller."""
        self._datagrams.subscribe(self._handle_frame)
        self._links.subscribe(messages.ServerFact, self._handle_fact)
        self._links.subscribe(messages.MembersRequest, self._answer_request)
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; a poll in progress ends on its own."""
        self._stopped.set()

    def leaving(self) -> frozenset[ids.ServerId]:
        """Return the leaving backend servers, which get no new work."""
        return self._leaving

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each new fact."""
        self._handlers.append(handler)

    def mark_leaving(self, server: ids.ServerId) -> None:
        """Record that a server reports itself as leaving, and spread it at once."""
        self._record_state(server, states.ServerState.LEAVING)

    def mark_live(self, server: ids.ServerId) -> None:
        """Record that a server reports itself as live again, and spread it at once."""
        self._record_state(server, states.ServerState.LIVE)

    def report(self) -> dict[str, object]:
        """Return the leaving servers and whether this router polls, for ``status``."""
        return {"leaving": sorted(self._leaving), "polls": self._is_poller()}

    def _record_state(self, server: ids.ServerId, state: states.ServerState) -> None:
        with self._lock:
            fact = self._departures.record_state(server, state, _read_clock_us())
        if fact is not None:
            self._publish(fact)

    def _handle_frame(self, frame: messages.Frame, _: ids.Address) -> None:
        for message in frame.messages:
            if isinstance(message, messages.ServerFact):
                self._merge(message)

    def _handle_fact(
        self, _: ids.RouterId, __: ids.Incarnation, fact: messages.ServerFact
    ) -> None:
        if fact.version > 0:
            self._merge(fact)

    def _answer_request(
        self, peer: ids.RouterId, _: ids.Incarnation, __: messages.MembersRequest
    ) -> None:
        """Send all facts to a router that has joined or was partitioned."""
        with self._lock:
            facts = self._departures.facts()
        for fact in facts:
            self._links.send(peer, fact)

    def _merge(self, fact: messages.ServerFact) -> None:
        with self._lock:
            is_new = self._departures.merge(fact)
        if is_new:
            self._publish(fact)

    def _publish(self, fact: messages.ServerFact) -> None:
        """Apply a new fact, gossip it and call the handlers."""
        with self._lock:
            self._leaving = self._departures.leaving()
        if fact.state is states.ServerState.LEAVING:
            events.log(events.Event.SERVER_LEAVING, server=fact.server)
        else:
            events.log(events.Event.SERVER_RETURNED, server=fact.server)
        self._membership.spread(("server", fact.server), fact)
        for handler in self._handlers:
            handler(fact)

    def _run(self) -> None:
        poll_at = 0.0
        while not self._stopped.wait(TICK_SECONDS):
            current = self._configuration.current()
            if current is None or time.monotonic() < poll_at or not self._is_poller():
                continue
            poll_at = time.monotonic() + POLL_SECONDS
            try:
                self._poll(current.servers)
            except errors.StoreUnavailable:
                continue  # The list is only a hint; servers also report themselves.

    def _is_poller(self) -> bool:
        present = [
            member.router
            for member in self._membership.alive()
            if member.state in membertable.PRESENT
        ]
        return self._identity.router in watchers.choose(DUTY, present, POLLERS)

    def _poll(self, servers: Collection[ids.ServerId]) -> None:
        listed = [
            (ids.ServerId(vm.name), vm.state)
            for vm in self._client.read()
            if vm.name in servers
        ]
        with self._lock:
            self._departures.retain(servers)
            facts = self._departures.apply_vm_list(listed, _read_clock_us())
            self._leaving = self._departures.leaving()
        for fact in facts:
            self._publish(fact)


def _read_clock_us() -> int:
    return time.time_ns() // 1000
