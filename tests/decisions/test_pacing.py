"""The rate limit that feedback loops share."""

from __future__ import annotations

import pytest

from celeryspan.decisions import pacing


@pytest.mark.parametrize("loop", list(pacing.FeedbackLoop))
def test_changes_keep_to_burst_and_interval(loop: pacing.FeedbackLoop) -> None:
    pace = loop.value
    pacer = pacing.RateLimiter(pace)
    step = pace.interval / 10
    allowed = sum(pacer.allow("key", index * step) for index in range(1001))
    assert pace.burst + 98 <= allowed <= pace.burst + 100


def test_keys_do_not_share_a_limit_and_old_times_earn_nothing() -> None:
    pacer = pacing.RateLimiter(pacing.RateLimit(1.0))
    assert pacer.allow("a", 10.0)
    assert pacer.allow("b", 10.0)
    assert not pacer.allow("a", 3.0)
    pacer.forget("a")
    assert pacer.allow("a", 10.0)
