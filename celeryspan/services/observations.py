"""Metrics and log events of one request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from celeryspan import calls, errors, events, states

if TYPE_CHECKING:
    from celeryspan import metrics


class Observation:
    """Records the latencies and the outcome of one request from its acceptance."""

    def __init__(self, request_metrics: metrics.Metrics, call: calls.Call) -> None:
        self._metrics = request_metrics
        self._call = call
        self._began = self._last = time.monotonic()
        self._has_first_token = False
        self._ended = False
        events.log(
            events.Event.REQUEST_ACCEPTED,
            request=call.request,
            service=call.service,
            account=call.account,
        )

    def record_tokens(self) -> None:
        """Record the arrival of a part of the stream."""
        now = time.monotonic()
        labels = self._call.service, self._call.account
        if self._has_first_token:
            self._metrics.observe_token_gap(*labels, now - self._last)
        else:
            self._has_first_token = True
            self._metrics.observe_first_token(*labels, now - self._began)
        self._last = now

    def end(self, outcome: states.Outcome, cost: float) -> None:
        """Record the outcome; later calls do nothing."""
        if self._ended:
            return
        self._ended = True
        seconds = time.monotonic() - self._began
        labels = self._call.service, self._call.account
        self._metrics.observe_request(*labels, outcome, seconds, cost)
        events.log(
            events.Event.REQUEST_SETTLED,
            request=self._call.request,
            outcome=outcome.value,
            cost=cost,
            seconds=seconds,
        )

    def fail(self, error: errors.RequestError) -> None:
        """Record that the request ends without an answer."""
        if error.outcome is states.Outcome.NOT_RUN:
            events.log(
                events.Event.REQUEST_REFUSED,
                request=self._call.request,
                code=error.code,
                step=error.step,
                peer=error.peer,
            )
        self.end(error.outcome, 0.0)
