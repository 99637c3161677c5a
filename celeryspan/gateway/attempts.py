"""The kernel service ``attempts``: retries requests, or ends them with an error.

Whether a request may be sent to another server is decided by
:mod:`celeryspan.decisions.retries`; here a retry is taken from the fleet's budget. The
error of a request that is not retried states whether it may have run.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, kernel
from celeryspan.adapters import backend
from celeryspan.decisions import retries
from celeryspan.gateway import endings, orders, requestprogress

if TYPE_CHECKING:
    from celeryspan.gateway import budgets, replies

RETRY_SECONDS_MIN = 0.05
"""Minimum time before the deadline for a retry; with less it cannot be answered."""

SILENCE_TIMEOUT_OBJECTIVES = 3.0
"""Timeout for the answer to an idempotent request, as a multiple of the route's target
latency. After it the request is sent to another server: the first one has stopped or
lost the answer."""

REJECTED_RETRY_AFTER_SECONDS = 0.2
"""Retry-After when a server was full; its queue drains within this time."""


@kernel.register("attempts", needs=("budgets",))
class Attempts:
    """Decides on retries and takes them from the budget."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._budgets: budgets.RetryBudgets = container.find("budgets")

    def start(self) -> None:
        """Do nothing: the service has no background work."""

    def stop(self) -> None:
        """Do nothing: the service holds no resources."""

    def handle_rejection(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        declined: backend.Declined,
        rest: float | None,
    ) -> None:
        """Return if a rejected request is to be retried; raise an error if not.

        Parameters
        ----------
        rest : float or None
            Seconds until the first server ends its rest, if all of them rest.
        """
        if self.reserve_retry(order, progress):
            return
        if progress.server_failure is not None or progress.is_answering:
            raise endings.make_answer_lost(progress, declined.message)
        if progress.may_have_run:
            raise endings.make_outcome_unknown(order, progress, declined.message)
        raise errors.NotRun(
            f"the server rejected the request: {declined.message}",
            code="condition-failed" if declined.conditional else "server-full",
            status=421 if declined.conditional else 503,
            retry_after=max(REJECTED_RETRY_AFTER_SECONDS, rest or 0.0),
            step=declined.step,
            peer=declined.peer,
        )

    def handle_lost_answer(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Return if a request without an answer is to be retried; raise if not."""
        if order.cancellation.is_cancelled:
            raise ConnectionAbortedError("the caller closed the connection")
        if self.reserve_retry(order, progress):
            event = events.Event.STREAM_RESUMED
            if progress.is_answering:
                events.log(event, request=order.request, above=progress.last_event)
            return
        if progress.is_answering:
            raise endings.make_answer_lost(progress, lost.message)
        raise endings.make_outcome_unknown(order, progress, lost.message)

    def check_promise(self, order: orders.Order, reply: replies.Reply) -> None:
        """Check that the status of an answer promises the caller nothing untrue.

        Raises
        ------
        errors.OutcomeUnknown
            If the status tells callers that a request has not run, which the server
            does not state, and the request must not run twice.
        """
        if reply.is_unproved_refusal and not order.route.is_repeatable:
            raise errors.OutcomeUnknown(
                f"status {reply.status} without a statement that nothing was run",
                code="answer-unproved",
                status=502,
                step="read answer",
                peer=reply.entry.server,
            )

    def may_abandon_silent_server(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> bool:
        """Return whether a server that does not answer may be replaced by another."""
        return (
            order.route.kind is catalog.RouteKind.IDEMPOTENT
            and progress.sends + 1 < order.route.attempts_max
        )

    def compute_silence_timeout(self, order: orders.Order) -> float:
        """Return the seconds to wait for an answer before another server is tried."""
        return SILENCE_TIMEOUT_OBJECTIVES * order.route.target_latency

    def reserve_retry(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> bool:
        """Return whether the request may be retried, taking one retry if it may."""
        attempt = retries.Attempt(
            service=order.service,
            idempotent=order.route.is_repeatable,
            sent=progress.exposure.sent,
            number=progress.sends,
            deadline=order.deadline - RETRY_SECONDS_MIN,
            answering=progress.is_answering,
            resumable=bool(progress.last_event),
            attempts_max=order.route.attempts_max,
            cancelled=order.cancellation.is_cancelled,
        )
        if retries.find_obstacle(attempt, time.monotonic()) is not None:
            return False
        progress.has_unsent_retry = self._budgets.try_take(order.service)
        return progress.has_unsent_retry

    def return_retry(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> None:
        """Return a retry to the budget if no server could take the request.

        The home knows which servers reject, and refuses the retry at once; a check here
        would need a message for each request.
        """
        if progress.has_unsent_retry:
            progress.has_unsent_retry = False
            self._budgets.give_back(order.service)
