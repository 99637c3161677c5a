"""Tests for the rate limiter of feedback loops."""

from __future__ import annotations

import pytest

from celeryspan.decisions import ratelimits


@pytest.mark.parametrize("loop", list(ratelimits.FeedbackLoop))
def test_changes_respect_burst_and_interval(loop: ratelimits.FeedbackLoop) -> None:
    limit = loop.value
    limiter = ratelimits.RateLimiter(limit)
    step = limit.interval / 10
    allowed = sum(limiter.allow("key", index * step) for index in range(1001))
    assert limit.burst + 98 <= allowed <= limit.burst + 100


def test_keys_have_separate_buckets_and_earlier_times_add_no_tokens() -> None:
    limiter = ratelimits.RateLimiter(ratelimits.RateLimit(1.0))
    assert limiter.allow("a", 10.0)
    assert limiter.allow("b", 10.0)
    assert not limiter.allow("a", 3.0)
    limiter.forget("a")
    assert limiter.allow("a", 10.0)
