"""Which attempts are retried, and how many retries a failing service receives."""

from __future__ import annotations

import pytest
from hypothesis import stateful, strategies

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


class RetryMachine(stateful.RuleBasedStateMachine):
    """Guards against a request that runs twice, or that is "not run" and has run."""

    runs = 0
    is_sent = False

    @stateful.initialize(
        is_repeatable=strategies.booleans(),
        attempts_max=strategies.integers(1, 6),
        deadline=strategies.floats(0.1, 10.0),
    )
    def begin(self, is_repeatable: bool, attempts_max: int, deadline: float) -> None:
        self.is_repeatable, self.attempts_max = is_repeatable, attempts_max
        self.deadline, self.now = deadline, 0.0
        self.exposure = retries.Exposure(is_repeatable=is_repeatable)
        self.is_answering = self.has_position = self.is_cancelled = False

    def find_obstacle(self) -> retries.Obstacle | None:
        attempt = retries.Attempt(
            SERVICE,
            self.is_repeatable,
            self.exposure.sent,
            self.exposure.sends,
            self.deadline,
            answering=self.is_answering,
            resumable=self.has_position,
            attempts_max=self.attempts_max,
            cancelled=self.is_cancelled,
        )
        return retries.find_obstacle(attempt, self.now)

    @stateful.precondition(lambda self: not self.is_sent)
    @stateful.rule(ran=strategies.booleans())
    def send(self, ran: bool) -> None:
        """Send the request as soon as no obstacle is found, and the first time."""
        if self.exposure.sends and self.find_obstacle() is not None:
            return
        self.exposure.record_send()
        self.is_sent, self.last_ran = True, ran
        self.runs += ran

    @stateful.precondition(lambda self: self.is_sent and not self.last_ran)
    @stateful.rule()
    def refuse(self) -> None:
        """Let the server state that it did not run the request."""
        self.exposure.record_not_run()
        self.is_sent = False

    @stateful.precondition(lambda self: self.is_sent)
    @stateful.rule()
    def fail(self) -> None:
        """Let the server answer a failure, break off or stay silent."""
        self.is_sent = False

    @stateful.precondition(lambda self: self.is_sent and self.last_ran)
    @stateful.rule(has_position=strategies.booleans())
    def begin_answer(self, has_position: bool) -> None:
        """Pass a part of an answer on, in a stream that may be resumed or not."""
        self.is_answering = True
        self.has_position = has_position and self.is_repeatable

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule()
    def leave(self) -> None:
        self.is_cancelled = True

    @stateful.precondition(lambda self: not self.exposure.may_send)
    @stateful.rule()
    def send_against_the_decision(self) -> None:
        """Send without asking; only a run that was moved may go on elsewhere."""
        sends = self.exposure.sends
        with pytest.raises(retries.IllegalSend):
            self.exposure.record_send()
        assert self.exposure.sends == sends

    @stateful.invariant()
    def request_that_is_not_repeatable_runs_once(self) -> None:
        if hasattr(self, "exposure") and not self.is_repeatable:
            assert self.runs <= 1

    @stateful.invariant()
    def attempts_stay_within_their_maximum(self) -> None:
        if hasattr(self, "exposure"):
            assert self.exposure.sends <= self.attempts_max

    @stateful.invariant()
    def not_run_is_true(self) -> None:
        if hasattr(self, "exposure") and self.exposure.sent is not retries.Sent.MAYBE:
            assert self.runs == 0

    @stateful.invariant()
    def nobody_is_served_in_vain(self) -> None:
        if hasattr(self, "exposure") and self.exposure.sends:
            if self.is_cancelled or self.now >= self.deadline:
                assert self.find_obstacle() is not None


TestRetryMachine = RetryMachine.TestCase


def test_run_that_was_moved_may_be_continued() -> None:
    """Guards against moved runs that end, since their request may have run."""
    exposure = retries.Exposure(is_repeatable=False)
    exposure.record_send()
    exposure.record_send(is_same_run=True)
    exposure.record_not_run()
    assert exposure.may_have_run
