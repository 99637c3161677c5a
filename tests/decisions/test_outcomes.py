"""Tests that the reported outcome of a request matches what the servers did."""

from __future__ import annotations

import pytest
from hypothesis import stateful, strategies

from celeryspan import states
from celeryspan.decisions import outcomes

_State = states.RequestState


class RequestMachine(stateful.RuleBasedStateMachine):
    """Applies every fault to one request, in every order.

    Guards against an answer of "not run" for a request that a server has run, after
    which the caller sends it again and books twice. The state machine records what each
    server did and compares it with the reported outcome.
    """

    runs = 0
    sends_without_decline = 0

    @stateful.initialize(idempotent=strategies.booleans())
    def begin(self, idempotent: bool) -> None:
        self.idempotent = idempotent
        self.progress = outcomes.RequestProgress(idempotent=idempotent)

    def is_in(self, *found: states.RequestState) -> bool:
        return self.progress.state in found

    @stateful.precondition(lambda self: self.is_in(_State.QUEUED))
    @stateful.rule()
    def grant(self) -> None:
        self.progress.grant()

    @stateful.precondition(lambda self: self.is_in(_State.GRANTED))
    @stateful.rule()
    def fail_before_sending(self) -> None:
        self.progress.release()

    @stateful.precondition(lambda self: self.is_in(_State.GRANTED))
    @stateful.rule(ran=strategies.booleans())
    def send(self, ran: bool) -> None:
        """Send the request; whether the server runs it is unknown to the router."""
        try:
            self.progress.send()
        except outcomes.IllegalTransition:
            return
        self.sends_without_decline += 1
        self.last_ran = ran
        self.runs += ran

    @stateful.precondition(lambda self: self.is_in(_State.SENT) and not self.last_ran)
    @stateful.rule()
    def decline(self) -> None:
        self.progress.record_decline()
        self.sends_without_decline -= 1

    @stateful.precondition(lambda self: self.is_in(_State.SENT, _State.ANSWERING))
    @stateful.rule()
    def lose_connection(self) -> None:
        if self.progress.outcome is states.Outcome.RAN:
            with pytest.raises(outcomes.IllegalTransition):
                self.progress.record_connection_loss()
        else:
            self.progress.record_connection_loss()

    @stateful.precondition(lambda self: self.is_in(_State.SENT))
    @stateful.rule()
    def answer(self) -> None:
        self.progress.answer()

    @stateful.precondition(lambda self: self.is_in(_State.ANSWERING) and self.last_ran)
    @stateful.rule()
    def confirm(self) -> None:
        self.progress.confirm()

    @stateful.rule()
    def settle(self) -> None:
        self.progress.settle()

    @stateful.invariant()
    def outcome_matches_runs(self) -> None:
        if not hasattr(self, "progress"):
            return
        if self.progress.outcome is states.Outcome.NOT_RUN:
            assert self.runs == 0
        if self.progress.outcome is states.Outcome.RAN:
            assert self.runs > 0

    @stateful.invariant()
    def non_idempotent_request_is_exposed_once(self) -> None:
        if hasattr(self, "progress") and not self.idempotent:
            assert self.sends_without_decline <= 1
            assert self.runs <= 1


TestRequestMachine = RequestMachine.TestCase


def test_lost_request_stays_unknown_after_another_server_declines() -> None:
    progress = outcomes.RequestProgress(idempotent=True)
    progress.grant()
    progress.send()
    progress.record_connection_loss()
    progress.grant()
    progress.send()
    progress.record_decline()
    assert progress.settle() is states.Outcome.UNKNOWN


def test_illegal_transitions_are_rejected() -> None:
    progress = outcomes.RequestProgress(idempotent=False)
    with pytest.raises(outcomes.IllegalTransition):
        progress.send()
    with pytest.raises(outcomes.IllegalTransition):
        progress.answer()
