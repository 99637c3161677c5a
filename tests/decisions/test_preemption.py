"""Tests for the choice of the stream to preempt."""

from __future__ import annotations

from celeryspan import ids
from celeryspan.decisions import preemption

AIRLINE, HANDLER = map(ids.AccountId, ("airline", "handler"))
LEVELS = {AIRLINE: 9000.0, HANDLER: 1000.0}


def make_stream(
    name: str, account: ids.AccountId, streamed: float
) -> preemption.Stream:
    return preemption.Stream(ids.RequestId(name), account, streamed)


def test_stream_that_is_cheapest_to_recompute_is_cancelled() -> None:
    """Long streams of one account hold all slots while another account waits.

    The account is 8,000 units ahead. The stream that has just begun is the cheapest to
    resume.
    """
    streams = [make_stream("a", AIRLINE, 900.0), make_stream("b", AIRLINE, 20.0)]
    found = preemption.pick_victim(LEVELS, [HANDLER], streams, 2000.0)
    assert found == streams[1]


def test_nothing_is_cancelled_without_a_large_lead_or_without_waiting_accounts() -> (
    None
):
    streams = [make_stream("a", AIRLINE, 900.0), make_stream("c", HANDLER, 5.0)]
    assert preemption.pick_victim(LEVELS, [HANDLER], streams, 8000.0) is None
    assert preemption.pick_victim(LEVELS, [], streams, 1.0) is None
    assert preemption.pick_victim(LEVELS, [AIRLINE], streams, 1.0) is None
