"""The kernel service ``migrations``: stops runs and copies them to other engines.

The home router of a pool decides which run moves to which engine. A separate thread
makes the copy. The thread that relays the stream reaches the end of the source's answer
and resumes the run at the target.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel
from celeryspan.decisions import shards
from celeryspan.platform import engines
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        announcements,
        budgets,
        places,
        serverlists,
        streamorigins,
    )
    from celeryspan.services import delivery

COPY_TIMEOUT_SECONDS = 1.0
"""Timeout for a copy. A copy of 50,000 tokens takes 0.04 s, or twice as long to another
data centre, and may wait for other copies."""


class Migration:
    """The migration of one run from one engine to another.

    Attributes
    ----------
    source, target : ServerEntry
        The engine that runs the request, and the one that is to resume it.
    copy : Copy or None
        The result of the source engine; None if there is no copy.
    is_refused : bool
        Whether the source engine has stated that it did not stop the run.
    """

    def __init__(
        self, source: catalog.ServerEntry, target: catalog.ServerEntry
    ) -> None:
        self.source = source
        self.target = target
        self.copy: engines.RunCopy | None = None
        self.is_refused = False
        self._answered = threading.Event()

    def set_result(
        self, copy: engines.RunCopy | None, *, is_refused: bool = False
    ) -> None:
        """Set the result and wake the waiting thread."""
        self.copy = copy
        self.is_refused = is_refused
        self._answered.set()

    def wait_for_copy(self) -> engines.RunCopy | None:
        """Wait for the result and return it."""
        self._answered.wait(2 * COPY_TIMEOUT_SECONDS)
        return self.copy

    def may_have_stopped(self) -> bool:
        """Wait for the result; return whether the source may have stopped the run."""
        self.wait_for_copy()
        return not self.is_refused


@kernel.register(
    "migrations",
    needs=(
        "announcements",
        "budgets",
        "delivery",
        "places",
        "servers",
        "streamorigins",
    ),
)
class Migrations:
    """Executes the migrations that home routers request."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._budgets: budgets.RetryBudgets = container.find("budgets")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._places: places.SlotClient = container.find("places")
        self._servers: serverlists.ServersService = container.find("servers")
        self._origins: streamorigins.StreamOriginsService = container.find(
            "streamorigins"
        )
        self._client = engines.EngineClient(self._announcements.record_answer)

    def start(self) -> None:
        """Subscribe to migration requests of home routers."""
        self._delivery.subscribe(messages.RunMove, self._handle_move)

    def stop(self) -> None:
        """Close the connections to engines."""
        self._client.close()

    def take_copy(self, place: places.Slot) -> Migration | None:
        """Return the migration of a run whose stream has ended, if it was stopped."""
        migration = place.migration
        if migration is None or migration.wait_for_copy() is None:
            return None
        place.migration = None
        return migration

    def discard(self, place: places.Slot) -> None:
        """Free a copy that will not be resumed because the attempt has ended."""
        migration, place.migration = place.migration, None
        if migration is None:
            return
        self._places.settle_migration(place, migration.target.server, is_moved=False)
        resting = self._announcements.find_rest(migration.source)
        if migration.copy is not None and resting is None:
            self._client.release_copy(migration.source, migration.copy.handle)

    def _handle_move(
        self, home: ids.RouterId, _: ids.Incarnation, move: messages.RunMove
    ) -> None:
        place = self._places.find_slot(move.request)
        migration = self._start(place, move) if place is not None else None
        if place is None or migration is None:
            not_moved = messages.RunMoved(
                move.request, move.pool, move.server, move.target, False
            )
            self._delivery.send(home, not_moved)
            return
        threading.Thread(
            target=self._copy, args=(place, migration), name="move", daemon=True
        ).start()

    def _start(self, place: places.Slot, move: messages.RunMove) -> Migration | None:
        usable = self._servers.usable()
        source, target = usable.get(move.server), usable.get(move.target)
        if place.server != move.server or place.migration is not None:
            return None
        if source is None or target is None:
            return None
        if not self._origins.may_continue(target, place.version or source.version):
            return None
        if any(self._announcements.find_rest(entry) for entry in (source, target)):
            return None
        service, _, _ = shards.parse_pool(move.pool)
        if not self._budgets.try_take(service):
            return None  # Counted as a retry: the target receives the request, too.
        place.migration = Migration(source, target)
        return place.migration

    def _copy(self, place: places.Slot, migration: Migration) -> None:
        began = time.monotonic()
        error = ""
        place.latest_migration = migration
        try:
            copy = self._client.move(
                migration.source,
                place.ask.request,
                migration.target.address,
                COPY_TIMEOUT_SECONDS,
            )
        except errors.OutcomeUnknown as unknown:
            # If the run was stopped, its stream ends and is handled as a lost answer.
            copy, error = None, str(unknown)
        migration.set_result(copy, is_refused=copy is None and not error)
        events.log(
            events.Event.RUN_MOVED,
            request=place.ask.request,
            server=migration.source.server,
            target=migration.target.server,
            outcome="copied" if copy else "stays",
            seconds=round(time.monotonic() - began, 3),
            error=error,
        )
        if copy is None and place.migration is migration:
            place.migration = None
            target = migration.target.server
            self._places.settle_migration(place, target, is_moved=False)
