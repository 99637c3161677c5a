"""Admission control: answers received by callers and retry times of refusals."""

from __future__ import annotations

import itertools

import pytest

from bench import admission as patterns, one_router
from celeryspan import dispatch, errors, ids
from celeryspan.decisions import admission, queueing

SERVICE = ids.ServiceId("planner-llm")


def make_work(name: str, account: str = "a", deadline: float = 100.0) -> dispatch.Work:
    return dispatch.Work(ids.RequestId(name), SERVICE, ids.AccountId(account), deadline)


def play(pattern: str, case: str = "celeryspan") -> list[one_router.Record]:
    router = one_router.Router(patterns.make_servers(), patterns.CASES[case], seed=1)
    return router.run(patterns.PATTERNS[pattern](1))


def share_answered(records: list[one_router.Record], accounts: str) -> float:
    selected = [one for one in records if one.call.account in accounts]
    return sum(one.answered_at is not None for one in selected) / len(selected)


def test_a_flooding_account_does_not_affect_the_others() -> None:
    """Guards against one account that starves all others.

    One caller sends nine times the capacity of the servers in a loop. In a single queue
    its requests are ahead of all others, which are refused or answered too late.
    """
    assert share_answered(play("hot caller"), "bcd") > 0.99
    assert share_answered(play("hot caller", "one queue, open"), "bcd") < 0.5


def test_others_keep_their_wait_through_a_burst() -> None:
    """Guards against a burst that delays the requests of other accounts.

    A batch of 600 prompts takes every free slot within a second. In a single queue all
    other requests wait behind the batch; with separate queues they get the next slots
    that become free.
    """

    def wait_p99(case: str) -> float:
        calls = [one for one in play("burst", case) if one.call.account in "bcd"]
        return sorted(one.wait for one in calls)[int(0.99 * len(calls))]

    assert wait_p99("celeryspan") < 2.0
    assert wait_p99("one queue, open") > 6.0


@pytest.mark.parametrize("factor", ["x2", "x10"])
def test_overload_still_answers_about_what_the_servers_can_do(factor: str) -> None:
    """Guards against congestion collapse: all slots are busy but every answer is late.

    Under steady overload an unbounded queue grows until each request starts just before
    its deadline. Refusing requests that cannot finish in time keeps the slots for those
    that can.
    """
    records = play(f"overload {factor}")
    in_time = sum(one.call.cost for one in records if one.answered_at is not None)
    capacity = patterns.CAPACITY * patterns.MEAN_COST * patterns.SECONDS
    assert in_time > 0.8 * capacity


def test_every_refused_caller_was_not_run() -> None:
    refused = {reason.value for reason in admission.Reason}
    for record in play("overload x10"):
        if record.code in refused:
            assert record.runs == 0
            assert record.ended_at is not None


def test_callers_refused_together_are_told_different_times() -> None:
    """Guards against retries that arrive all at once.

    Callers refused in the same second with the same `Retry-After` return together and
    are refused again.
    """
    queues = queueing.Queues()
    control = admission.Admission(queues, admission.AdmissionLimits(waiting=10))
    for index in range(10):
        control.admit(make_work(f"w{index}"), 1, 1.0, 0.0, 0.5)
    for at in range(1, 6):
        queues.pick(SERVICE, ids.AccountId("a"), ids.ServerId("s"), float(at))
        control.admit(make_work(f"x{at}"), 1, 1.0, float(at), 0.5)
    told = []
    for index in range(20):
        verdict = control.admit(make_work(f"r{index}"), 1, 1.0, 5.0, 0.0)
        assert isinstance(verdict, admission.Refused)
        told.append(verdict.retry_after)
    gaps = [later - sooner for sooner, later in itertools.pairwise(told)]
    assert min(gaps) == pytest.approx(1.0, rel=0.1)


def test_a_deadline_out_of_reach_is_refused_at_entry() -> None:
    queues = queueing.Queues()
    control = admission.Admission(queues)
    for index in range(20):
        control.admit(make_work(f"w{index}"), 1, 1.0, 0.0, 0.5)
    for at in range(1, 5):
        queues.pick(SERVICE, ids.AccountId("a"), ids.ServerId("s"), float(at))
    verdict = control.admit(make_work("late", deadline=10.0), 1, 1.0, 4.0, 0.5)
    assert isinstance(verdict, admission.Refused)
    assert verdict.reason is admission.Reason.DEADLINE_UNREACHABLE
    error = verdict.make_error()
    assert isinstance(error, errors.NotRun)
    assert error.status == 503


def test_the_account_with_most_waiting_bytes_is_shed() -> None:
    """Guards against refusing a small request when another account fills the memory."""
    queues = queueing.Queues()
    bounds = admission.AdmissionLimits(total_bytes=100)
    control = admission.Admission(queues, bounds)
    for index in range(10):
        control.admit(make_work(f"big{index}", "big"), 10, 1.0, float(index), 0.5)
    verdict = control.admit(make_work("small", "small"), 15, 1.0, 20.0, 0.5)
    assert isinstance(verdict, admission.Admitted)
    assert [one.request for one in verdict.shed] == ["big9", "big8"]
    assert queues.total_bytes <= bounds.total_bytes
    again = control.admit(make_work("more", "big"), 30, 1.0, 21.0, 0.5)
    assert isinstance(again, admission.Refused)
    assert again.reason is admission.Reason.MEMORY_FULL
