"""Decides whether to retry a failed attempt.

Handles one or all servers of a service failing or refusing requests for seconds to
minutes while callers keep sending. If every router retried each failure at once, the
failing service would receive several times its normal load and not recover, and a
request that may run only once could run twice.

See ``docs/design/retries.md`` for the measurements behind the constants.
"""

from __future__ import annotations

import enum

import msgspec

from celeryspan import ids, states

MAX_ATTEMPTS = 3
"""Maximum number of attempts of one request, the first included. If all of them fail,
the cause is not a single server."""

BUDGET_PER_SUCCESS = 0.1
"""Retries that each success adds to the budget, so that a failing service receives at
most 1.1 times its load."""

BUDGET_MAX = 10.0
"""Maximum size of the budget, in retries: enough for the requests in progress on one
lost server."""

BACKOFF_SECONDS = 0.05
"""Mean delay before the first retry of a request; doubles with each further retry."""


class Sent(enum.Enum):
    """Whether a failed attempt may have reached the server.

    NOTHING if no byte was sent, REFUSED if the server itself reported that it did not
    run the request, and MAYBE otherwise.
    """

    NOTHING = "nothing"
    REFUSED = "refused"
    MAYBE = "maybe"


class Attempt(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run more than once.
    sent : Sent
        Whether the attempt may have reached the server.
    number : int
        1 for the first attempt.
    answering : bool
        Whether a part of the answer has already been sent to the caller.
    """

    service: ids.ServiceId
    idempotent: bool
    sent: Sent
    number: int
    deadline: float
    answering: bool = False


class Retry(msgspec.Struct, frozen=True):
    """Retry on another server after a delay, in seconds."""

    delay: float


class GiveUp(msgspec.Struct, frozen=True):
    """Answer the caller now with the known outcome."""

    outcome: states.Outcome
    code: str


Decision = Retry | GiveUp


class RetryPolicy:
    """Decides on the retries of one router, with a retry budget for each service."""

    def __init__(self) -> None:
        self._budgets: dict[ids.ServiceId, float] = {}

    def record_success(self, service: ids.ServiceId) -> None:
        """Record a successful request, which adds to the budget of its service."""
        budget = self._budgets.get(service, BUDGET_MAX)
        self._budgets[service] = min(BUDGET_MAX, budget + BUDGET_PER_SUCCESS)

    def decide(self, attempt: Attempt, now: float, jitter: float) -> Decision:
        """Decide on a failed attempt; ``jitter`` is a random number from 0 to 1."""
        outcome = states.Outcome.NOT_RUN
        if attempt.sent is Sent.MAYBE:
            outcome = states.Outcome.UNKNOWN
        if outcome is states.Outcome.UNKNOWN and not attempt.idempotent:
            return GiveUp(outcome, "outcome-unknown")
        if attempt.answering:
            return GiveUp(states.Outcome.UNKNOWN, "answer-cut")
        if attempt.number >= MAX_ATTEMPTS:
            return GiveUp(outcome, "attempts-spent")
        delay = BACKOFF_SECONDS * 2 ** (attempt.number - 1) * (0.5 + jitter)
        if now + delay >= attempt.deadline:
            return GiveUp(outcome, "deadline-passed")
        if not self._consume_budget(attempt.service):
            return GiveUp(outcome, "retry-budget-spent")
        return Retry(delay)

    def _consume_budget(self, service: ids.ServiceId) -> bool:
        budget = self._budgets.get(service, BUDGET_MAX)
        if budget < 1.0:
            return False
        self._budgets[service] = budget - 1.0
        return True
