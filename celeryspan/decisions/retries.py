"""Decides whether a request is sent to another server.

Both interfaces ask :func:`find_obstacle` before each retry, and :class:`Exposure` keeps
what servers may have done with a request. A second decision elsewhere would let a
request that may run only once run twice.

Handles one or all servers of a service failing or refusing requests for seconds to
minutes while callers keep sending. If every router retried each failure at once, the
failing service would receive several times its normal load and not recover.

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
    """Whether a request may have reached a server that has run it.

    NOTHING if no byte was sent, REFUSED if all servers that received it reported that
    they did not run it, and MAYBE otherwise.
    """

    NOTHING = "nothing"
    REFUSED = "refused"
    MAYBE = "maybe"


class Obstacle(enum.Enum):
    """Why a request is not sent to another server."""

    CALLER_LEFT = "caller-left"
    MAY_HAVE_RUN = "outcome-unknown"
    ANSWER_BEGUN = "answer-cut"
    ATTEMPTS_SPENT = "attempts-spent"
    DEADLINE_PASSED = "deadline-passed"
    BUDGET_SPENT = "retry-budget-spent"


class IllegalSend(Exception):
    """Raised instead of sending a request that may have run already."""


class Exposure:
    """Whether servers may have run a request, over all times that it was sent.

    A request counts as run from before its first byte until the server that gets it
    states that it did not run it. A failure, a lost answer or silence states nothing.

    Attributes
    ----------
    sends : int
        Number of servers that the request was sent to.
    may_have_run : bool
        Whether a server may have run it.
    """

    def __init__(self, *, is_repeatable: bool) -> None:
        self.is_repeatable = is_repeatable
        self.sends = 0
        self.may_have_run = False
        self._may_have_run_before = False

    @property
    def may_send(self) -> bool:
        """Whether another server may run the request."""
        return self.is_repeatable or not self.may_have_run

    @property
    def sent(self) -> Sent:
        """What is known of all attempts together."""
        if self.may_have_run:
            return Sent.MAYBE
        return Sent.REFUSED if self.sends else Sent.NOTHING

    def record_send(self, *, is_same_run: bool = False) -> None:
        """Record that the first byte is about to be sent.

        Parameters
        ----------
        is_same_run : bool
            Whether the server continues a run that another one has stopped.

        Raises
        ------
        IllegalSend
            If the request may have run and must not run twice.
        """
        if not (self.may_send or is_same_run):
            raise IllegalSend("cannot resend a request that may have run")
        self.sends += 1
        self._may_have_run_before = self.may_have_run
        self.may_have_run = True

    def record_not_run(self) -> None:
        """Record that the last server states that it did not run the request.

        What earlier ones have done remains unknown.
        """
        self.may_have_run = self._may_have_run_before


class Attempt(msgspec.Struct, frozen=True):
    """A failed attempt.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run more than once.
    sent : Sent
        Whether a server may have run the request, over all attempts.
    number : int
        1 for the first attempt.
    deadline : float
        Monotonic time after which no retry is sent, in seconds.
    answering : bool
        Whether a part of the answer has already been sent to the caller.
    resumable : bool
        Whether another server can continue that answer.
    attempts_max : int
        Maximum number of attempts, the first included.
    cancelled : bool
        Whether nobody waits for the answer any more.
    """

    service: ids.ServiceId
    idempotent: bool
    sent: Sent
    number: int
    deadline: float
    answering: bool = False
    resumable: bool = False
    attempts_max: int = MAX_ATTEMPTS
    cancelled: bool = False


class Retry(msgspec.Struct, frozen=True):
    """Retry on another server after a delay, in seconds."""

    delay: float


class GiveUp(msgspec.Struct, frozen=True):
    """Answer the caller now with the known outcome."""

    outcome: states.Outcome
    code: str


Decision = Retry | GiveUp


def find_obstacle(attempt: Attempt, earliest: float) -> Obstacle | None:
    """Return why a request must not be retried, or None if only the budget decides.

    Parameters
    ----------
    earliest : float
        Monotonic time at which the retry would be sent, in seconds.
    """
    if attempt.cancelled:
        return Obstacle.CALLER_LEFT
    if attempt.sent is Sent.MAYBE and not attempt.idempotent:
        return Obstacle.MAY_HAVE_RUN
    if attempt.answering and not attempt.resumable:
        return Obstacle.ANSWER_BEGUN
    if attempt.number >= attempt.attempts_max:
        return Obstacle.ATTEMPTS_SPENT
    if earliest >= attempt.deadline:
        return Obstacle.DEADLINE_PASSED
    return None


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
        delay = BACKOFF_SECONDS * 2 ** (attempt.number - 1) * (0.5 + jitter)
        obstacle = find_obstacle(attempt, now + delay)
        if obstacle is None and not self._consume_budget(attempt.service):
            obstacle = Obstacle.BUDGET_SPENT
        if obstacle is None:
            return Retry(delay)
        outcome = states.Outcome.NOT_RUN
        if attempt.answering or attempt.sent is Sent.MAYBE:
            outcome = states.Outcome.UNKNOWN
        return GiveUp(outcome, obstacle.value)

    def _consume_budget(self, service: ids.ServiceId) -> bool:
        budget = self._budgets.get(service, BUDGET_MAX)
        if budget < 1.0:
            return False
        self._budgets[service] = budget - 1.0
        return True
