"""One attempt of a call at one backend server."""

from __future__ import annotations

import time

from celeryspan import calls, dispatch, errors, events, ids, states
from celeryspan.adapters import backend
from celeryspan.decisions import outcomes
from celeryspan.services import backends, observations


class RunFailure(errors.CeleryspanError):
    """An attempt failed."""

    def __init__(self, cause: Exception, peer: str) -> None:
        text = getattr(cause, "message", "") or repr(cause)
        super().__init__(text, step=getattr(cause, "step", "") or "send", peer=peer)


class Run:
    """One attempt of a request: its slot, its link and its progress.

    Attributes
    ----------
    id : RequestId
        The id under which the backend server knows this attempt.
    ended : bool
        Whether the slot has been released.
    """

    def __init__(
        self,
        pool: backends.BackendConnections,
        slot: dispatch.Slot,
        progress: outcomes.RequestProgress,
        observation: observations.Observation,
        run_id: ids.RequestId,
    ) -> None:
        self.pool = pool
        self.slot = slot
        self.progress = progress
        self.observation = observation
        self.id = run_id
        self.link: backend.Connection | None = None
        self._started = time.monotonic()
        self.ended = False

    def open(self, call: calls.Call) -> None:
        """Open a link without sending anything.

        Raises
        ------
        RunFailure
            If the connection fails.
        errors.NotRun
            If the caller no longer waits.
        """
        if call.cancellation.is_cancelled or time.monotonic() >= call.deadline:
            # A process that resumes after a suspension finds its deadlines passed. The
            # caller has given up long ago, so the request must not run late.
            self.progress.release()
            code = (
                "deadline-passed"
                if not call.cancellation.is_cancelled
                else "caller-left"
            )
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
            raise RunFailure(error, self.slot.server) from error

    def send(self, call: calls.Call) -> None:
        """Check the slot and mark the request as sent, before the first byte.

        Raises
        ------
        RunFailure
            If the slot has expired.
        """
        try:
            self.slot.use()
        except errors.NotRun as error:
            self.abandon(dispatch.Ending.CANCELLED)
            self.progress.release()
            raise RunFailure(error, self.slot.server) from error
        self.progress.send()
        events.log(
            events.Event.REQUEST_SENT,
            request=call.request,
            run=self.id,
            server=self.slot.server,
        )
        call.cancellation.on_cancel(self.abort_read)

    def abort_read(self) -> None:
        """Unblock the thread that reads the answer, after the caller has left."""
        if self.link is not None:
            self.link.abort("the request was cancelled")

    def fail(self, cause: Exception) -> RunFailure:
        """Record a failure after the first byte and return the exception to raise."""
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
        return RunFailure(cause, self.slot.server)

    def abandon(self, ending: dispatch.Ending, cost: float = 0.0) -> None:
        """Close the link, whose answer is read only in part, and release the slot."""
        if self.link is not None:
            self.link.close()
        self.end(ending, cost)

    def finish(self, cost: float) -> None:
        """Keep the link, whose answer has been read fully, and release the slot."""
        if self.link is not None:
            self.pool.release(self.link)
        self.end(dispatch.Ending.ANSWERED, cost)

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        """Release the slot; later calls do nothing."""
        if self.ended:
            return
        self.ended = True
        self.slot.end(ending, cost)
        if self.progress.outcome is states.Outcome.RAN:
            self.observation.end(states.Outcome.RAN, cost)

    @property
    def elapsed_milliseconds(self) -> float:
        """Time since the slot was granted: the cost in units of plain services.

        In seconds, nearly all calls would cost less than one unit, which is the
        resolution of the cost histogram and of many limits.
        """
        return 1000.0 * (time.monotonic() - self._started)
