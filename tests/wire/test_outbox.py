"""The outbox is bounded and sends the newest state."""

from __future__ import annotations

from celeryspan.wire import messages, outbox


def make_demand(account: int, waiting: int) -> messages.Demand:
    return messages.Demand("llm", f"account-{account}", waiting, 0.0, waiting, 1.0)


def make_grant(number: int) -> messages.Grant:
    return messages.Grant(number, "gpu-1", "llm", "desk", 1.0)


def test_slow_peer_gets_only_the_newest_state() -> None:
    """A peer reads nothing for a minute while 16 accounts report every 20 ms.

    A plain queue would hold 48,000 outdated reports.
    """
    box = outbox.Outbox()
    for waiting in range(3_000):
        for account in range(16):
            box.put(make_demand(account, waiting), waiting * 0.02)
    assert len(box) == 16
    assert {demand.waiting for demand in box.take_batch(60.0)} == {2_999}
    assert len(box) == 0


def test_events_are_bounded_and_the_oldest_are_dropped() -> None:
    box = outbox.Outbox()
    for number in range(outbox.EVENTS_MAX + 10):
        box.put(make_grant(number), 0.0)
    assert len(box) == outbox.EVENTS_MAX
    assert box.dropped == 10
    assert box.take_batch(0.0)[0].grant == 10


def test_old_grant_is_not_sent() -> None:
    box = outbox.Outbox()
    box.put(make_grant(1), 0.0)
    box.put(make_grant(2), 1.0)
    assert [grant.grant for grant in box.take_batch(1.0)] == [2]


def test_state_of_a_failed_link_is_sent_again_unless_a_newer_one_is_queued() -> None:
    box = outbox.Outbox()
    box.put(make_demand(1, 5), 0.0)
    box.put(make_demand(2, 5), 0.0)
    box.take_batch(0.0)
    box.put(make_demand(1, 0), 1.0)
    box.requeue_sent(2.0)
    assert set(box.take_batch(2.0)) == {make_demand(1, 0), make_demand(2, 5)}


def test_states_sent_long_before_a_failure_are_not_sent_again() -> None:
    box = outbox.Outbox()
    box.put(make_demand(1, 5), 0.0)
    box.take_batch(0.0)
    box.requeue_sent(outbox.RESEND_SECONDS + 1)
    assert len(box) == 0
