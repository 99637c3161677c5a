"""The kernel service ``migrations``: stops runs and copies them to other engines.

The home of a pool says which run moves and where to. The copy is made on a thread of
its own; the thread that passes the stream on meets its end, and goes on at the target.
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
    from celeryspan.gateway import budgets, places, serverlists
    from celeryspan.services import delivery

COPY_SECONDS = 1.0
"""Longest wait for a copy: one of 50,000 tokens takes 0.04 s, twice that to another
data centre, and waits behind others."""


class Migration:
    """One run on its way from one engine to another.

    Attributes
    ----------
    source, target : ServerEntry
    copy : Copy or None
        Set once the engines have answered, if the run was stopped.
    """

    def __init__(
        self, source: catalog.ServerEntry, target: catalog.ServerEntry
    ) -> None:
        self.source = source
        self.target = target
        self.copy: engines.Copy | None = None
        self._answered = threading.Event()

    def settle(self, copy: engines.Copy | None) -> None:
        """Note what the engines have answered."""
        self.copy = copy
        self._answered.set()

    def wait(self) -> engines.Copy | None:
        """Wait for the answer."""
        self._answered.wait(2 * COPY_SECONDS)
        return self.copy


@kernel.register("migrations", needs=("budgets", "delivery", "places", "servers"))
class Migrations:
    """Carries out the moves that homes decide."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._budgets: budgets.Budgets = box.find("budgets")
        self._delivery: delivery.DeliveryService = box.find("delivery")
        self._places: places.SlotClient = box.find("places")
        self._servers: serverlists.ServersService = box.find("servers")
        self._client = engines.EngineClient()

    def start(self) -> None:
        """Begin to take moves."""
        self._delivery.subscribe(messages.RunMove, self._take)

    def stop(self) -> None:
        """Close the connections."""
        self._client.close()

    def take_copy(self, place: places.Slot) -> Migration | None:
        """Return the migration of a run whose stream has ended, if it was stopped."""
        migration = place.migration
        if migration is None or migration.wait() is None:
            return None
        place.migration = None
        return migration

    def drop(self, place: places.Slot) -> None:
        """Free a copy that nobody goes on with: its caller has left."""
        migration, place.migration = place.migration, None
        if migration is None:
            return
        self._places.settle_migration(place, migration.target.server, is_moved=False)
        if migration.copy is not None:
            self._client.free(migration.source.address, migration.copy.handle)

    def _take(
        self, home: ids.RouterId, _: ids.Incarnation, move: messages.RunMove
    ) -> None:
        place = self._places.find_slot(move.request)
        migration = self._begin(place, move) if place is not None else None
        if place is None or migration is None:
            stays = messages.RunMoved(
                move.request, move.pool, move.server, move.target, False
            )
            self._delivery.send(home, stays)
            return
        threading.Thread(
            target=self._copy, args=(place, migration), name="move", daemon=True
        ).start()

    def _begin(self, place: places.Slot, move: messages.RunMove) -> Migration | None:
        usable = self._servers.usable()
        source, target = usable.get(move.server), usable.get(move.target)
        if place.server != move.server or place.migration is not None:
            return None
        if source is None or target is None:
            return None
        service, _, _ = shards.parse_pool(move.pool)
        if not self._budgets.take(service):
            return None  # The target counts one more arrival for this request.
        place.migration = Migration(source, target)
        return place.migration

    def _copy(self, place: places.Slot, migration: Migration) -> None:
        began = time.monotonic()
        error = ""
        try:
            copy = self._client.move(
                migration.source.address,
                migration.source.server,
                place.ask.request,
                migration.target.address,
                COPY_SECONDS,
            )
        except errors.OutcomeUnknown as unknown:
            # If the run was stopped its stream ends, and is lost as any other.
            copy, error = None, str(unknown)
        migration.settle(copy)
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
