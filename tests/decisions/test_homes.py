"""Homes move no more than they must, and samples reach every home."""

from __future__ import annotations

import pytest

from celeryspan import ids
from celeryspan.decisions import fallback, homes

ROUTERS = [ids.RouterId(f"router-{index}") for index in range(6)]
SERVERS = [ids.ServerId(f"server-{index}") for index in range(600)]
SERVICE = ids.ServiceId("planner-llm")


def test_only_the_servers_of_a_router_that_left_move() -> None:
    before = homes.assign_homes(SERVERS, ROUTERS)
    after = homes.assign_homes(SERVERS, ROUTERS[1:])
    moves = homes.find_changes(before, after)
    assert {move.old for move in moves} == {ROUTERS[0]}
    assert len(moves) == sum(home == ROUTERS[0] for home in before.values())
    assert {move.new for move in moves} == set(ROUTERS[1:])


def test_servers_spread_over_homes() -> None:
    found = list(homes.assign_homes(SERVERS, ROUTERS).values())
    assert all(70 <= found.count(router) <= 130 for router in ROUTERS)


def test_order_of_members_does_not_matter() -> None:
    assert homes.assign_homes(SERVERS, ROUTERS) == homes.assign_homes(
        SERVERS, ROUTERS[::-1]
    )
    assert homes.assign_homes(SERVERS, []) == {}


def test_samples_reach_every_home_in_the_end() -> None:
    """A service has 440 homes, and one of them has the only free slot.

    A router that asked the same eight homes for ever would let that slot idle while
    its caller waits.
    """
    many = [ids.RouterId(f"router-{index}") for index in range(440)]
    heard: set[ids.RouterId] = set()
    for attempt in range(600):
        found = homes.sample_homes(many, ROUTERS[0], SERVICE, attempt)
        assert len(found) == homes.SAMPLE_SIZE
        heard |= set(found)
    assert heard == set(many)


def test_small_service_tells_all_homes() -> None:
    assert homes.sample_homes(ROUTERS, ROUTERS[0], SERVICE, 3) == tuple(ROUTERS)


def test_first_home_is_asked_in_proportion_to_its_servers() -> None:
    found = {SERVERS[0]: ROUTERS[0], SERVERS[1]: ROUTERS[0], SERVERS[2]: ROUTERS[1]}
    first = [
        homes.pick_first_home(found, ROUTERS[2], SERVICE, turn) for turn in range(300)
    ]
    assert 170 <= first.count(ROUTERS[0]) <= 230
    assert homes.pick_first_home({}, ROUTERS[2], SERVICE, 1) is None


@pytest.mark.parametrize(
    ("visible", "others", "expected"),
    [(6, None, 16), (6, 9.0, 16), (3, None, 8), (3, 2.0, 14), (3, 12.0, 8), (1, 16, 2)],
)
def test_part_of_a_fleet_uses_its_share_and_what_others_leave(
    visible: int, others: float | None, expected: int
) -> None:
    """A partition cuts a fleet of six; both parts find a home for a server.

    Each using the whole window would double the server's load; each using its share
    only would leave slots idle where the other part has no work.
    """
    assert fallback.share_window(16, visible, 6, others) == expected


def test_router_alone_still_serves() -> None:
    assert fallback.share_window(2, 1, 6, 2.0) == 1
