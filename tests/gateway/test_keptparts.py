"""A home that has just taken a pool over learns what its engines keep."""

from __future__ import annotations

from tests.gateway import support

POOL = "planner#1#0"


def find_cache(router: support.Router, server: str):
    """Return what the home believes one engine to keep."""
    pool = router.box.find("poolhomes")._pools[POOL]
    return pool._placer._servers[server].cache


def test_home_that_has_started_again_sends_prompts_to_who_keeps_them(place) -> None:
    """All routers lose power for a second; the engines go on and keep all prompts.

    The new home believes that nothing is kept: for seconds prompts are read again at
    any engine, and callers get half of the worth that they had before.
    """
    engines = [place.add_server(f"gpu-{n}", "planner") for n in range(3)]
    engines[1].kept = {"aa": 500, "bb": 300}
    router = place.start_router()
    headers = {"Celeryspan-Token-Count": "900,6"}
    assert router.call("/drafts/1", "r0", headers=headers).status == 200
    support.wait_for(lambda: find_cache(router, "gpu-1")._parts)
    headers["Celeryspan-Prefix-Hash"] = "aa:500,bb:300,cc:100"
    assert router.call("/drafts/1", "r1", headers=headers).status == 200
    assert engines[1].ran[-1:] == ["r1"]
    assert [engine.list_calls for engine in engines] == [1, 1, 1]


def test_engine_that_does_not_say_what_it_keeps_is_used_all_the_same(place) -> None:
    engine = place.add_server("gpu-1", "planner")
    engine.kept = {"aa": "many"}
    router = place.start_router()
    assert router.call("/drafts/1").status == 200
    support.wait_for(lambda: engine.list_calls)
    assert find_cache(router, "gpu-1")._parts == {}
