"""What may be said about whether a request ran.

Load and faults it answers: connections cut, silent or refused at any step of a
request, answers lost, servers leaving. Without one place that knows how far a request
has come, some path answers "not run" for a request whose bytes have left, and a
caller books a second time.

The rule: "not run" may be said only while it is certain that no byte of the request
has left, or after the backend server itself said that it declined; "ran" only once
the answer proves it (a head alone does not: some services send it before they act);
"unknown" otherwise. A request that is not idempotent is exposed to a server once.
"""

from __future__ import annotations

from celeryspan import states

_State = states.RequestState


class IllegalTransition(Exception):
    """A step was asked for that would break the rule; nothing was changed."""


class RequestProgress:
    """How far one request has come.

    Steps are called before the action that they stand for, so that a fault in the
    middle of an action finds the more careful state.

    Attributes
    ----------
    state : RequestState
        The current state.
    sends : int
        How often the request has been written to a backend server.
    exposed : bool
        Whether some written byte may have reached a server that has not declined.
    """

    def __init__(self, *, idempotent: bool) -> None:
        self.idempotent = idempotent
        self.state = _State.QUEUED
        self.sends = 0
        self.exposed = False
        self._exposed_before_send = False
        self._ran = False

    @property
    def outcome(self) -> states.Outcome:
        """What may be said at this moment."""
        if self._ran:
            return states.Outcome.RAN
        return states.Outcome.UNKNOWN if self.exposed else states.Outcome.NOT_RUN

    @property
    def may_send(self) -> bool:
        """Whether another server may be given the request."""
        return not self._ran and (self.idempotent or not self.exposed)

    def grant(self) -> None:
        """Note that a slot was given."""
        self._transition({_State.QUEUED}, _State.GRANTED)

    def release(self) -> None:
        """Note that the slot goes back unused: nothing was written."""
        self._transition({_State.GRANTED}, _State.QUEUED)

    def send(self) -> None:
        """Note that the first byte leaves now."""
        if not self.may_send:
            raise IllegalTransition(
                "a request that may have run must not be sent again"
            )
        self._transition({_State.GRANTED}, _State.SENT)
        self.sends += 1
        self._exposed_before_send = self.exposed
        self.exposed = True

    def record_decline(self) -> None:
        """Note that the server says it did not run what was last sent.

        What an earlier send may have done stays unknown.
        """
        self._transition({_State.SENT}, _State.QUEUED)
        self.exposed = self._exposed_before_send

    def record_connection_loss(self) -> None:
        """Note that the connection failed before it was known that the server ran."""
        if self._ran:
            raise IllegalTransition("an answer that proves the run can't be taken back")
        self._transition({_State.SENT, _State.ANSWERING}, _State.QUEUED)

    def answer(self) -> None:
        """Note that the first bytes of an answer are here."""
        self._transition({_State.SENT}, _State.ANSWERING)

    def confirm(self) -> None:
        """Note that the answer proves the run: it is whole, or holds tokens."""
        self._transition({_State.ANSWERING}, _State.ANSWERING)
        self._ran = True

    def settle(self) -> states.Outcome:
        """End the request, in whatever state, and return its outcome."""
        self.state = _State.SETTLED
        return self.outcome

    def _transition(
        self, sources: set[states.RequestState], to: states.RequestState
    ) -> None:
        if self.state not in sources:
            raise IllegalTransition(f"no way from {self.state.value} to {to.value}")
        self.state = to
