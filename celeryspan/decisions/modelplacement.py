"""Decides which backend server should switch to the model of another service.

Demand shifts between models over the day, so requests for one model can wait for
minutes while servers of another are idle. Without this module that capacity is unused
until an operator changes the register. Moving too eagerly makes servers spend their
time loading: a load takes a server a minute and a share of the weight store's rate, and
two models under pressure in turn would pass a server back and forth.

A server moves only if requests have waited for the target service, and the source
service has had free slots, at every check for :data:`MIN_PRESSURE_SECONDS`. The source
must keep spare slots after the move. A server does not move within
:data:`SERVER_COOLDOWN_SECONDS` of its own last move, nor within
:data:`MOVE_INTERVAL_SECONDS` of any move in the fleet.

A load is assumed to take a minute, and a move must bring work for much longer than it
costs, so the cooldown is ten times as long. One move a minute over the fleet is 60
loads an hour, and at most six for each of ten servers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from celeryspan import ids

MIN_PRESSURE_SECONDS = 20.0
"""Time that pressure must last before a move; queues absorb bursts of a few seconds."""

MOVE_INTERVAL_SECONDS = 60.0
"""Minimum time between two moves in the fleet: the documented limit of 60 an hour."""

SERVER_COOLDOWN_SECONDS = 600.0
"""Minimum time between two moves of one server: at most six an hour."""

MIN_FREE_SHARE = 0.3
"""Share of the source's slots that must be free after the move. Taking a server from a
nearly full service would only make requests wait there instead."""

STARVED_WAITING_PER_SLOT = 0.5
"""Waiting requests per slot from which a service counts as short of servers."""


class Pressure(msgspec.Struct, frozen=True):
    """Load of one service over the whole fleet.

    Attributes
    ----------
    waiting : int
        Requests waiting at all routers.
    busy : int
        Slots in use.
    slots : int
        Total slots.
    """

    waiting: int
    busy: int
    slots: int

    @property
    def is_starved(self) -> bool:
        """Whether requests wait because the service has too few servers."""
        return (
            self.waiting > 0 and self.waiting >= self.slots * STARVED_WAITING_PER_SLOT
        )

    def can_spare(self, slots: int) -> bool:
        """Whether the service can lose this many slots and keep enough of them free."""
        left = self.slots - slots
        return (
            self.waiting == 0 and left > 0 and self.busy <= left * (1 - MIN_FREE_SHARE)
        )


class PlacedServer(msgspec.Struct, frozen=True):
    """Current placement of a model server."""

    service: ids.ServiceId
    slots: int


class Move(msgspec.Struct, frozen=True):
    """Moves a server to another service, whose model it loads."""

    server: ids.ServerId
    source: ids.ServiceId
    target: ids.ServiceId


class PlacementPlanner:
    """Plans moves from the pressure on the services of one fleet."""

    def __init__(self) -> None:
        self._candidate_since: dict[tuple[ids.ServiceId, ids.ServiceId], float] = {}
        self._last_moves: dict[ids.ServerId, float] = {}
        self._last_fleet_move = -math.inf

    def choose_move(
        self,
        pressures: Mapping[ids.ServiceId, Pressure],
        servers: Mapping[ids.ServerId, PlacedServer],
        now: float,
    ) -> Move | None:
        """Return the move to make now, or None.

        Parameters
        ----------
        servers : mapping
            Model servers that are neither leaving nor loading.
        """
        candidates = self._find_candidates(pressures, servers, now)
        self._track_candidates(candidates, now)
        if now - self._last_fleet_move < MOVE_INTERVAL_SECONDS:
            return None
        for move in candidates.values():
            if (
                now - self._candidate_since[move.source, move.target]
                >= MIN_PRESSURE_SECONDS
            ):
                return move
        return None

    def record_move(self, server: ids.ServerId, now: float) -> None:
        """Record a move, including one made by another router with the planner duty."""
        self._last_moves[server] = self._last_fleet_move = now
        self._candidate_since.clear()

    def _find_candidates(
        self,
        pressures: Mapping[ids.ServiceId, Pressure],
        servers: Mapping[ids.ServerId, PlacedServer],
        now: float,
    ) -> dict[tuple[ids.ServiceId, ids.ServiceId], Move]:
        starved = sorted(
            (name for name, pressure in pressures.items() if pressure.is_starved),
            key=lambda name: -pressures[name].waiting,
        )
        candidates: dict[tuple[ids.ServiceId, ids.ServiceId], Move] = {}
        for target in starved:
            for server, placed in sorted(servers.items()):
                pair = (placed.service, target)
                pressure = pressures.get(placed.service)
                if pressure is None or pair in candidates or placed.service == target:
                    continue
                has_cooled_down = (
                    now - self._last_moves.get(server, -math.inf)
                    >= SERVER_COOLDOWN_SECONDS
                )
                if has_cooled_down and pressure.can_spare(placed.slots):
                    candidates[pair] = Move(server, placed.service, target)
        return candidates

    def _track_candidates(
        self, candidates: Mapping[tuple[ids.ServiceId, ids.ServiceId], Move], now: float
    ) -> None:
        """Track since when each move has been a candidate without interruption."""
        self._candidate_since = {
            pair: self._candidate_since.get(pair, now) for pair in candidates
        }
