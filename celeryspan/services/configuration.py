"""The kernel service ``configuration``: the configuration that this router applies.

Only a few routers watch the store. Every membership datagram carries the generation of
its sender. A router that sees a higher one requests it from that peer over a link,
applies it and announces it to a few other routers at once.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import configuration, documents, errors, events, ids, kernel
from celeryspan.decisions import generations, membertable, watchers
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.services import identity, links, membership, store

Handler = Callable[[configuration.Configuration], None]

DUTY = "configuration"

WATCH_TIMEOUT_SECONDS = 30.0
"""Maximum wait of one long-poll watch of the store."""

TICK_SECONDS = 0.5
"""Time between two checks whether this router should call the store."""

FIRST_READ_DELAY_MAX_SECONDS = 2.0
"""Maximum of the random delay before a router without a configuration reads the store:
if a whole fleet restarts, most routers get the configuration from a peer first."""

REQUEST_TIMEOUT_SECONDS = 1.0
"""Time without an answer after which another peer may be asked."""


@kernel.register(DUTY, needs=("identity", "store", "links", "membership"))
class ConfigurationService:
    """Holds the applied configuration; takes newer ones from the store and peers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._store: store.StoreService = container.find("store")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._random = random.Random(self._identity.incarnation)
        self._generations = generations.Generations()
        self._current: configuration.Configuration | None = None
        self._body = b""
        self._handlers: list[Handler] = []
        self._requested_until = 0.0
        self._version = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=DUTY, daemon=True)

    def start(self) -> None:
        """Start the background thread; does not wait for a first generation."""
        self._links.subscribe(messages.ConfigurationRequest, self._answer_request)
        self._links.subscribe(messages.ConfigurationValue, self._handle_value)
        self._membership.on_other_generation(self._request_from_peer)
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread; a waiting watch ends on its own."""
        self._stopped.set()

    def current(self) -> configuration.Configuration | None:
        """Return the applied configuration, or None: then the router serves nothing."""
        return self._current

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with the current configuration and each one applied later."""
        with self._lock:
            self._handlers.append(handler)
            current = self._current
        if current is not None:
            handler(current)

    def report(self) -> dict[str, object]:
        """Return the generation, its author and whether this router is a watcher."""
        current = self._current
        return {
            "generation": self._generations.current,
            "author": current.author if current is not None else "",
            "watches": self._is_watcher(),
        }

    def offer(self, value: configuration.Configuration, body: bytes) -> bool:
        """Apply a configuration if its generation is higher; return whether it was.

        Parameters
        ----------
        body : bytes
            The same configuration, serialized by :func:`documents.pack`, for peers.
        """
        generation = ids.Generation(value.generation)
        with self._lock:
            result = self._generations.evaluate(generation)
            if self._generations.apply(generation):
                self._current, self._body = value, body
            handlers = list(self._handlers)
        if result is generations.OfferResult.OLD:
            events.log(events.Event.CONFIGURATION_OLD_IGNORED, generation=generation)
        if result is not generations.OfferResult.APPLY:
            return False
        self._apply(value, handlers)
        return True

    def _apply(
        self, value: configuration.Configuration, handlers: list[Handler]
    ) -> None:
        generation = ids.Generation(value.generation)
        events.log(events.Event.CONFIGURATION_IN_FORCE, generation=generation)
        self._membership.set_seeds(
            ids.Address.parse(vm.peer_address) for vm in value.register.vms
        )
        self._membership.set_generation(generation)
        self._membership.announce()
        for handler in handlers:
            handler(value)

    def _request_from_peer(self, member: messages.Member) -> None:
        """Request a higher generation from the peer that has it, one peer at a time."""
        now = time.monotonic()
        with self._lock:
            if member.generation <= self._generations.current:
                return
            if now < self._requested_until:
                return
            self._requested_until = now + REQUEST_TIMEOUT_SECONDS
            above = self._generations.current
        self._links.set_address(member.router, member.peer_address)
        self._links.send(member.router, messages.ConfigurationRequest(above))

    def _answer_request(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        request: messages.ConfigurationRequest,
    ) -> None:
        with self._lock:
            generation, body = self._generations.current, self._body
        if generation > request.above:
            self._links.send(peer, messages.ConfigurationValue(generation, body))

    def _handle_value(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        message: messages.ConfigurationValue,
    ) -> None:
        if message.generation <= self._generations.current:
            return
        try:
            self.offer(documents.unpack(message.body), message.body)
        except errors.InputError as error:
            events.log(events.Event.CONFIGURATION_REFUSED, peer=peer, error=str(error))
        with self._lock:
            self._requested_until = 0.0

    def _run(self) -> None:
        """Watch the store if this router is a watcher; otherwise read it rarely."""
        read_at = time.monotonic() + self._random.uniform(
            0, FIRST_READ_DELAY_MAX_SECONDS
        )
        while not self._stopped.wait(TICK_SECONDS):
            watches = self._current is not None and self._is_watcher()
            if not watches and time.monotonic() < read_at:
                continue
            try:
                self._read_store(WATCH_TIMEOUT_SECONDS if watches else 0.0)
            except errors.InputError as error:
                events.log(events.Event.CONFIGURATION_REFUSED, error=str(error))
            except errors.StoreError:
                pass  # The service ``store`` logs it; its breaker spaces out retries.
            read_at = time.monotonic() + self._draw_read_delay()

    def _draw_read_delay(self) -> float:
        if self._current is None:
            return self._random.uniform(0, FIRST_READ_DELAY_MAX_SECONDS)
        mean = watchers.check_seconds(len(self._membership.alive()))
        return mean * self._random.uniform(0.5, 1.5)

    def _is_watcher(self) -> bool:
        present = [
            member.router
            for member in self._membership.alive()
            if member.state in membertable.PRESENT
        ]
        return self._identity.router in watchers.choose(DUTY, present)

    def _read_store(self, wait: float) -> None:
        if wait:
            found = self._store.watch(documents.INDEX_KEY, self._version, wait)
        else:
            found = self._store.get(documents.INDEX_KEY, background=True)
        if found is None:
            return
        try:
            self._apply_index(documents.Index.decode(found[0]))
        except errors.InputError:
            # Otherwise every watch would return this version at once, in a busy loop.
            self._version = found[1]
            raise
        self._version = max(self._version, found[1])

    def _apply_index(self, index: documents.Index) -> None:
        result = self._generations.evaluate(index.generation)
        if result is generations.OfferResult.APPLY:
            body = self._read_chunks(index)
            self.offer(documents.unpack(body), body)
        elif result is generations.OfferResult.OLD:
            events.log(
                events.Event.CONFIGURATION_OLD_IGNORED, generation=index.generation
            )

    def _read_chunks(self, index: documents.Index) -> bytes:
        chunks = {key: self._store.get(key, background=True)[0] for key in index.chunks}
        return documents.join(index, chunks)
