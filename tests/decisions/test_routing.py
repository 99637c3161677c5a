"""Tests for prefix affinity, by caller wait times and server load."""

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


def test_hot_prefix_does_not_overload_one_server() -> None:
    """Guards against strict affinity for a hot prefix.

    Six in ten prompts share a prefix. Pinned to the one of six servers that has it
    cached, they wait for minutes while the other servers idle.
    """
    spread = patterns.measure("hot prefix, busy", "celeryspan", (1,))
    pinned = patterns.measure("hot prefix, busy", "pinned by prefix", (1,))
    assert spread["busiest_over_mean"] < 1.1
    assert spread["wait_p99"] < pinned["wait_p99"] / 5


def test_prefixes_are_reused_at_half_load_despite_lost_events() -> None:
    blind = patterns.measure("many prefixes, half load", "no affinity", (1,))
    lossy = patterns.measure(
        "many prefixes, half load", "celeryspan, 30% of events lost", (1,)
    )
    assert lossy["seconds_per_call"] < 0.7 * blind["seconds_per_call"]


def test_event_gap_lowers_confidence_and_answers_restore_it() -> None:
    cache = routing.CacheMap()
    store(cache, "s0")
    assert cache.expected_blocks(NAMES[0], PROMPT) == 4.0
    store(cache, "s0", first=40)
    assert cache.expected_blocks(NAMES[0], PROMPT) < 4.0
    for _ in range(30):
        cache.record_cached(NAMES[0], expected=4, cached=4)
    assert cache.expected_blocks(NAMES[0], PROMPT) > 3.9


def test_new_blocks_do_not_lower_confidence() -> None:
    """Guards against counting new blocks of a prompt as cache misses.

    Prompts with a shared prefix end in blocks that no server has seen. When the cached
    blocks were compared with the whole prompt, every answer counted as a miss, and the
    confidence in all servers fell to its minimum.
    """
    cache = routing.CacheMap()
    store(cache, "s0")
    for number in range(30):
        prompt = (*PROMPT, 1000 + number)
        expected = cache.record_sent(NAMES[0], prompt, 0.0)
        cache.record_cached(NAMES[0], expected, cached=4)
    assert cache.expected_blocks(NAMES[0], PROMPT) == 4.0


def test_restarted_server_is_assumed_empty() -> None:
    cache = routing.CacheMap()
    store(cache, "s0", first=100)
    cache.apply_events(NAMES[0], [], 0, 1.0)
    assert cache.expected_blocks(NAMES[0], PROMPT) == 0.0


def test_number_of_pairs_is_bounded() -> None:
    cache = routing.CacheMap(max_pairs=100)
    for block in range(1000):
        cache.record_sent(NAMES[block % 5], (block,), 0.0)
    assert cache.count_pairs() <= 100


def test_max_expected_elsewhere_excludes_the_server_itself() -> None:
    cache = routing.CacheMap()
    store(cache, "s0")
    cache.record_sent(NAMES[1], PROMPT[:2], 0.0)
    assert cache.max_expected_elsewhere(NAMES[0], PROMPT) == 2.0
    assert cache.max_expected_elsewhere(NAMES[1], PROMPT) == 4.0


def test_restarted_routers_spread_prefixes_and_agree() -> None:
    """Guards against one server getting every prompt after all routers restart.

    No router has cache data yet, so choosing the first of equal servers would send all
    prompts to the same one.
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
