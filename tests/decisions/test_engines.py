"""What a prompt costs an engine and the streams beside it."""

from __future__ import annotations

import pytest

from celeryspan.decisions import accountshares, engines, promptcache, serverhealth
from celeryspan.wire import messages

MODEL = engines.EngineModel()


def make_parts(*parts: tuple[str, int]) -> list[messages.PromptPart]:
    """Return the parts of a prompt."""
    return [messages.PromptPart(name, tokens) for name, tokens in parts]


def test_late_chunks_are_dearer() -> None:
    first = MODEL.read_seconds(4096, 0)
    late = MODEL.read_seconds(4096, 40_000)
    assert late > 2 * first
    whole = MODEL.read_seconds(8192, 0)
    assert whole == pytest.approx(first + MODEL.read_seconds(4096, 4096))


def test_pause_beside_a_prompt_grows_with_it_and_is_bounded_by_steps() -> None:
    pauses = [MODEL.gap_seconds(n, 0, 6, 24) for n in (0, 4096, 20_000, 50_000)]
    assert pauses == sorted(pauses)
    assert pauses[1] < 0.1 < 0.3 < pauses[3]
    # Beyond six chunks only the last six count.
    assert MODEL.gap_seconds(25_000, 25_000, 6, 24) == pytest.approx(pauses[3], rel=0.1)


def test_part_is_of_use_only_behind_kept_parts() -> None:
    cache = promptcache.PromptCache(1000)
    cache.record_use(make_parts(("a", 100), ("b", 200)), 0.0)
    assert cache.count_cached(make_parts(("a", 100), ("b", 200), ("c", 50))) == 300
    assert cache.count_cached(make_parts(("x", 10), ("b", 200))) == 0


def test_least_recently_used_parts_yield_and_shared_ones_stay_longest() -> None:
    cache = promptcache.PromptCache(1000)
    for number in range(20):
        cache.record_use(make_parts(("shared", 300), (f"own-{number}", 200)), 0.0)
    assert cache.count_cached(make_parts(("shared", 300))) == 300
    assert cache.count_cached(make_parts(("shared", 300), ("own-0", 200))) == 300
    cache.clear()
    assert cache.count_cached(make_parts(("shared", 300))) == 0


def test_shares_fade_and_nothing_is_saved_up() -> None:
    shares = accountshares.AccountShares()
    shares.charge("flood", 9000.0, 0.0)
    shares.charge("calm", 1000.0, 0.0)
    assert shares.level("flood") > shares.level("calm") > shares.level("new") == 0.0
    shares.charge("calm", 1000.0, 12.0)
    assert shares.level("flood") < shares.level("calm")


def test_server_that_accepts_no_connection_rests_for_longer_each_time() -> None:
    health = serverhealth.ServerHealth()
    health.record_failure(0.0, unreachable=True)
    assert health.is_backing_off(0.4) and not health.is_backing_off(0.6)
    health.record_failure(1.0, unreachable=True)
    assert health.is_backing_off(1.9) and not health.is_backing_off(2.1)
    health.record_success()
    health.record_failure(3.0, unreachable=True)
    assert not health.is_backing_off(3.6)


def test_server_that_fails_now_and_then_is_dearer_and_does_not_rest() -> None:
    health = serverhealth.ServerHealth()
    for _ in range(20):
        health.record_success()
        health.record_failure(0.0)
    assert 0.3 < health.failure_rate < 0.7
    assert not health.is_backing_off(0.0)


def test_parts_that_are_still_to_be_read_can_not_be_copied() -> None:
    """Two requests about a new subject come at once and go to two engines.

    The second one would ask the first engine for what it has not read yet, wait for
    nothing and read it all the same.
    """
    cache = promptcache.PromptCache(10_000)
    parts = make_parts(("a", 100), ("b", 200))
    cache.record_use(parts[:1], 1.0)
    cache.record_use(parts, 2.0)
    assert cache.count_cached(parts) == 300
    assert [cache.count_copyable(parts, now) for now in (0.5, 1.5, 2.5)] == [
        0,
        100,
        300,
    ]
