"""What may be said about a request, checked against a world that knows the truth."""

from __future__ import annotations

import pytest
from hypothesis import stateful, strategies

from celeryspan import states
from celeryspan.decisions import outcomes

_State = states.RequestState


class World(stateful.RuleBasedStateMachine):
    """One request whose steps meet every fault in every order.

    The story: a planner's confirmation is answered "not run" though a server had read
    it; she sends it again and books two aircraft onto one gate. The machine knows
    what each server did, and holds what the caller may be told against it.
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
        """Let the server read the bytes and run the request, or not: nobody knows."""
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
    def lose(self) -> None:
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
    def tell_the_truth(self) -> None:
        if not hasattr(self, "progress"):
            return
        if self.progress.outcome is states.Outcome.NOT_RUN:
            assert self.runs == 0
        if self.progress.outcome is states.Outcome.RAN:
            assert self.runs > 0

    @stateful.invariant()
    def expose_once(self) -> None:
        if hasattr(self, "progress") and not self.idempotent:
            assert self.sends_without_decline <= 1
            assert self.runs <= 1


TestWorld = World.TestCase


def test_a_lost_request_stays_unknown_after_another_server_declines() -> None:
    progress = outcomes.RequestProgress(idempotent=True)
    progress.grant()
    progress.send()
    progress.record_connection_loss()
    progress.grant()
    progress.send()
    progress.record_decline()
    assert progress.settle() is states.Outcome.UNKNOWN


def test_steps_out_of_order_are_refused() -> None:
    progress = outcomes.RequestProgress(idempotent=False)
    with pytest.raises(outcomes.IllegalTransition):
        progress.send()
    with pytest.raises(outcomes.IllegalTransition):
        progress.answer()
