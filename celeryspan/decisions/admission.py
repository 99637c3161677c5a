"""Admission control: which requests are queued or refused, and when to retry.

Handles bursts, callers in a loop, and steady load at two to ten times the capacity, on
a router with little memory.

Without admission control every queue grows until each answer arrives after its caller
has disconnected, so the fleet is busy and serves nobody. One flooding account takes all
the memory. Callers refused with the same retry time return together and are refused
again.

`docs/design/admission.md` has the measurements behind the constants.
"""

from __future__ import annotations

import enum

import msgspec

from celeryspan import dispatch, errors, ids
from celeryspan.decisions import queueing

MAX_WAITING = 512
"""Waiting requests of one account for one service at one router."""

MAX_ACCOUNT_BYTES = 8 << 20
"""Memory for the waiting requests of one account, so that others have memory too."""

MAX_TOTAL_BYTES = 64 << 20
"""Memory for all waiting requests of a router; a small VM has 1 to 2 GiB."""

MIN_RETRY_SECONDS = 1.0
"""Minimum `Retry-After`: HTTP states whole seconds."""

MAX_RETRY_SECONDS = 60.0
"""Maximum `Retry-After`: the drain rate cannot predict further ahead."""

UNKNOWN_RETRY_SECONDS = 2.0
"""`Retry-After` while no drain rate is known."""

JITTER_FRACTION = 0.25
"""Maximum random addition to `Retry-After`, as a fraction of it."""


class Reason(enum.Enum):
    """Why a request is refused; the value is the error code."""

    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    MEMORY_FULL = "memory-full"
    EXPIRED = "deadline-passed"


STATUSES = {
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.MEMORY_FULL: 503,
    Reason.EXPIRED: 504,
}

MESSAGES = {
    Reason.QUEUE_FULL: "too many requests of this client account are waiting",
    Reason.DEADLINE_UNREACHABLE: "the deadline would pass while the request waits",
    Reason.MEMORY_FULL: "no memory is left for waiting requests of this account",
    Reason.EXPIRED: "the deadline passed while the request waited",
}


class Refused(msgspec.Struct, frozen=True):
    """A request that has not run and will not run.

    Attributes
    ----------
    retry_after : float
        Seconds after which a retry is expected to be admitted.
    """

    request: ids.RequestId
    reason: Reason
    retry_after: float

    def make_error(self) -> errors.NotRun:
        """Return the error to send to the caller."""
        return errors.NotRun(
            MESSAGES[self.reason],
            code=self.reason.value,
            status=STATUSES[self.reason],
            retry_after=self.retry_after,
            step="wait for a slot",
        )


class Admitted(msgspec.Struct, frozen=True):
    """A request that has been queued.

    Attributes
    ----------
    shed : tuple of Refused
        Requests removed to free memory, from the account with the most waiting bytes.
    """

    entry: queueing.QueuedRequest
    shed: tuple[Refused, ...] = ()


AdmissionResult = Admitted | Refused


class AdmissionLimits(msgspec.Struct, frozen=True):
    """Limits on the waiting requests of one router."""

    waiting: int = MAX_WAITING
    account_bytes: int = MAX_ACCOUNT_BYTES
    total_bytes: int = MAX_TOTAL_BYTES


class Admission:
    """Admits requests to the queues of one router or refuses them.

    Parameters
    ----------
    queues : Queues
        Where admitted requests wait.
    limits : AdmissionLimits
        How much may wait.
    """

    def __init__(
        self, queues: queueing.Queues, limits: AdmissionLimits | None = None
    ) -> None:
        self._queues = queues
        self._limits = limits or AdmissionLimits()
        self._next_retry_at: dict[tuple[ids.ServiceId, ids.AccountId], float] = {}

    def admit(
        self,
        work: dispatch.Work,
        size: int,
        estimate: float,
        now: float,
        jitter: float,
    ) -> AdmissionResult:
        """Admit or refuse a request.

        Parameters
        ----------
        size : int
            Bytes that the request takes while it waits.
        estimate : float
            Expected cost in cost units.
        now : float
            Seconds.
        jitter : float
            Random number from 0 to 1, for the `Retry-After` of a refusal.
        """
        reason = self._find_refusal_reason(work, size, estimate, now)
        if reason is not None:
            return self.refuse(work, reason, now, jitter)
        shed = self._shed_until_fits(work, size, now, jitter)
        if shed is None:
            return self.refuse(work, Reason.MEMORY_FULL, now, jitter)
        return Admitted(self._queues.add(work, size, estimate, now), shed)

    def refuse(
        self, work: dispatch.Work, reason: Reason, now: float, jitter: float
    ) -> Refused:
        """Return a refusal with the time after which a retry should be admitted.

        Each refused caller gets a retry time of its own. The times are spaced by the
        account's drain rate, so that callers that return are admitted.
        """
        key = (work.service, work.account)
        rate = self._queues.drain_rate(*key, now)
        if not rate:
            seconds = UNKNOWN_RETRY_SECONDS
        else:
            opening = now + 1.0 / rate
            if reason is not Reason.QUEUE_FULL:
                opening = now + self._queues.waiting(*key) / rate
            place = max(opening, self._next_retry_at.get(key, now) + 1.0 / rate)
            place = min(place, now + MAX_RETRY_SECONDS)
            self._next_retry_at[key] = place
            seconds = place - now
        seconds = max(MIN_RETRY_SECONDS, seconds) * (1.0 + JITTER_FRACTION * jitter)
        return Refused(work.request, reason, seconds)

    def _find_refusal_reason(
        self, work: dispatch.Work, size: int, estimate: float, now: float
    ) -> Reason | None:
        if work.deadline <= now:
            return Reason.EXPIRED
        waiting = self._queues.waiting(work.service, work.account)
        held = self._queues.account_bytes(work.account)
        if waiting >= self._limits.waiting or held + size > self._limits.account_bytes:
            return Reason.QUEUE_FULL
        rate = self._queues.drain_rate(work.service, work.account, now)
        limit = self._queues.max_wait(work, estimate, now)
        if rate is not None and waiting > rate * limit:
            return Reason.DEADLINE_UNREACHABLE
        return None

    def _shed_until_fits(
        self, work: dispatch.Work, size: int, now: float, jitter: float
    ) -> tuple[Refused, ...] | None:
        """Shed from the account with the most waiting bytes until a request fits.

        Returns None if shedding cannot free enough memory.
        """
        shed: list[Refused] = []
        mine = self._queues.account_bytes(work.account) + size
        while self._queues.total_bytes + size > self._limits.total_bytes:
            largest = self._queues.largest_account()
            if largest is None or self._queues.account_bytes(largest) <= mine:
                return tuple(shed) if shed and self._fits(size) else None
            entry = self._queues.shed(largest, now)
            assert entry is not None
            shed.append(self.refuse(entry.work, Reason.MEMORY_FULL, now, jitter))
        return tuple(shed)

    def _fits(self, size: int) -> bool:
        return self._queues.total_bytes + size <= self._limits.total_bytes
