"""Moves model servers between services, one at a time.

The server is first drained: it is marked as leaving and gets no new requests. When its
last request has ended, its new service is published as a generation of the
configuration, which all routers apply. The load order follows from that, and the server
gets requests again once it has loaded. No request is interrupted. If the lease holder
dies during a move, the VM list makes the server available again, in the service that
the configuration names.
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

# Time to drain a server, after which the move is cancelled.
MAX_DRAIN_SECONDS = 600.0

# Time to load the new model, after which the server is left to operators.
MAX_LOAD_SECONDS = 600.0


class MoveProgress(msgspec.Struct):
    """Progress of the current move."""

    move: modelplacement.Move
    started_at: float
    is_published: bool = False


class ServerMover:
    """Carries out the moves chosen by :class:`modelplacement.PlacementPlanner`."""

    def __init__(
        self,
        store_client: store.StoreClient,
        server_drains: drains.ServerDrains,
        author: str,
    ) -> None:
        self._store_client = store_client
        self._drains = server_drains
        self._author = author
        self._planner = modelplacement.PlacementPlanner()
        self._progress: MoveProgress | None = None

    def describe(self) -> str:
        """Return the current move as text for ``status``."""
        if self._progress is None:
            return ""
        move = self._progress.move
        return f"{move.server}: {move.source} -> {move.target}"

    def step(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
        pressures: dict[ids.ServiceId, modelplacement.Pressure],
        leaving: frozenset[ids.ServerId],
        now: float,
    ) -> None:
        """Start a move if one is due, or advance the current one."""
        if self._progress is None:
            self._start_move(managed, pressures, leaving, now)
            return
        if not self._progress.is_published:
            self._drain(current, managed, now)
        elif now - self._progress.started_at > MAX_LOAD_SECONDS:
            self._progress = None

    def is_moving_away(self, server: register.Server) -> bool:
        """Whether a server is being moved and its new service is not yet in force.

        Until this router applies the published generation, the engine still matches
        its old service; without this check it would get requests again.
        """
        move = self._progress.move if self._progress is not None else None
        return (
            move is not None
            and move.server == server.name
            and move.target != server.service
        )

    def record_loaded(self, server: ids.ServerId) -> None:
        """Complete the move of a server that has loaded its new model."""
        progress = self._progress
        if (
            progress is None
            or not progress.is_published
            or progress.move.server != server
        ):
            return
        self._progress = None
        events.log(
            events.Event.SERVER_MOVED, server=server, service=progress.move.target
        )

    def cancel(self) -> None:
        """Cancel the current move, and end the drain if the move is unpublished."""
        if self._progress is not None and not self._progress.is_published:
            self._drains.finish(self._progress.move.server)
        self._progress = None

    def _start_move(
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
        move = self._planner.choose_move(pressures, placed, now)
        if move is None:
            return
        self._planner.record_move(move.server, now)
        self._progress = MoveProgress(move, now)

    def _drain(
        self,
        current: configuration.Configuration,
        managed: dict[ids.ServerId, register.Server],
        now: float,
    ) -> None:
        progress = self._progress
        server = managed.get(progress.move.server)
        if server is None or now - progress.started_at > MAX_DRAIN_SECONDS:
            self.cancel()
            return
        if self._drains.drain(server, now):
            self._publish_move(current, progress)

    def _publish_move(
        self, current: configuration.Configuration, progress: MoveProgress
    ) -> None:
        """Publish the new service, unless an operator has published a change."""
        published = publishing.read_stored(self._store_client)
        if published.generation != current.generation:
            return  # Retry once the newer generation is in force here.
        placements = dict(current.placements)
        placements[progress.move.server] = progress.move.target
        try:
            publishing.publish(
                self._store_client,
                published,
                current.register,
                current.rules,
                f"placement by {self._author}",
                placements,
            )
        except publishing.NotPublished:
            return
        progress.is_published = True
        progress.started_at = time.monotonic()
