"""Whether a failed attempt is repeated.

Load pattern: a backend server, or all servers of a service, fail or refuse for seconds
to minutes while callers keep asking.

Without it: each failure is repeated at once by every router, the service that has just
failed gets several times its normal load and does not recover; or a call that may run
once only is sent a second time and books two aircraft onto one gate.

Grounds of the figures: stated beside each constant; `docs/design/retries.md` has the
measurements.
"""

from __future__ import annotations

import enum

import msgspec

from celeryspan import ids, states

MAX_ATTEMPTS = 3
"""Attempts of one request, the first included: beyond, the cause is not one server."""

BUDGET_PER_SUCCESS = 0.1
"""Retries earned by one success: a failing service sees at most 1.1 times its load."""

BUDGET_MAX = 10.0
"""Greatest number of saved retries: enough for the requests one lost server held."""

BACKOFF_SECONDS = 0.05
"""Mean wait before the first retry of a request; doubles with each further one."""


class Sent(enum.Enum):
    """What is known about the bytes of a failed attempt."""

    NOTHING = "nothing"
    REFUSED = "refused"
    MAYBE = "maybe"


class Attempt(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run twice.
    sent : Sent
        NOTHING if no byte left, REFUSED if the server itself said that it did not
        run it, else MAYBE.
    number : int
        1 for the first attempt.
    answering : bool
        Whether the caller has been given a part of the answer already.
    """

    service: ids.ServiceId
    idempotent: bool
    sent: Sent
    number: int
    deadline: float
    answering: bool = False


class Retry(msgspec.Struct, frozen=True):
    """Try again on another server after a wait, in seconds."""

    delay: float


class GiveUp(msgspec.Struct, frozen=True):
    """Answer the caller now, with what is known about the outcome."""

    outcome: states.Outcome
    code: str


Decision = Retry | GiveUp


class RetryPolicy:
    """Decides on repeats at one router, with a budget for each service."""

    def __init__(self) -> None:
        self._budgets: dict[ids.ServiceId, float] = {}

    def record_success(self, service: ids.ServiceId) -> None:
        """Earn a share of a retry."""
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
