"""Who does for the fleet what one router does for all."""

from __future__ import annotations

from celeryspan.decisions import turns

ROUTERS = [f"edge-{number}" for number in range(40)]


def test_every_router_has_a_turn_of_its_own() -> None:
    found = [turns.find_position(router, ROUTERS, "quarantine") for router in ROUTERS]
    assert sorted(found) == list(range(40))


def test_loss_of_the_first_puts_the_next_in_its_place() -> None:
    found = {
        turns.find_position(router, ROUTERS, "quarantine"): router for router in ROUTERS
    }
    left = [router for router in ROUTERS if router != found[0]]
    assert turns.find_position(found[1], left, "quarantine") == 0


def test_duties_fall_to_different_routers() -> None:
    first = {
        next(r for r in ROUTERS if turns.find_position(r, ROUTERS, f"duty-{n}") == 0)
        for n in range(20)
    }
    assert len(first) > 10
