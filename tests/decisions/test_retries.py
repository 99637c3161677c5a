"""What is repeated, what is not, and how much a failing service gets."""

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
def test_a_call_that_may_have_run_is_not_repeated(jitter: float) -> None:
    """Two aircraft stand on one gate: a confirmation was sent twice.

    The connection broke after the request had left; the server had carried it out and
    its answer was lost. A second attempt books the gate again.
    """
    verdict = retries.RetryPolicy().decide(
        make_attempt(retries.Sent.MAYBE), 0.0, jitter
    )
    assert verdict == retries.GiveUp(states.Outcome.UNKNOWN, "outcome-unknown")


@pytest.mark.parametrize("sent", [retries.Sent.NOTHING, retries.Sent.REFUSED])
def test_what_was_not_sent_is_repeated(sent: retries.Sent) -> None:
    verdict = retries.RetryPolicy().decide(make_attempt(sent), 0.0, 0.5)
    assert verdict == retries.Retry(retries.BACKOFF_SECONDS)


def test_an_answer_that_has_begun_is_not_started_again() -> None:
    attempt = make_attempt(retries.Sent.MAYBE, idempotent=True, answering=True)
    verdict = retries.RetryPolicy().decide(attempt, 0.0, 0.5)
    assert verdict == retries.GiveUp(states.Outcome.UNKNOWN, "answer-cut")


def test_what_is_given_up_unsent_is_called_not_run() -> None:
    attempt = make_attempt(retries.Sent.NOTHING, number=retries.MAX_ATTEMPTS)
    verdict = retries.RetryPolicy().decide(attempt, 0.0, 0.5)
    assert verdict == retries.GiveUp(states.Outcome.NOT_RUN, "attempts-spent")


def test_a_failing_service_gets_hardly_more_than_its_load() -> None:
    """A service that stumbled for a second stays down for minutes.

    Each of 1,000 failed requests is repeated twice, so that the servers get three times
    the load at which they have just failed.
    """
    control = retries.RetryPolicy()
    attempt = make_attempt(retries.Sent.MAYBE, idempotent=True)
    verdicts = [control.decide(attempt, 0.0, 0.5) for _ in range(1000)]
    repeated = sum(isinstance(one, retries.Retry) for one in verdicts)
    assert repeated == retries.BUDGET_MAX


def test_no_retry_after_the_deadline() -> None:
    attempt = make_attempt(retries.Sent.NOTHING)
    verdict = retries.RetryPolicy().decide(attempt, 99.99, 0.5)
    assert verdict == retries.GiveUp(states.Outcome.NOT_RUN, "deadline-passed")
