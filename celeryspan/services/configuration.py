"""The kernel service ``configuration``: the generation in force on this router."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import configuration, documents, errors, events, ids, kernel
from celeryspan.decisions import generations

if TYPE_CHECKING:
    from celeryspan.services import store

Handler = Callable[[configuration.Configuration], None]

WATCH_SECONDS = 30.0
"""How long one watch waits before it is asked again, in seconds."""

PAUSE_SECONDS = 0.5
"""Pause after a failed read of the store; the breaker spreads further attempts."""


@kernel.register("configuration", needs=("store",))
class ConfigurationService:
    """Holds the configuration in force and follows the store."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._store: store.StoreService = box.find("store")
        self._generations = generations.Generations()
        self._current: configuration.Configuration | None = None
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._follow, name="configuration", daemon=True
        )

    def start(self) -> None:
        """Begin to follow the store; does not wait for a first generation."""
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

    def offer(self, value: configuration.Configuration) -> bool:
        """Put a configuration in force if its generation is higher."""
        generation = ids.Generation(value.generation)
        with self._lock:
            verdict = self._generations.judge(generation)
            if self._generations.apply(generation):
                self._current = value
            handlers = list(self._handlers)
        if verdict is generations.Verdict.OLD:
            events.log(events.Event.CONFIGURATION_OLD_IGNORED, generation=generation)
        if verdict is not generations.Verdict.APPLY:
            return False
        events.log(events.Event.CONFIGURATION_IN_FORCE, generation=generation)
        for handler in handlers:
            handler(value)
        return True

    def _follow(self) -> None:
        version = 0
        while not self._stopped.is_set():
            try:
                version = self._read_store(version)
            except (errors.StoreError, errors.InputError) as error:
                if isinstance(error, errors.InputError):
                    events.log(events.Event.CONFIGURATION_REFUSED, error=str(error))
                self._stopped.wait(PAUSE_SECONDS)

    def _read_store(self, version: int) -> int:
        found = self._store.watch(documents.INDEX_KEY, version, WATCH_SECONDS)
        if found is None:
            return version
        index = documents.Index.decode(found[0])
        if self._generations.judge(index.generation) is generations.Verdict.APPLY:
            self.offer(documents.unpack(self._read_chunks(index)))
        return found[1]

    def _read_chunks(self, index: documents.Index) -> bytes:
        chunks = {key: self._store.get(key, background=True)[0] for key in index.chunks}
        return documents.join(index, chunks)
