"""Admission, judged by what callers receive and by what refusals promise."""

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
    mine = [one for one in records if one.call.account in accounts]
    return sum(one.answered_at is not None for one in mine) / len(mine)


def test_a_hot_caller_does_not_touch_the_others() -> None:
    """Ground handlers get no confirmations while one airline's script loops.

    The script sends nine times what the servers can do. In one queue its requests
    stand before everyone's, and all callers are refused or answered too late.
    """
    assert share_answered(play("hot caller"), "bcd") > 0.99
    assert share_answered(play("hot caller", "one queue, open"), "bcd") < 0.5


def test_others_keep_their_wait_through_a_burst() -> None:
    """A planner's batch of 600 prompts holds up the stand checks of all others.

    The batch takes every free slot within a second. In one queue the others then wait
    behind all of it; with their own queues they get the next slots that fall free.
    """

    def wait_p99(case: str) -> float:
        calls = [one for one in play("burst", case) if one.call.account in "bcd"]
        return sorted(one.wait for one in calls)[int(0.99 * len(calls))]

    assert wait_p99("celeryspan") < 2.0
    assert wait_p99("one queue, open") > 6.0


@pytest.mark.parametrize("factor", ["x2", "x10"])
def test_overload_still_answers_about_what_the_servers_can_do(factor: str) -> None:
    """Every caller waits, gives up, and nobody is answered though all slots are busy.

    Under steady overload an open queue grows until each request is started when its
    caller has all but left; refusing early those whose time cannot suffice keeps the
    slots for requests that are answered in time.
    """
    records = play(f"overload {factor}")
    in_time = sum(one.call.cost for one in records if one.answered_at is not None)
    could = patterns.CAPACITY * patterns.MEAN_COST * patterns.SECONDS
    assert in_time > 0.8 * could


def test_every_refused_caller_was_not_run() -> None:
    refused = {reason.value for reason in admission.Reason}
    for record in play("overload x10"):
        if record.code in refused:
            assert record.runs == 0
            assert record.ended_at is not None


def test_callers_refused_together_are_told_different_times() -> None:
    """Five hundred planners press the button again in the same second.

    All were refused at once and told the same `Retry-After`, so that they come back
    together and are refused together again.
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


def test_the_account_with_most_waiting_bytes_gives_way() -> None:
    """A farmer's short note is refused because an airline's uploads fill the memory."""
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
