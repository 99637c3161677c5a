"""Decides how many requests a server gets after it has rejected some of them.

A rejection takes a server no time, so that one that rejects everything looks idle and
attracts most requests; their retries use up the retry budget of the fleet.

* A server that rejects while at least half of its slots are in use is full for now: its
  concurrency limit falls to the requests that it is serving, and rises with answers
  (additive increase). It keeps getting requests.
* A server that rejects with fewer slots in use, or again at the lowest limit, is
  rejecting: its circuit breaker is half-open. The first trial request follows at once,
  so that a single rejection costs nothing; further ones at intervals, one at a time.
* After an answered trial the server is returning: its slots are given back one by one
  with each answer (slow start). A rejection in that time leads back to trials.
* A rejecting server that still answers part of its requests also takes those that no
  other server has a slot for. It is silent, and gets trials alone, after some
  rejections in a row without an answer for a second.
* A retry goes to such a server only if it rejects less than half of its requests.
"""

from __future__ import annotations

import enum
import math

import msgspec

from celeryspan import ids

FULL_SHARE_MIN = 0.5
"""Share of its slots that a server has in use if a rejection means that it is full, and
the lowest limit of a full server."""

FULL_RUNS_MIN = 2
"""A server that rejects the only request sent to it is not full."""

TRIAL_INTERVAL_SECONDS = 1.0
"""Shortest time between two trial requests at one server."""

POOL_TRIAL_INTERVAL_SECONDS = 0.5
"""Time between two trial requests of a pool if all its servers reject."""

RATE_WEIGHT = 0.2
"""Weight of the newest request in the share that a server rejects."""

RETRY_RATE_MAX = 0.5
"""Share of rejected requests from which a server is expected to reject a retry."""

SILENT_REJECTIONS_MIN = 5
SILENT_SECONDS = 1.0
"""Consecutive rejections, and time without an answer, after which a server gets trials
alone. A server that rejects 0.8 of 12 requests a second is rarely silent for so long
(0.07 of the time)."""

RAISE_ANSWERS = 8
RAISE_ANSWERS_MAX = 64
"""Answers after which the limit of a full server rises by one. They double with each
rejection that follows a rise: a server whose capacity is lower than its entry says
would otherwise reject every eighth request."""

SERVERS_REJECTING = "servers-rejecting"
"""Error code of a refusal because all servers of a pool reject."""


class State(enum.Enum):
    """How a server treats requests."""

    ACCEPTING = "accepting"
    REJECTING = "rejecting"
    RETURNING = "returning"


class RejectingServer(msgspec.Struct, frozen=True):
    """A server that rejects requests; times are monotonic, in seconds."""

    server: ids.ServerId
    since: float
    next_trial_at: float


