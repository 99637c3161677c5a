"""The kernel service ``configuration``: the generation in force on this router.

Few routers watch the store. Every datagram of the membership shows its sender's
generation; a router that sees a higher one asks that peer for it over a link, puts it
in force and shows it to a few others at once.
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

WATCH_SECONDS = 30.0
"""How long one watch waits before it is asked again, in seconds."""

PAUSE_SECONDS = 0.5
"""Between two looks at whether this router should call the store."""

PEERS_FIRST_SECONDS = 2.0
"""A router without configuration asks the store after a random time up to this one:
if a whole fleet restarts, most hear from a peer before their time has come."""

REQUEST_SECONDS = 1.0
"""After this long without an answer another peer may be asked."""


@kernel.register(DUTY, needs=("identity", "store", "links", "membership"))
class ConfigurationService:
    """Holds the configuration in force; follows the store and the peers."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._store: store.StoreService = box.find("store")
        self._links: links.LinksService = box.find("links")
        self._membership: membership.MembershipService = box.find("membership")
        self._random = random.Random(self._identity.incarnation)
        self._generations = generations.Generations()
        self._current: configuration.Configuration | None = None
        self._body = b""
        self._handlers: list[Handler] = []
        self._requested_until = 0.0
        self._version = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._follow, name=DUTY, daemon=True)

    def start(self) -> None:
        """Begin to follow; does not wait for a first generation."""
        self._links.subscribe(messages.ConfigurationRequest, self._answer)
        self._links.subscribe(messages.ConfigurationValue, self._take_value)
        self._membership.on_ahead(self._ask)
        self._thread.start()

    def stop(self) -> None:
        """Stop following; a waiting watch ends by itself."""
        self._stopped.set()

    def current(self) -> configuration.Configuration | None:
        """Return the configuration in force, or None: then serve nothing."""
        return self._current

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each configuration put in force, and with this one."""
        with self._lock:
            self._handlers.append(handler)
            current = self._current
        if current is not None:
            handler(current)

    def report(self) -> dict[str, object]:
        """Return generation, author and whether this router watches the store."""
        current = self._current
        return {
            "generation": self._generations.current,
            "author": current.author if current is not None else "",
            "watches": self._watches(),
        }

    def offer(self, value: configuration.Configuration, body: bytes) -> bool:
        """Put a configuration in force if its generation is higher.

        Parameters
        ----------
        body : bytes
            The same configuration as :func:`documents.pack` gives it, for peers.
        """
        generation = ids.Generation(value.generation)
        with self._lock:
            verdict = self._generations.evaluate(generation)
            if self._generations.apply(generation):
                self._current, self._body = value, body
            handlers = list(self._handlers)
        if verdict is generations.OfferResult.OLD:
            events.log(events.Event.CONFIGURATION_OLD_IGNORED, generation=generation)
        if verdict is not generations.OfferResult.APPLY:
            return False
        self._put_in_force(value, handlers)
        return True

    def _put_in_force(
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

    def _ask(self, member: messages.Member) -> None:
        """Ask a peer that shows a higher generation for it, one peer at a time."""
        now = time.monotonic()
        with self._lock:
            if member.generation <= self._generations.current:
                return
            if now < self._requested_until:
                return
            self._requested_until = now + REQUEST_SECONDS
            above = self._generations.current
        self._links.learn(member.router, member.peer_address)
        self._links.send(member.router, messages.ConfigurationRequest(above))

    def _answer(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        request: messages.ConfigurationRequest,
    ) -> None:
        with self._lock:
            generation, body = self._generations.current, self._body
        if generation > request.above:
            self._links.send(peer, messages.ConfigurationValue(generation, body))

    def _take_value(
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

    def _follow(self) -> None:
        """Watch the store if that falls to this router, or look rarely."""
        check_at = time.monotonic() + self._random.uniform(0, PEERS_FIRST_SECONDS)
        while not self._stopped.wait(PAUSE_SECONDS):
            watches = self._current is not None and self._watches()
            if not watches and time.monotonic() < check_at:
                continue
            try:
                self._read_store(WATCH_SECONDS if watches else 0.0)
            except errors.InputError as error:
                events.log(events.Event.CONFIGURATION_REFUSED, error=str(error))
            except errors.StoreError:
                pass  # The service ``store`` logs it; its breaker spreads attempts.
            check_at = time.monotonic() + self._draw_wait()

    def _draw_wait(self) -> float:
        if self._current is None:
            return self._random.uniform(0, PEERS_FIRST_SECONDS)
        mean = watchers.check_seconds(len(self._membership.alive()))
        return mean * self._random.uniform(0.5, 1.5)

    def _watches(self) -> bool:
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
            self._take_index(documents.Index.decode(found[0]))
        except errors.InputError:
            self._version = found[1]  # Else its watch would answer at once, for ever.
            raise
        self._version = max(self._version, found[1])

    def _take_index(self, index: documents.Index) -> None:
        verdict = self._generations.evaluate(index.generation)
        if verdict is generations.OfferResult.APPLY:
            body = self._read_chunks(index)
            self.offer(documents.unpack(body), body)
        elif verdict is generations.OfferResult.OLD:
            events.log(
                events.Event.CONFIGURATION_OLD_IGNORED, generation=index.generation
            )

    def _read_chunks(self, index: documents.Index) -> bytes:
        chunks = {key: self._store.get(key, background=True)[0] for key in index.chunks}
        return documents.join(index, chunks)
