"""Limits on the requests that wait in a pool, and on the time that each waits."""

from __future__ import annotations

import random

from celeryspan import ids
from celeryspan.decisions import placing, poolqueue
from celeryspan.wire import messages

WAIT_TIMEOUT_SHARE = 0.25
"""Share of the timeout after which a waiting request is refused, so that the caller
still has time to retry. A late answer is worth more to it than none."""

WAIT_OBJECTIVES_MAX = 3.0
"""Latency objectives after which a waiting request is refused: callers abandon a stream
without an event after four of them."""

START_MARGIN_SECONDS = 0.1
"""A request counts as in time only if it could start this much later, because a server
may have this much prefill pending. Without the margin, requests placed last would be
answered late."""

ACCOUNT_QUEUE_OBJECTIVES = 3.0
"""Work that one account may have waiting at its placement rate, in latency objectives:
as long as a request waits at most."""

ACCOUNT_QUEUE_PER_SERVER_MIN = 16
"""Requests of one account that may wait per server, whatever its placement rate."""

RETRY_JITTER = 0.5
"""Largest random part added to the retry time of refused callers, relative to it."""

RETRY_SECONDS_MIN = 0.05


def make_task(
    placer: placing.Placer,
    router: ids.RouterId,
    ask: messages.SlotRequest,
    now: float,
) -> poolqueue.Task:
    """Return a request with the times until which it may wait."""
    arrived = now - ask.waited
    first_event = placer.estimate_first_event(ask)
    wait_max = min(
        ask.timeout * WAIT_TIMEOUT_SHARE, ask.objective * WAIT_OBJECTIVES_MAX
    )
    return poolqueue.Task(
        ask,
        router,
        arrived_at=now,
        start_by=arrived + ask.objective - first_event - START_MARGIN_SECONDS,
        give_up_at=arrived + wait_max - first_event,
        end_at=arrived + ask.timeout,
        is_long=placer.is_long(ask),
        work=placer.estimate_work(ask),
    )


def count_waiting_max(ask: messages.SlotRequest, rate: float) -> float:
    """Return how many requests of an account may wait at its placement rate."""
    return rate * ask.objective * ACCOUNT_QUEUE_OBJECTIVES


def spread_retry(wait: float, generator: random.Random) -> float:
    """Return when a refused caller should retry after an expected wait, in seconds."""
    jitter = 1.0 + RETRY_JITTER * generator.random()
    return max(RETRY_SECONDS_MIN, wait) * jitter
