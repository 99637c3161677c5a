"""What is measured and logged of one request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from celeryspan import calls, errors, events, states

if TYPE_CHECKING:
    from celeryspan import metrics


class Observation:
    """The times and the end of one request, from its acceptance on."""

    def __init__(self, meters: metrics.Metrics, call: calls.Call) -> None:
        self._meters = meters
        self._call = call
        self._began = self._last = time.monotonic()
        self._answering = False
        self._ended = False
        events.log(
            events.Event.REQUEST_ACCEPTED,
            request=call.request,
            service=call.service,
            account=call.account,
        )

    def take_tokens(self) -> None:
        """Note a part of a stream."""
        now = time.monotonic()
        pair = self._call.service, self._call.account
        if self._answering:
            self._meters.observe_token_gap(*pair, now - self._last)
        else:
            self._answering = True
            self._meters.observe_first_token(*pair, now - self._began)
        self._last = now

    def end(self, outcome: states.Outcome, cost: float) -> None:
        """Note the end, once."""
        if self._ended:
            return
        self._ended = True
        seconds = time.monotonic() - self._began
        pair = self._call.service, self._call.account
        self._meters.observe_request(*pair, outcome, seconds, cost)
        events.log(
            events.Event.REQUEST_SETTLED,
            request=self._call.request,
            outcome=outcome.value,
            cost=cost,
            seconds=seconds,
        )

    def fail(self, error: errors.RequestError) -> None:
        """Note that the request ends without an answer."""
        if error.outcome is states.Outcome.NOT_RUN:
            events.log(
                events.Event.REQUEST_REFUSED,
                request=self._call.request,
                code=error.code,
                step=error.step,
                peer=error.peer,
            )
        self.end(error.outcome, 0.0)