class Rejections:
    """What the rejections of one server say about it.

    Attributes
    ----------
    state : State
    limit : float
        Slots that may be in use while the server accepts requests; may be infinity.
    rate : float
        Moving average of the share of requests rejected while the server wasn't full.
    since : float
        When the server left the state ``ACCEPTING``.
    next_trial_at : float
        Earliest time of the next trial request.
    trial_at : float
        When the last trial request was placed.
    trial_interval : float
        Shortest time between two trial requests, in seconds.
    """

    def __init__(self) -> None:
        self.state = State.ACCEPTING
        self.rate = 0.0
        self.since = -math.inf
        self.next_trial_at = -math.inf
        self.trial_at = -math.inf
        self.trial_interval = TRIAL_INTERVAL_SECONDS
        self.limit = math.inf
        self._raise_after = RAISE_ANSWERS
        self._answers = 0
        self._is_raised = False
        self._consecutive = 0
        self._accepted_at = -math.inf
        self._answered_at = -math.inf
        self._returning_since = -math.inf
        self._ramp = 0
        self._partial_limit = math.inf

    @property
    def is_accepting(self) -> bool:
        """Whether the server accepts requests, as far as is known."""
        return self.state is State.ACCEPTING

    @property
    def is_confirmed(self) -> bool:
        """Whether the server has rejected more than a single request."""
        return not self.is_accepting and self._consecutive > 1

    def measure_limit(self, slots: int) -> int:
        """Return the slots that may be in use while the server accepts requests."""
        return int(min(slots, self.limit))

    def admits(self, in_use: int, slots: int, now: float) -> bool:
        """Whether a request may be placed; for a rejecting server, as a trial."""
        if self.state is State.ACCEPTING:
            return in_use < slots and in_use < self.limit
        if self.state is State.RETURNING:
            return in_use < min(slots, self._ramp)
        return in_use < slots and now >= self.next_trial_at

    def admits_rest(self, in_use: int, slots: int, now: float) -> bool:
        """Whether a request may be placed that no accepting server has a slot for."""
        if self.is_accepting or self.is_silent(now):
            return False
        return in_use < min(slots, self._partial_limit)

    def is_silent(self, now: float) -> bool:
        """Whether the server rejects all requests."""
        return (
            self.state is State.REJECTING
            and self._consecutive >= SILENT_REJECTIONS_MIN
            and now - self._answered_at >= SILENT_SECONDS
        )

    def expects_rejection(self) -> bool:
        """Whether a retry would probably be rejected."""
        return not self.is_accepting and self.rate >= RETRY_RATE_MAX

    def record_placed(self, now: float) -> None:
        """Record that a request was placed; at a rejecting server it is a trial."""
        if self.state is not State.REJECTING or now < self.next_trial_at:
            return
        if self.is_silent(now):
            self._partial_limit = 1
        self.trial_at = now
        self.next_trial_at = now + self.trial_interval

    def postpone_trial(self, until: float) -> None:
        """Hold the next trial back until a time."""
        self.next_trial_at = max(self.next_trial_at, until)

    def release_trial(self) -> None:
        """Let the next trial follow as soon as the interval of this server allows."""
        self.next_trial_at = min(
            self.next_trial_at, self.trial_at + self.trial_interval
        )

    def record_unused(self, since: float, now: float) -> None:
        """Record a request that was placed at ``since`` and not sent."""
        if self.state is State.REJECTING and since >= self.trial_at:
            self.next_trial_at = now

    def record_rejection(
        self, in_use: int, slots: int, since: float, now: float
    ) -> None:
        """Record a rejection.

        Parameters
        ----------
        in_use : int
            Slots in use when it was rejected, with its own.
        since : float
            When the request was placed.
        """
        if self.is_accepting and self._is_full(in_use, slots):
            self._lower_limit(in_use, slots)
            return
        self._consecutive += 1
        self.rate += (1.0 - self.rate) * RATE_WEIGHT
        if self.is_accepting:
            self._start(now)
            self.rate = max(self.rate, RETRY_RATE_MAX)
        elif self.state is State.RETURNING and since >= self._returning_since:
            self.state = State.REJECTING

    def record_accepted(self, slots: int, since: float, now: float) -> None:
        """Record an answer, or its first event, to a request placed at ``since``."""
        self._accepted_at = max(self._accepted_at, since)
        if self.is_accepting:
            self._raise_limit(slots)
            return
        if since < self.since:
            return  # It was accepted before the server began to reject.
        self._answered_at = now
        self._consecutive = 0
        self.rate -= self.rate * RATE_WEIGHT
        self._partial_limit += 1
        if self.state is State.REJECTING and since >= self.trial_at:
            self.state = State.RETURNING
            self._returning_since = now
            self._ramp = 1
        if self.state is State.RETURNING:
            self._ramp += 1
            if self._ramp > slots:
                self.state = State.ACCEPTING
                self.rate = 0.0
                self.limit, self._raise_after = math.inf, RAISE_ANSWERS

    def end_rest(self, rested_at: float, now: float) -> None:
        """Begin with a trial if nothing was accepted since a rest was asked for."""
        if self.is_accepting and self._accepted_at < rested_at:
            self._start(now)
            self._partial_limit = 1

    def _start(self, now: float) -> None:
        self.state = State.REJECTING
        self.since = self._answered_at = now
        self.next_trial_at = max(now, self.trial_at + self.trial_interval)
        self._consecutive = min(self._consecutive, 1)
        self._partial_limit = math.inf

    def _is_full(self, in_use: int, slots: int) -> bool:
        lowest = _get_lowest_limit(slots)
        return in_use >= max(FULL_RUNS_MIN, lowest) and (
            self.measure_limit(slots) > lowest
        )

    def _lower_limit(self, in_use: int, slots: int) -> None:
        self._answers = 0
        lowered = max(_get_lowest_limit(slots), in_use - 1)
        if lowered >= self.measure_limit(slots):
            return
        self.limit = lowered
        if self._is_raised:
            self._raise_after = min(self._raise_after * 2, RAISE_ANSWERS_MAX)
        self._is_raised = False

    def _raise_limit(self, slots: int) -> None:
        if self.limit >= slots:
            return
        self._answers += 1
        if self._answers >= self._raise_after:
            self._raise_after = RAISE_ANSWERS if self._is_raised else self._raise_after
            self._answers = 0
            self.limit += 1
            self._is_raised = True


def _get_lowest_limit(slots: int) -> int:
    return max(1, math.ceil(slots * FULL_SHARE_MIN))
