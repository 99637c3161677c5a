"""Which attempts are retried, and how many retries a failing service receives."""

from __future__ import annotations

import pytest

from celeryspan import ids, states
from celeryspan.decisions import retries

SERVICE = ids.ServiceId("gate-desk")


def make_attempt(
    sent: retries.Sent, idempotent: bool = False, number: int = 1, **rest: bool
) -> retries.Attempt:
    return retries.Attempt(SERVICE, idempotent, sent, number, 100.0, **rest)


@pytest.mark.parametrize("jitter", [0.0, 0.99])
def test_request_that_may_have_run_is_not_retried(jitter: float) -> None:
    """A non-idempotent request must not run twice.

    The connection breaks after the request was sent: the server may have run it and
    only the answer was lost.
    """
    decision = retries.RetryPolicy().decide(
        make_attempt(retries.Sent.MAYBE), 0.0, jitter
    )
    assert decision == retries.GiveUp(states.Outcome.UNKNOWN, "outcome-unknown")


@pytest.mark.parametrize("sent", [retries.Sent.NOTHING, retries.Sent.REFUSED])
def test_request_that_certainly_did_not_run_is_retried(sent: retries.Sent) -> None:
    decision = retries.RetryPolicy().decide(make_attempt(sent), 0.0, 0.5)
    assert decision == retries.Retry(retries.BACKOFF_SECONDS)


def test_request_is_not_retried_after_its_answer_has_begun() -> None:
    attempt = make_attempt(retries.Sent.MAYBE, idempotent=True, answering=True)
    decision = retries.RetryPolicy().decide(attempt, 0.0, 0.5)
    assert decision == retries.GiveUp(states.Outcome.UNKNOWN, "answer-cut")


def test_unsent_request_is_reported_as_not_run_after_the_last_attempt() -> None:
    attempt = make_attempt(retries.Sent.NOTHING, number=retries.MAX_ATTEMPTS)
    decision = retries.RetryPolicy().decide(attempt, 0.0, 0.5)
    assert decision == retries.GiveUp(states.Outcome.NOT_RUN, "attempts-spent")


def test_retry_budget_limits_the_load_on_a_failing_service() -> None:
    """Retries must not keep a service down after a short failure.

    If each of 1,000 failed requests were retried twice, the servers would receive three
    times the load under which they just failed.
    """
    policy = retries.RetryPolicy()
    attempt = make_attempt(retries.Sent.MAYBE, idempotent=True)
    decisions = [policy.decide(attempt, 0.0, 0.5) for _ in range(1000)]
    retried = sum(isinstance(one, retries.Retry) for one in decisions)
    assert retried == retries.BUDGET_MAX


def test_no_retry_after_the_deadline() -> None:
    attempt = make_attempt(retries.Sent.NOTHING)
    decision = retries.RetryPolicy().decide(attempt, 99.99, 0.5)
    assert decision == retries.GiveUp(states.Outcome.NOT_RUN, "deadline-passed")
