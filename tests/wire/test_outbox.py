"""An outbox stays small and sends the newest state."""

from __future__ import annotations

from celeryspan.wire import messages, outbox


def make_demand(account: int, waiting: int) -> messages.Demand:
    return messages.Demand("llm", f"account-{account}", waiting, 0.0, waiting, 1.0)


def make_grant(number: int) -> messages.Grant:
    return messages.Grant(number, "gpu-1", "llm", "desk", 1.0)


def test_slow_peer_gets_the_newest_state_only() -> None:
    """A peer reads nothing for a minute while each account reports each 20 ms.

    A queue would hold 48,000 reports that are no longer true.
    """
    box = outbox.Outbox()
    for waiting in range(3_000):
        for account in range(16):
            box.put(make_demand(account, waiting), waiting * 0.02)
    assert len(box) == 16
    assert {demand.waiting for demand in box.take(60.0)} == {2_999}
    assert len(box) == 0


def test_events_are_bounded_and_the_oldest_dropped() -> None:
    box = outbox.Outbox()
    for number in range(outbox.EVENTS_MAX + 10):
        box.put(make_grant(number), 0.0)
    assert len(box) == outbox.EVENTS_MAX
    assert box.dropped == 10
    assert box.take(0.0)[0].grant == 10


def test_grant_that_waited_too_long_is_not_sent() -> None:
    box = outbox.Outbox()
    box.put(make_grant(1), 0.0)
    box.put(make_grant(2), 1.0)
    assert [grant.grant for grant in box.take(1.0)] == [2]


def test_state_of_a_failed_link_is_sent_again_unless_newer_waits() -> None:
    box = outbox.Outbox()
    box.put(make_demand(1, 5), 0.0)
    box.put(make_demand(2, 5), 0.0)
    box.take(0.0)
    box.put(make_demand(1, 0), 1.0)
    box.restore(2.0)
    assert set(box.take(2.0)) == {make_demand(1, 0), make_demand(2, 5)}


def test_old_states_are_not_sent_again() -> None:
    box = outbox.Outbox()
    box.put(make_demand(1, 5), 0.0)
    box.take(0.0)
    box.restore(outbox.RESEND_SECONDS + 1)
    assert len(box) == 0
