"""Prefix affinity, judged by what callers wait and by how servers are loaded."""

from __future__ import annotations

import collections
import random

from bench import routing as patterns
from celeryspan import dispatch, ids
from celeryspan.decisions import routing

SERVICE = ids.ServiceId("lm-pool")
NAMES = [ids.ServerId(f"s{index}") for index in range(5)]
PROMPT = (1, 2, 3, 4)


def make_work(prefix: tuple[int, ...]) -> dispatch.Work:
    return dispatch.Work(
        ids.RequestId("r"), SERVICE, ids.AccountId("a"), 100.0, prefix=prefix
    )


def store(cache: routing.CacheMap, server: str, first: int = 1) -> None:
    events = [
        routing.CacheEvent(first + index, True, block)
        for index, block in enumerate(PROMPT)
    ]
    cache.apply_events(ids.ServerId(server), events, events[-1].sequence, 0.0)


def test_a_hot_prefix_does_not_make_one_server_the_bottleneck() -> None:
    """Every planner asks about the same storm, and all wait for one of six servers.

    Six in ten prompts share a prefix. Pinned to the server that has it cached, they
    wait for minutes while the other servers idle.
    """
    spread = patterns.measure("hot prefix, busy", "celeryspan", (1,))
    pinned = patterns.measure("hot prefix, busy", "pinned by prefix", (1,))
    assert spread["busiest_over_mean"] < 1.1
    assert spread["wait_p99"] < pinned["wait_p99"] / 5


def test_prefixes_are_reused_at_half_load_though_events_are_lost() -> None:
    blind = patterns.measure("many prefixes, half load", "no affinity", (1,))
    lossy = patterns.measure(
        "many prefixes, half load", "celeryspan, 30% of events lost", (1,)
    )
    assert lossy["seconds_per_call"] < 0.7 * blind["seconds_per_call"]


def test_a_gap_lowers_trust_and_answers_restore_it() -> None:
    cache = routing.CacheMap()
    store(cache, "s0")
    assert cache.expected_blocks(NAMES[0], PROMPT) == 4.0
    store(cache, "s0", first=40)
    assert cache.expected_blocks(NAMES[0], PROMPT) < 4.0
    for _ in range(30):
        cache.record_cached(NAMES[0], expected=4, cached=4)
    assert cache.expected_blocks(NAMES[0], PROMPT) > 3.9


def test_first_prompts_do_not_lower_trust() -> None:
    """A farm's season history is sent to the server that has it, prompt by prompt.

    Each prompt ends in blocks that no server has seen. Held against the whole prompt,
    every answer looked like a broken promise, and trust fell to its floor everywhere.
    """
    cache = routing.CacheMap()
    store(cache, "s0")
    for number in range(30):
        prompt = (*PROMPT, 1000 + number)
        expected = cache.record_sent(NAMES[0], prompt, 0.0)
        cache.record_cached(NAMES[0], expected, cached=4)
    assert cache.expected_blocks(NAMES[0], PROMPT) == 4.0


def test_a_server_that_has_started_again_is_believed_empty() -> None:
    cache = routing.CacheMap()
    store(cache, "s0", first=100)
    cache.apply_events(NAMES[0], [], 0, 1.0)
    assert cache.expected_blocks(NAMES[0], PROMPT) == 0.0


def test_memory_is_bounded() -> None:
    cache = routing.CacheMap(max_pairs=100)
    for block in range(1000):
        cache.record_sent(NAMES[block % 5], (block,), 0.0)
    assert cache.count_pairs() <= 100


def test_best_elsewhere_leaves_out_the_server_itself() -> None:
    cache = routing.CacheMap()
    store(cache, "s0")
    cache.record_sent(NAMES[1], PROMPT[:2], 0.0)
    assert cache.max_expected_elsewhere(NAMES[0], PROMPT) == 2.0
    assert cache.max_expected_elsewhere(NAMES[1], PROMPT) == 4.0


def test_routers_that_have_just_started_spread_prefixes_and_agree() -> None:
    """All routers restart at once and one server gets every prompt.

    None knows any cache yet; choosing the first of equals sends all to the same server.
    """
    rng = random.Random(1)
    chosen = collections.Counter()
    candidates = [routing.Candidate(name, 16, 0) for name in NAMES]
    for prefix in range(500):
        work = make_work((prefix,))
        picks = {
            routing.AffinityRouting(routing.CacheMap()).choose_server(
                work, candidates, 0.0, rng
            )
            for _ in range(3)
        }
        assert len(picks) == 1
        chosen[picks.pop()] += 1
    assert max(chosen.values()) < 2 * min(chosen.values())


def test_full_and_excluded_servers_are_not_chosen() -> None:
    control = routing.AffinityRouting(routing.CacheMap())
    candidates = [routing.Candidate(NAMES[0], 8, 8), routing.Candidate(NAMES[1], 8, 7)]
    rng = random.Random(1)
    assert control.choose_server(make_work(PROMPT), candidates, 0.0, rng) == NAMES[1]
    assert control.choose_server(make_work(PROMPT), candidates[:1], 0.0, rng) is None
