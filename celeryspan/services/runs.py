"""One attempt of a call at one backend server."""

from __future__ import annotations

import time

from celeryspan import calls, dispatch, errors, events, ids, states
from celeryspan.adapters import backend
from celeryspan.decisions import outcomes, retries
from celeryspan.services import backends, observations


class Failure(errors.CeleryspanError):
    """An attempt failed; ``sent`` says what is known about its bytes."""

    def __init__(self, cause: Exception, sent: retries.Sent, peer: str) -> None:
        text = getattr(cause, "message", "") or repr(cause)
        super().__init__(text, step=getattr(cause, "step", "") or "send", peer=peer)
        self.sent = sent


class Run:
    """A slot, a link and a request on its way.

    Attributes
    ----------
    name : RequestId
        The id under which the backend server knows this attempt.
    ended : bool
        Whether the slot has been given back.
    """

    def __init__(
        self,
        pool: backends.Backends,
        slot: dispatch.Slot,
        progress: outcomes.RequestProgress,
        observation: observations.Observation,
        name: ids.RequestId,
    ) -> None:
        self.pool = pool
        self.slot = slot
        self.progress = progress
        self.observation = observation
        self.name = name
        self.link: backend.Connection | None = None
        self._started = time.monotonic()
        self.ended = False

    def open(self, call: calls.Call) -> None:
        """Open a link; nothing is sent yet. Raises Failure."""
        if call.cancellation.is_cancelled or time.monotonic() >= call.deadline:
            # A process that was stopped and goes on finds its clock moved: the caller
            # has been given up long ago and must not be surprised by a late run.
            self.progress.release()
            cancelled = call.cancellation.is_cancelled
            code = "caller-left" if cancelled else "deadline-passed"
            raise errors.NotRun(
                "nobody waits for the answer any more",
                code=code,
                status=503,
                retry_after=1.0,
                step="send",
            )
        try:
            self.link = self.pool.connect(self.slot.server, fresh=not call.idempotent)
        except errors.NotRun as error:
            self.end(dispatch.Ending.FAILED, 0.0)
            self.progress.release()
            raise Failure(error, retries.Sent.NOTHING, self.slot.server) from error

    def send(self, call: calls.Call) -> None:
        """Take the last look, then let the first byte go. Raises Failure."""
        try:
            self.slot.use()
        except errors.NotRun as error:
            self.abandon(dispatch.Ending.CANCELLED)
            self.progress.release()
            raise Failure(error, retries.Sent.NOTHING, self.slot.server) from error
        self.progress.send()
        events.log(
            events.Event.REQUEST_SENT,
            request=call.request,
            run=self.name,
            server=self.slot.server,
        )
        call.cancellation.on_cancel(self.wake)

    def wake(self) -> None:
        """Wake the thread that reads the answer; its caller has left."""
        if self.link is not None:
            backends.abort(self.link)

    def fail(self, cause: Exception) -> Failure:
        """Settle a failure after the first byte and return what to raise."""
        declined = isinstance(cause, backend.Declined)
        ending = dispatch.Ending.FAILED
        if declined:
            self.progress.record_decline()
            if cause.leaving:
                ending = dispatch.Ending.LEAVING
        else:
            self.progress.record_connection_loss()
            if isinstance(cause, backends.TIMEOUT_ERRORS):
                ending = dispatch.Ending.TIMED_OUT
        self.abandon(ending)
        sent = retries.Sent.REFUSED if declined else retries.Sent.MAYBE
        return Failure(cause, sent, self.slot.server)

    def abandon(self, ending: dispatch.Ending, cost: float = 0.0) -> None:
        """Close the link, whose answer nobody reads to its end, and end the slot."""
        if self.link is not None:
            self.link.close()
        self.end(ending, cost)

    def finish(self, cost: float) -> None:
        """Keep the link, whose answer has been read to its end, and end the slot."""
        if self.link is not None:
            self.pool.keep(self.link)
        self.end(dispatch.Ending.ANSWERED, cost)

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        """Give the slot back, once."""
        if self.ended:
            return
        self.ended = True
        self.slot.end(ending, cost)
        if self.progress.outcome is states.Outcome.RAN:
            self.observation.end(states.Outcome.RAN, cost)

    @property
    def milliseconds(self) -> float:
        """Time since the slot was given: the cost units of plain services.

        In seconds nearly all calls would cost less than one unit, which is the step
        of the cost histogram and of many bounds.
        """
        return 1000.0 * (time.monotonic() - self._started)
