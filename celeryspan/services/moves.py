"""Moves one model server at a time from one service to another.

The server first gets no new work, by the same facts as one that is leaving; when its
last request has ended its new service is written as a generation of the configuration,
which every router puts in force; the order to load follows from that, and the server
gets work again once it has loaded. No request is cut. If the holder dies in between,
the server comes back by the VM list, with whichever service the configuration names.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import configuration, events, ids, publishing, register
from celeryspan.adapters import store
from celeryspan.decisions import modelplacement

if TYPE_CHECKING:
    from celeryspan.services import drains

DRAIN_SECONDS = 600.0
"""A server that has not finished its requests by then stays where it is."""

LOADED_SECONDS = 600.0
"""A server that has not loaded by then is left to operators."""


class Progress(msgspec.Struct):
    """How far the move under way has come."""

    move: modelplacement.Move
    began_at: float
    written: bool = False


class Mover:
    """Carries out what :class:`modelplacement.PlacementPlanner` decides."""

    def __init__(
        self, client: store.StoreClient, emptying: drains.Drains, author: str
    ) -> None:
        self._client = client
        self._drains = emptying
        self._author = author
        self._placement = modelplacement.PlacementPlanner()
        self._progress: Progress | None = None

    def describe(self) -> str:
        """Return the move under way as text for ``status``."""
        if self._progress is None:
            return ""
        move = self._progress.move
        return f"{move.server}: {move.source} -> {move.target}"

    def work(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
        pressures: dict[ids.ServiceId, modelplacement.Pressure],
        leaving: frozenset[ids.ServerId],
        now: float,
    ) -> None:
        """Begin a move if one is due, or bring the one under way a step further."""
        if self._progress is None:
            self._begin(managed, pressures, leaving, now)
            return
        if not self._progress.written:
            self._drain(current, managed, now)
        elif now - self._progress.began_at > LOADED_SECONDS:
            self._progress = None

    def holds_back(self, server: register.Server) -> bool:
        """Whether a server is being moved and not yet in force where it goes.

        Between writing the move and hearing of it, the engine still matches the
        service that it leaves; without this question it would get work again.
        """
        move = self._progress.move if self._progress is not None else None
        return (
            move is not None
            and move.server == server.name
            and move.target != server.service
        )

    def note_loaded(self, server: ids.ServerId) -> None:
        """Note that a server has what its service wants; it gets work again."""
        progress = self._progress
        if progress is None or not progress.written or progress.move.server != server:
            return
        self._progress = None
        events.log(
            events.Event.SERVER_MOVED, server=server, service=progress.move.target
        )

    def give_up(self) -> None:
        """End the move under way: the duty is lost."""
        if self._progress is not None and not self._progress.written:
            self._drains.finish(self._progress.move.server)
        self._progress = None

    def _begin(
        self,
        managed: dict[ids.ServerId, register.Server],
        pressures: dict[ids.ServiceId, modelplacement.Pressure],
        leaving: frozenset[ids.ServerId],
        now: float,
    ) -> None:
        placed = {
            name: modelplacement.PlacedServer(
                ids.ServiceId(server.service), server.slots
            )
            for name, server in managed.items()
            if name not in leaving
        }
        move = self._placement.choose_move(pressures, placed, now)
        if move is None:
            return
        self._placement.record_move(move.server, now)
        self._progress = Progress(move, now)

    def _drain(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
        now: float,
    ) -> None:
        progress = self._progress
        server = managed.get(progress.move.server)
        if server is None or now - progress.began_at > DRAIN_SECONDS:
            self.give_up()
            return
        if self._drains.is_quiet(server, now):
            self._write(current, progress)

    def _write(self, current: configuration.Configuration, progress: Progress) -> None:
        """Write the new service as a generation; an operator's change wins."""
        stored = publishing.read_stored(self._client)
        if stored.generation != current.generation:
            return  # A newer one is on its way here; look again with it in force.
        placements = dict(current.placements)
        placements[progress.move.server] = progress.move.target
        try:
            publishing.publish(
                self._client,
                stored,
                current.register,
                current.rules,
                f"placement by {self._author}",
                placements,
            )
        except publishing.NotPublished:
            return
        progress.written = True
        progress.began_at = time.monotonic()
