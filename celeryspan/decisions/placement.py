"""Which backend server should change to another model, and when none should.

Pattern answered: work for one model waits for minutes while servers of another stand
idle; demand moves between models over the day. Without this module that capacity idles
until an operator changes the register. Moved too eagerly, servers spend their time
loading: a load takes a minute of a server and a share of the weight store's rate, and
two models that wait in turn would pass a server to and fro.

A server moves only if work has waited for one service, and slots of another have been
free, at each look for :data:`STEADY_SECONDS`; if what remains covers the giver with
slots to spare; and not within :data:`REST_SECONDS` of its own last move or
:data:`MOVE_SECONDS` of any.

Grounds of the figures: a load is taken to last a minute; a move must bring work for
much longer than it costs, so that a server rests ten times as long. One move a minute
over the fleet is 60 loads an hour, and at most six for each of ten servers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from celeryspan import ids

MIN_PRESSURE_SECONDS = 20.0
"""How long pressure must last; bursts of a few seconds are what queues are for."""

MOVE_INTERVAL_SECONDS = 60.0
"""Least time between two moves of the fleet: the stated limit, 60 an hour."""

SERVER_COOLDOWN_SECONDS = 600.0
"""Least time between two moves of one server: six an hour at most."""

MIN_FREE_SHARE = 0.3
"""Part of the giver's slots that must stay free after the move. A server taken from a
service that is nearly full would only make work wait there instead."""

STARVED_WAITING_PER_SLOT = 0.5
"""Work waits for want of servers if more than this many requests wait for each slot."""


class Pressure(msgspec.Struct, frozen=True):
    """What the fleet reports of one service.

    Attributes
    ----------
    waiting : int
        Requests that wait, over all routers.
    busy : int
        Slots in use.
    slots : int
        Slots there are.
    """

    waiting: int
    busy: int
    slots: int

    @property
    def is_starved(self) -> bool:
        """Whether work waits for want of servers."""
        return (
            self.waiting > 0 and self.waiting >= self.slots * STARVED_WAITING_PER_SLOT
        )

    def can_spare(self, slots: int) -> bool:
        """Whether the service is well without so many of its slots."""
        left = self.slots - slots
        return (
            self.waiting == 0 and left > 0 and self.busy <= left * (1 - MIN_FREE_SHARE)
        )


class PlacedServer(msgspec.Struct, frozen=True):
    """A model server as it is placed now."""

    service: ids.ServiceId
    slots: int


class Move(msgspec.Struct, frozen=True):
    """Let a server load the model of another service."""

    server: ids.ServerId
    source: ids.ServiceId
    target: ids.ServiceId


class PlacementPlanner:
    """Judges the pressure on the services of one fleet."""

    def __init__(self) -> None:
        self._wanted_since: dict[tuple[ids.ServiceId, ids.ServiceId], float] = {}
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
        wanted = self._find_candidates(pressures, servers, now)
        self._track_candidates(wanted, now)
        if now - self._last_fleet_move < MOVE_INTERVAL_SECONDS:
            return None
        for move in wanted.values():
            if (
                now - self._wanted_since[move.source, move.target]
                >= MIN_PRESSURE_SECONDS
            ):
                return move
        return None

    def record_move(self, server: ids.ServerId, now: float) -> None:
        """Note a move, also one that another holder of the duty has made."""
        self._last_moves[server] = self._last_fleet_move = now
        self._wanted_since.clear()

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
        wanted: dict[tuple[ids.ServiceId, ids.ServiceId], Move] = {}
        for taker in starved:
            for server, placed in sorted(servers.items()):
                pair = (placed.service, taker)
                pressure = pressures.get(placed.service)
                if pressure is None or pair in wanted or placed.service == taker:
                    continue
                rested = (
                    now - self._last_moves.get(server, -math.inf)
                    >= SERVER_COOLDOWN_SECONDS
                )
                if rested and pressure.can_spare(placed.slots):
                    wanted[pair] = Move(server, placed.service, taker)
        return wanted

    def _track_candidates(
        self, wanted: Mapping[tuple[ids.ServiceId, ids.ServiceId], Move], now: float
    ) -> None:
        """Remember since when each move has been wanted without a break."""
        self._wanted_since = {
            pair: self._wanted_since.get(pair, now) for pair in wanted
        }
