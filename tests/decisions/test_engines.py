"""Tests for the engine cost model and the state kept for placement."""

from __future__ import annotations

import pytest

from celeryspan.decisions import accountshares, engines, promptcache, serverhealth
from celeryspan.wire import messages

MODEL = engines.EngineModel()


def make_parts(*parts: tuple[str, int]) -> list[messages.PromptPart]:
    """Build prompt parts from names and token counts."""
    return [messages.PromptPart(name, tokens) for name, tokens in parts]


def test_late_chunks_cost_more() -> None:
    first = MODEL.prefill_seconds(4096, 0)
    late = MODEL.prefill_seconds(4096, 40_000)
    assert late > 2 * first
    whole = MODEL.prefill_seconds(8192, 0)
    assert whole == pytest.approx(first + MODEL.prefill_seconds(4096, 4096))


def test_stream_gap_grows_with_the_prompt_and_is_bounded_by_the_stride() -> None:
    gaps = [MODEL.max_gap_seconds(n, 0, 6, 24) for n in (0, 4096, 20_000, 50_000)]
    assert gaps == sorted(gaps)
    assert gaps[1] < 0.1 < 0.3 < gaps[3]
    # A stride of six steps holds at most the last six chunks.
    assert MODEL.max_gap_seconds(25_000, 25_000, 6, 24) == pytest.approx(
        gaps[3], rel=0.1
    )


def test_part_counts_as_cached_only_after_a_cached_prefix() -> None:
    cache = promptcache.PromptCache(1000)
    cache.record_use(make_parts(("a", 100), ("b", 200)), 0.0)
    assert cache.count_cached(make_parts(("a", 100), ("b", 200), ("c", 50))) == 300
    assert cache.count_cached(make_parts(("x", 10), ("b", 200))) == 0


def test_least_recently_used_parts_are_evicted_and_shared_parts_stay() -> None:
    cache = promptcache.PromptCache(1000)
    for number in range(20):
        cache.record_use(make_parts(("shared", 300), (f"own-{number}", 200)), 0.0)
    assert cache.count_cached(make_parts(("shared", 300))) == 300
    assert cache.count_cached(make_parts(("shared", 300), ("own-0", 200))) == 300
    cache.clear()
    assert cache.count_cached(make_parts(("shared", 300))) == 0


def test_account_shares_decay_without_accruing_credit() -> None:
    shares = accountshares.AccountShares()
    shares.charge("heavy", 9000.0, 0.0)
    shares.charge("light", 1000.0, 0.0)
    assert shares.level("heavy") > shares.level("light") > shares.level("new") == 0.0
    shares.charge("light", 1000.0, 12.0)
    assert shares.level("heavy") < shares.level("light")


def test_unreachable_server_backs_off_longer_after_each_failure() -> None:
    health = serverhealth.ServerHealth()
    health.record_failure(0.0, unreachable=True)
    assert health.is_backing_off(0.4) and not health.is_backing_off(0.6)
    health.record_failure(1.0, unreachable=True)
    assert health.is_backing_off(1.9) and not health.is_backing_off(2.1)
    health.record_success()
    health.record_failure(3.0, unreachable=True)
    assert not health.is_backing_off(3.6)


def test_intermittent_failures_raise_the_failure_rate_without_backoff() -> None:
    health = serverhealth.ServerHealth()
    for _ in range(20):
        health.record_success()
        health.record_failure(0.0)
    assert 0.3 < health.failure_rate < 0.7
    assert not health.is_backing_off(0.0)


def test_parts_not_yet_prefilled_can_not_be_copied() -> None:
    """Guards against copying prompt parts from an engine that has not prefilled them.

    Two requests with the same new prefix arrive together and go to two engines. The
    second engine would request the parts from the first, wait in vain and prefill them
    anyway.
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
