"""Request queues of one router: order, deadlines, long requests and demand."""

from __future__ import annotations

import pytest

from celeryspan import dispatch, ids
from celeryspan.decisions import queueing

SERVICE = ids.ServiceId("planner-llm")
ACCOUNT = ids.AccountId("gate-desk")
SERVER = ids.ServerId("s1")


def make_work(name: str, deadline: float = 100.0, **rest: object) -> dispatch.Work:
    return dispatch.Work(ids.RequestId(name), SERVICE, ACCOUNT, deadline, **rest)


def fill(names: str, cost: float = 1.0) -> queueing.Queues:
    queues = queueing.Queues()
    for name in names:
        queues.add(make_work(name), 10, cost, 0.0)
    return queues


def pick(
    queues: queueing.Queues, affinity: queueing.Affinity | None = None
) -> str | None:
    entry = queues.pick(SERVICE, ACCOUNT, SERVER, 1.0, affinity)
    return entry.work.request if entry else None


def test_picks_in_order_of_arrival_without_affinity() -> None:
    queues = fill("abc")
    assert [pick(queues) for _ in range(4)] == ["a", "b", "c", None]


def test_an_older_request_is_overtaken_a_bounded_number_of_times() -> None:
    """Guards against starvation of a request without a cached prefix.

    Each grant finds a younger request with a higher affinity to the server. Without a
    limit the oldest request waits until its deadline while slots are granted.
    """
    queues = fill("a")
    for index in range(queueing.MAX_OVERTAKES):
        queues.add(make_work(f"younger{index}"), 10, 1.0, 0.0)
        assert pick(queues, lambda work: float(work.request != "a")) != "a"
    queues.add(make_work("younger-last"), 10, 1.0, 0.0)
    assert pick(queues, lambda work: float(work.request != "a")) == "a"


def test_expired_requests_are_returned_at_once_and_only_once() -> None:
    queues = queueing.Queues()
    queues.add(make_work("a", deadline=2.0), 10, 1.0, 0.0)
    queues.add(make_work("b", deadline=9.0), 10, 1.0, 0.0)
    assert queues.next_deadline() == 2.0
    assert [entry.work.request for entry in queues.expire(2.0)] == ["a"]
    assert queues.expire(2.0) == []
    assert (queues.next_deadline(), queues.total_bytes) == (9.0, 10)


def test_a_server_that_failed_a_request_is_not_given_it_again() -> None:
    queues = queueing.Queues()
    queues.add(make_work("a", excluded=frozenset({SERVER})), 10, 1.0, 0.0)
    assert pick(queues) is None
    assert queues.waiting(SERVICE, ACCOUNT) == 1


def test_requeued_request_is_first_again() -> None:
    queues = fill("abc")
    assert pick(queues) == "a"
    queues.requeue(ids.RequestId("a"), 1.0)
    assert pick(queues, lambda work: float(work.request == "c")) == "a"


def test_long_requests_hold_at_most_their_share_while_short_ones_wait() -> None:
    """Guards against long requests that take all slots of an account.

    An account sends many long requests and then short ones. In order of arrival, long
    requests occupy every slot of the account for minutes.
    """
    queues = fill("abcdefgh", cost=1.0)
    for name in "LMN":
        queues.add(make_work(name), 10, 50.0, 0.0)
    first = [pick(queues, lambda work: float(work.request in "LMN")) for _ in "1234"]
    assert sum(name in "LMN" for name in first) <= queueing.MAX_LONG_SLOT_SHARE * 4


def test_drain_rate_counts_only_backlogged_time() -> None:
    queues = fill("abcd")
    for at in (0.5, 1.0, 1.5, 2.0):
        queues.pick(SERVICE, ACCOUNT, SERVER, at)
    rate = queues.drain_rate(SERVICE, ACCOUNT, 500.0)
    assert rate == pytest.approx(2.0, rel=0.1)


def test_demand_reports_what_waits() -> None:
    queues = fill("ab", cost=7.0)
    demand = queues.demand(SERVICE, ACCOUNT, 3, 4.0)
    assert (demand.waiting, demand.oldest_age, demand.cost_estimate) == (2, 4.0, 7.0)
    assert queues.demand(SERVICE, ids.AccountId("none"), 4, 4.0).waiting == 0
