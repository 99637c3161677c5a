"""A new home of a pool learns which prompt parts its engines have cached."""

from __future__ import annotations

from tests.gateway import support

POOL = "planner#1#0"


def find_cache(router: support.Router, server: str):
    """Return the home's model of one engine's cache."""
    pool = router.container.find("poolhomes")._pools[POOL]
    return pool._placer._servers[server].cache


def test_restarted_home_sends_prompts_to_engines_that_have_them_cached(cluster) -> None:
    """All routers lose power for a second while the engines keep their caches.

    If the new home assumed empty caches, prompts would go to any engine and be computed
    again for seconds, and the goodput of callers would halve.
    """
    engines = [cluster.add_server(f"gpu-{n}", "planner") for n in range(3)]
    engines[1].kept = {"aa": 500, "bb": 300}
    router = cluster.start_router()
    headers = {"Celeryspan-Token-Count": "900,6"}
    assert router.call("/drafts/1", "r0", headers=headers).status == 200
    support.wait_for(lambda: find_cache(router, "gpu-1")._parts)
    headers["Celeryspan-Prefix-Hash"] = "aa:500,bb:300,cc:100"
    assert router.call("/drafts/1", "r1", headers=headers).status == 200
    assert engines[1].ran[-1:] == ["r1"]
    assert [engine.list_calls for engine in engines] == [1, 1, 1]


def test_engine_with_a_malformed_list_of_cached_parts_is_still_used(cluster) -> None:
    engine = cluster.add_server("gpu-1", "planner")
    engine.kept = {"aa": "many"}
    router = cluster.start_router()
    assert router.call("/drafts/1").status == 200
    support.wait_for(lambda: engine.list_calls)
    assert find_cache(router, "gpu-1")._parts == {}
