"""Tests for home assignment and demand sampling."""

from __future__ import annotations

import pytest

from celeryspan import ids
from celeryspan.decisions import homes, partitions

ROUTERS = [ids.RouterId(f"router-{index}") for index in range(6)]
SERVERS = [ids.ServerId(f"server-{index}") for index in range(600)]
SERVICE = ids.ServiceId("planner-llm")


def test_only_servers_of_a_departed_router_change_home() -> None:
    before = homes.assign_homes(SERVERS, ROUTERS)
    after = homes.assign_homes(SERVERS, ROUTERS[1:])
    changes = homes.find_changes(before, after)
    assert {change.old for change in changes} == {ROUTERS[0]}
    assert len(changes) == sum(home == ROUTERS[0] for home in before.values())
    assert {change.new for change in changes} == set(ROUTERS[1:])


def test_servers_spread_over_homes() -> None:
    found = list(homes.assign_homes(SERVERS, ROUTERS).values())
    assert all(70 <= found.count(router) <= 130 for router in ROUTERS)


def test_order_of_members_does_not_matter() -> None:
    assert homes.assign_homes(SERVERS, ROUTERS) == homes.assign_homes(
        SERVERS, ROUTERS[::-1]
    )
    assert homes.assign_homes(SERVERS, []) == {}


def test_samples_eventually_reach_every_home() -> None:
    """Guards against a slot that stays idle while a request waits.

    One of the 440 homes of a service has the only free slot. A router that always asked
    the same eight homes would never find it.
    """
    many = [ids.RouterId(f"router-{index}") for index in range(440)]
    reached: set[ids.RouterId] = set()
    for attempt in range(600):
        found = homes.sample_homes(many, ROUTERS[0], SERVICE, attempt)
        assert len(found) == homes.SAMPLE_SIZE
        reached |= set(found)
    assert reached == set(many)


def test_demand_of_a_small_service_goes_to_all_homes() -> None:
    assert homes.sample_homes(ROUTERS, ROUTERS[0], SERVICE, 3) == tuple(ROUTERS)


def test_first_home_is_chosen_in_proportion_to_its_servers() -> None:
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
def test_partition_uses_its_share_and_the_slots_that_others_leave(
    visible: int, others: float | None, expected: int
) -> None:
    """Guards against overload and idle slots when a partition splits a fleet of six.

    Both parts assign a home to the same server. If each used the whole window, the
    server would get twice its load. If each used only its own share, slots would be
    idle while the other part has no requests.
    """
    assert partitions.share_window(16, visible, 6, others) == expected


def test_isolated_router_keeps_at_least_one_slot() -> None:
    assert partitions.share_window(2, 1, 6, 2.0) == 1
