"""Final results of forwarded requests: errors for callers, metrics and log events."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, states
from celeryspan.adapters import backend

if TYPE_CHECKING:
    from celeryspan import metrics
    from celeryspan.gateway import orders, requestprogress


def record_answered(
    metrics_service: metrics.Metrics,
    order: orders.Order,
    progress: requestprogress.Progress,
    server: ids.ServerId,
) -> None:
    """Record metrics and a log event for an answered request.

    Parameters
    ----------
    server : ServerId
        The server that answered last; empty if its error was returned later.
    """
    now = time.monotonic()
    account = order.account or ids.AccountId("")
    took = now - order.received_at
    first = None
    if progress.first_event_at is not None:
        first = round(progress.first_event_at - order.received_at, 3)
        metrics_service.observe_first_token(order.service, account, first)
    cost = float(order.incoming.prompt_tokens or 1)
    metrics_service.observe_request(
        order.service, account, states.Outcome.RAN, took, cost
    )
    events.log(
        events.Event.REQUEST_SETTLED,
        request=order.request,
        server=server,
        account=account,
        attempts=progress.sends,
        waited=round(progress.last_sent_at - order.received_at, 3),
        first=first,
        objective=order.route.target_latency,
        gap=round(progress.longest_gap, 3),
        gap_max=order.route.gap_max,
        seconds=round(took, 3),
        prompt=order.incoming.prompt_tokens,
        outcome=states.Outcome.RAN.value,
        framing=progress.reply.framing.value if progress.reply else "",
        rest=progress.reply.rest_bytes if progress.reply else 0,
    )


def make_refusal(
    order: orders.Order,
    progress: requestprogress.Progress,
    refusal: errors.NotRun,
) -> Exception:
    """Return the refusal, or the error that replaces it once a request was sent."""
    if progress.is_answering:
        return make_answer_lost(progress, str(refusal))
    if progress.may_have_run:
        return make_outcome_unknown(order, progress, str(refusal))
    return refusal


def make_outcome_unknown(
    order: orders.Order, progress: requestprogress.Progress, reason: str
) -> errors.OutcomeUnknown:
    """Return the error for a request that was sent and may have run."""
    timed_out = progress.timed_out or order.remaining_seconds() <= 0
    return errors.OutcomeUnknown(
        f"sent {progress.sends} times without a complete answer: {reason}",
        code="answer-lost",
        status=504 if timed_out else 502,
        step="read answer",
    )


def make_answer_lost(
    progress: requestprogress.Progress, reason: str
) -> backend.AnswerLost:
    """Return the error for an answer that was started and cannot be completed."""
    return backend.AnswerLost(
        f"stream ended after event {progress.last_event!r}: {reason}",
        step="pass on",
    )
