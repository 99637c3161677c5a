"""The kernel service ``keptparts``: asks engines which prompt parts they have cached.

The home of a pool derives the contents of the caches from the prompts that it places. A
router that has just become the home has placed none and asks the engines instead.
"""

from __future__ import annotations

import concurrent.futures
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, kernel
from celeryspan.platform import engines
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import announcements

Handler = Callable[[catalog.ServerEntry, tuple[messages.PromptPart, ...]], None]

QUERY_THREADS = 4
"""Engines asked at a time; one that does not respond blocks a thread for 0.4 s."""


@kernel.register("keptparts", needs=("announcements",))
class KeptParts:
    """Asks engines from its own threads; failed calls are not repeated."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._client = engines.EngineClient(self._announcements.record_answer)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            QUERY_THREADS, thread_name_prefix="keptparts"
        )

    def start(self) -> None:
        """Do nothing: threads start with the first query."""

    def stop(self) -> None:
        """Drop the queries that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    def query(self, entry: catalog.ServerEntry, handler: Handler) -> None:
        """Ask an engine, and call the handler with its answer from another thread."""
        try:
            self._executor.submit(self._query, entry, handler)
        except RuntimeError:
            pass  # This router is stopping; the next home of the pool asks again.

    def _query(self, entry: catalog.ServerEntry, handler: Handler) -> None:
        try:
            self._announcements.check(entry)
            parts = self._client.list_kept_parts(entry)
        except errors.NotRun as error:
            # The home still learns the contents from the prompts that it places.
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
