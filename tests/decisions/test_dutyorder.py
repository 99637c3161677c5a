"""Order in which routers attempt work for the whole fleet."""

from __future__ import annotations

from celeryspan.decisions import dutyorder

ROUTERS = [f"edge-{number}" for number in range(40)]


def test_positions_are_unique() -> None:
    found = [
        dutyorder.find_position(router, ROUTERS, "quarantine") for router in ROUTERS
    ]
    assert sorted(found) == list(range(40))


def test_next_router_replaces_the_first_if_it_is_lost() -> None:
    found = {
        dutyorder.find_position(router, ROUTERS, "quarantine"): router
        for router in ROUTERS
    }
    left = [router for router in ROUTERS if router != found[0]]
    assert dutyorder.find_position(found[1], left, "quarantine") == 0


def test_duties_are_spread_over_routers() -> None:
    first = {
        next(
            r for r in ROUTERS if dutyorder.find_position(r, ROUTERS, f"duty-{n}") == 0
        )
        for n in range(20)
    }
    assert len(first) > 10
