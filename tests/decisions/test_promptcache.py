"""What a home believes one engine to keep."""

from __future__ import annotations

from celeryspan.decisions import promptcache
from celeryspan.wire import messages


def make_parts(**tokens: int) -> list[messages.PromptPart]:
    """Return parts of so many tokens."""
    return [messages.PromptPart(name, count) for name, count in tokens.items()]


def test_list_of_the_engine_adds_to_what_is_known_and_goes_first() -> None:
    cache = promptcache.PromptCache(1_000)
    cache.record_use(make_parts(a=400, b=200), ready_at=5.0)
    cache.add_cached_parts(make_parts(a=400, c=300), now=1.0)
    assert cache.count_cached(make_parts(c=300)) == 300
    assert cache.count_copyable(make_parts(c=300), now=1.0) == 300
    assert cache.count_copyable(make_parts(a=400), now=1.0) == 0
    cache.record_use(make_parts(d=200), ready_at=6.0)
    assert cache.count_cached(make_parts(c=300)) == 0
    assert cache.count_cached(make_parts(a=400, b=200)) == 600


def test_list_that_is_longer_than_the_memory_pushes_nothing_out() -> None:
    cache = promptcache.PromptCache(1_000)
    cache.record_use(make_parts(a=800), ready_at=0.0)
    cache.add_cached_parts(make_parts(b=300), now=1.0)
    assert cache.count_cached(make_parts(a=800)) == 800
    assert cache.count_cached(make_parts(b=300)) == 0
