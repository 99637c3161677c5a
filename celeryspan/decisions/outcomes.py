"""State machine that determines the reported outcome of a request.

Connections may be cut, silent or refused at any step of a request, answers may be lost
and servers may leave. Without a single record of a request's progress, some code path
reports "not run" for a request whose bytes have been sent, and the caller books a
second time.

A request is reported as "not run" only while it is certain that none of its bytes have
been sent, or after the backend server has declined it. It is reported as "ran" only
once the answer proves it; the response head alone does not, since some services send it
before they act. Otherwise the outcome is "unknown". A request that is not idempotent is
exposed to at most one server that has not declined it.
"""

from __future__ import annotations

from celeryspan import states
from celeryspan.decisions import retries

_State = states.RequestState


class IllegalTransition(Exception):
    """Raised for a transition that the current state does not permit.

    The state is unchanged.
    """


class RequestProgress:
    """Progress of one request.

    Each transition is recorded before the action that it stands for, so that a fault
    during the action leaves the more conservative state.

    Attributes
    ----------
    state : RequestState
        The current state.
    exposure : Exposure
        What servers may have done with the request.
    """

    def __init__(self, *, idempotent: bool) -> None:
        self.exposure = retries.Exposure(is_repeatable=idempotent)
        self.state = _State.QUEUED
        self._ran = False

    @property
    def outcome(self) -> states.Outcome:
        """Outcome that can be reported in the current state."""
        if self._ran:
            return states.Outcome.RAN
        if self.exposure.may_have_run:
            return states.Outcome.UNKNOWN
        return states.Outcome.NOT_RUN

    def grant(self) -> None:
        """Record that a slot was granted."""
        self._transition({_State.QUEUED}, _State.GRANTED)

    def release(self) -> None:
        """Record that the slot is returned unused and nothing was sent."""
        self._transition({_State.GRANTED}, _State.QUEUED)

    def send(self) -> None:
        """Record that the first byte is about to be sent."""
        if self._ran or not self.exposure.may_send:
            raise IllegalTransition("cannot resend a request that may have run")
        self._transition({_State.GRANTED}, _State.SENT)
        self.exposure.record_send()

    def record_decline(self) -> None:
        """Record that the server declined the last send without running the request.

        The effect of earlier sends remains unknown.
        """
        self._transition({_State.SENT}, _State.QUEUED)
        self.exposure.record_not_run()

    def record_connection_loss(self) -> None:
        """Record that the connection failed before the answer proved a run."""
        if self._ran:
            raise IllegalTransition("cannot lose a request that is confirmed as run")
        self._transition({_State.SENT, _State.ANSWERING}, _State.QUEUED)

    def answer(self) -> None:
        """Record that the first bytes of an answer have arrived."""
        self._transition({_State.SENT}, _State.ANSWERING)

    def confirm(self) -> None:
        """Record that the answer proves a run: it is complete or contains tokens."""
        self._transition({_State.ANSWERING}, _State.ANSWERING)
        self._ran = True

    def settle(self) -> states.Outcome:
        """End the request in any state and return its outcome."""
        self.state = _State.SETTLED
        return self.outcome

    def _transition(
        self, sources: set[states.RequestState], to: states.RequestState
    ) -> None:
        if self.state not in sources:
            raise IllegalTransition(
                f"illegal transition: {self.state.value} -> {to.value}"
            )
        self.state = to
