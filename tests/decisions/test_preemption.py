"""Which stream is cancelled for an account that is far behind."""

from __future__ import annotations

from celeryspan import ids
from celeryspan.decisions import preemption

AIRLINE, HANDLER = map(ids.AccountId, ("airline", "handler"))
LEVELS = {AIRLINE: 9000.0, HANDLER: 1000.0}


def make_stream(
    name: str, account: ids.AccountId, streamed: float
) -> preemption.Stream:
    return preemption.Stream(ids.RequestId(name), account, streamed)


def test_the_stream_with_the_least_to_compute_again_is_cancelled() -> None:
    """An airline's long answers hold all slots while the gate desk waits.

    It is 8,000 units ahead. The answer that has just begun costs least to resume.
    """
    streams = [make_stream("a", AIRLINE, 900.0), make_stream("b", AIRLINE, 20.0)]
    found = preemption.pick_victim(LEVELS, [HANDLER], streams, 2000.0)
    assert found == streams[1]


def test_nobody_is_cancelled_who_is_not_far_ahead_or_while_nobody_waits() -> None:
    streams = [make_stream("a", AIRLINE, 900.0), make_stream("c", HANDLER, 5.0)]
    assert preemption.pick_victim(LEVELS, [HANDLER], streams, 8000.0) is None
    assert preemption.pick_victim(LEVELS, [], streams, 1.0) is None
    assert preemption.pick_victim(LEVELS, [AIRLINE], streams, 1.0) is None
