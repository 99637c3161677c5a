"""The kernel service ``keptparts``: asks engines which parts of prompts they keep.

A home of a pool believes what follows from the prompts that it has placed. One that has
just taken the pool over knows of none.
"""

from __future__ import annotations

import concurrent.futures
from collections.abc import Callable

from celeryspan import catalog, errors, events, kernel
from celeryspan.platform import engines
from celeryspan.wire import messages

Handler = Callable[[catalog.ServerEntry, tuple[messages.PromptPart, ...]], None]

WORKERS = 4
"""Engines asked at a time: one that is dark holds a worker for 0.4 s."""


@kernel.register("keptparts")
class KeptParts:
    """Asks engines on threads of its own; each question is asked once."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._client = engines.EngineClient()
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix="keptparts"
        )

    def start(self) -> None:
        """Do nothing: threads start with the first question."""

    def stop(self) -> None:
        """Drop what has not been asked yet."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    def ask(self, entry: catalog.ServerEntry, handler: Handler) -> None:
        """Ask an engine, and hand over what it says, from another thread."""
        try:
            self._workers.submit(self._ask, entry, handler)
        except RuntimeError:
            pass  # This router stops; its successor as home asks anew.

    def _ask(self, entry: catalog.ServerEntry, handler: Handler) -> None:
        try:
            parts = self._client.list_kept_parts(entry.address, entry.server)
        except errors.NotRun as error:
            # The home goes on with what it sees itself.
            events.log(
                events.Event.KEPT_PARTS_UNKNOWN, server=entry.server, error=str(error)
            )
            return
        events.log(
            events.Event.KEPT_PARTS_LISTED,
            server=entry.server,
            parts=len(parts),
            tokens=sum(part.tokens for part in parts),
        )
        handler(entry, parts)
