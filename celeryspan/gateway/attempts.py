"""The kernel service ``attempts``: whether a request may be sent to one more server.

A repeat needs a route that allows it, an attempt and time that are left, a caller who
still waits, and a part of the fleet's budget. Without one of them the request ends
here, with what may be said of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, kernel
from celeryspan.adapters import backend
from celeryspan.gateway import endings, orders, requestprogress

if TYPE_CHECKING:
    from celeryspan.gateway import budgets

RETRY_SECONDS_MIN = 0.05
"""With less time left a repeat can't be answered."""

SILENCE_TIMEOUT_OBJECTIVES = 3.0
"""A repeatable plain request that is not answered within this many of its objectives is
sent to another server: its own has stopped, or lost the answer."""

REJECTED_RETRY_AFTER_SECONDS = 0.2
"""When to come back after a server was full: its queue drains within this time."""


@kernel.register("attempts", needs=("budgets",))
class Attempts:
    """Decides on repeats, and takes them from the budget."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._budgets: budgets.RetryBudgets = box.find("budgets")

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def handle_rejection(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        declined: backend.Declined,
    ) -> None:
        """Let a request that was not run be sent again, or refuse it."""
        if self.reserve_retry(order, progress):
            return
        if progress.server_failure is not None or progress.is_answering:
            raise endings.make_answer_lost(progress, declined.message)
        if progress.may_have_run:
            raise endings.make_outcome_unknown(order, progress, declined.message)
        raise errors.NotRun(
            f"rejected: {declined.message}",
            code="server-full",
            status=503,
            retry_after=REJECTED_RETRY_AFTER_SECONDS,
            step=declined.step,
            peer=declined.peer,
        )

    def handle_lost_answer(
        self,
        order: orders.Order,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Let a request whose answer is lost be sent again, or end it."""
        progress.may_have_run = True
        if order.presence.gone:
            raise ConnectionAbortedError("the caller has left")
        can_retry = order.route.is_repeatable and self.reserve_retry(order, progress)
        if can_retry:
            event = events.Event.STREAM_RESUMED
            if progress.is_answering:
                events.log(event, request=order.request, above=progress.last_event)
            return
        if progress.is_answering:
            raise endings.make_answer_lost(progress, lost.message)
        raise endings.make_outcome_unknown(order, progress, lost.message)

    def may_abandon_silent_server(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> bool:
        """Whether a silent server may be left for another one."""
        return (
            order.route.kind is catalog.RouteKind.IDEMPOTENT
            and progress.sends + 1 < order.route.attempts_max
        )

    def compute_silence_timeout(self, order: orders.Order) -> float:
        """Return after how many seconds a server counts as silent."""
        return SILENCE_TIMEOUT_OBJECTIVES * order.route.target_latency

    def reserve_retry(
        self, order: orders.Order, progress: requestprogress.Progress
    ) -> bool:
        """Whether one more server may get the request; takes it from the budget."""
        if progress.may_have_run and not order.route.is_repeatable:
            return False
        if progress.is_answering and not progress.last_event:
            return False
        if progress.sends >= order.route.attempts_max:
            return False
        if order.remaining_seconds() < RETRY_SECONDS_MIN or order.presence.gone:
            return False
        return self._budgets.try_take(order.service)
