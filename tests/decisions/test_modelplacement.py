"""Tests for moves of servers between services under pressure."""

from __future__ import annotations

import itertools

from celeryspan.decisions import modelplacement

SLOTS = 8


class Fleet:
    """Simulates the servers of two services, with a placement check every 10 s."""

    def __init__(self, first: int, second: int) -> None:
        self.placement = modelplacement.PlacementPlanner()
        self.servers = {
            f"server-{number:02}": "first" if number < first else "second"
            for number in range(first + second)
        }
        self.moves: list[tuple[float, modelplacement.Move]] = []

    def measure(self, name: str, load: int) -> modelplacement.Pressure:
        slots = SLOTS * sum(service == name for service in self.servers.values())
        return modelplacement.Pressure(max(0, load - slots), min(load, slots), slots)

    def run(self, begin: float, end: float, first: int, second: int) -> None:
        """Apply constant loads, in concurrent requests, from ``begin`` to ``end``."""
        now = begin
        while now < end:
            pressures = {
                "first": self.measure("first", first),
                "second": self.measure("second", second),
            }
            placed = {
                name: modelplacement.PlacedServer(service, SLOTS)
                for name, service in self.servers.items()
            }
            move = self.placement.choose_move(pressures, placed, now)
            if move is not None:
                self.placement.record_move(move.server, now)
                self.servers[move.server] = move.target
                self.moves.append((now, move))
            now += 10


def test_servers_move_once_a_minute_until_capacity_suffices() -> None:
    fleet = Fleet(8, 2)
    fleet.run(0, 1_200, first=10, second=50)
    times = [now for now, _ in fleet.moves]
    assert times[0] >= modelplacement.MIN_PRESSURE_SECONDS
    gaps = [late - early for early, late in itertools.pairwise(times)]
    assert min(gaps) >= modelplacement.MOVE_INTERVAL_SECONDS
    assert 3 <= len(fleet.moves) <= 6
    fleet.run(1_200, 4_800, first=10, second=50)
    assert all(now < 1_200 for now, _ in fleet.moves)


def test_short_bursts_move_no_server() -> None:
    fleet = Fleet(5, 5)
    for start in range(0, 3_600, 60):
        fleet.run(start, start + 20, first=0, second=200)
        fleet.run(start + 20, start + 60, first=10, second=10)
    assert fleet.moves == []


def test_full_service_gives_up_no_server() -> None:
    fleet = Fleet(5, 5)
    fleet.run(0, 3_600, first=35, second=100)
    assert fleet.moves == []


def test_alternating_pressure_does_not_move_servers_back_and_forth() -> None:
    """Guards against engines that spend the day loading models.

    Load alternates between two models every five minutes, long enough to count as
    pressure each time. The cooldown of ten minutes limits each server to six moves an
    hour.
    """
    fleet = Fleet(3, 3)
    for start in range(0, 7_200, 600):
        fleet.run(start, start + 300, first=0, second=60)
        fleet.run(start + 300, start + 600, first=60, second=0)
    for server in fleet.servers:
        times = [now for now, move in fleet.moves if move.server == server]
        gaps = [late - early for early, late in itertools.pairwise(times)]
        assert all(gap >= modelplacement.SERVER_COOLDOWN_SECONDS for gap in gaps)
