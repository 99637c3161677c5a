"""Backend servers that fail or are far slower than their peers get no new work.

Load pattern: one server of a service answers with errors, goes silent, or runs at a
fraction of the speed of the others; long jobs run among short ones.

Without it: a failing server is the fastest to be free again and draws all requests
(a black hole); a slow one holds slots and callers; ejection without a floor removes a
whole service when all its servers are slow at once; judging by seconds alone ejects
the server that happens to run the long jobs.

Grounds of the figures: stated beside each constant; `docs/design/outliers.md` has the
measurements.
"""

from __future__ import annotations

import enum
import statistics

import msgspec

from celeryspan import ids
from celeryspan.decisions import pacing

MAX_CONSECUTIVE_FAILURES = 5
"""Failures that eject a server: with one in ten requests failing by chance, five in a
row come once in 100,000 requests."""

MAX_FAILURE_SHARE = 0.5
"""Share of recent requests that failed, above which a server is ejected."""

MAX_SLOWNESS_FACTOR = 3.0
"""Seconds per cost unit over the median of the service that eject a server."""

MIN_SAMPLES = 10
"""Ended requests before a server is judged by its mean."""

MIN_RUNNING_SECONDS = 10.0
"""Sum of the ages of running requests before their speed counts: a server ten times too
slow ends its tenth request after minutes, but shows within a second with 16 running."""

DECAY = 0.9
"""Weight kept by earlier requests at each new one: about ten requests count."""

MIN_ACTIVE_SHARE = 0.5
"""Share of a service's servers that is never ejected: one half carries the load at
twice the wait, a third would be overloaded and look slow in turn."""

FIRST_EJECTION_SECONDS = 10.0
"""First ejection; doubles with each that follows."""

MAX_EJECTION_SECONDS = 300.0
"""Longest ejection: a repaired server is back within five minutes."""

TRIAL_ANSWERS = 3
"""Answers in a row, one at a time, that end a trial."""


class Standing(enum.Enum):
    """Whether a server gets new work."""

    GOOD = "good"
    EJECTED = "ejected"
    TRIAL = "trial"


class Change(msgspec.Struct, frozen=True):
    """A server's standing changed."""

    server: ids.ServerId
    standing: Standing
    reason: str


class _ServerStats(msgspec.Struct):
    standing: Standing = Standing.GOOD
    samples: float = 0.0
    failures: float = 0.0
    consecutive_failures: int = 0
    seconds: float = 0.0
    units: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    trial_answers: int = 0
    running_seconds: float = 0.0
    running_units: float = 0.0

    def record(self, failed: bool, seconds: float, cost: float) -> None:
        self.samples = self.samples * DECAY + 1.0
        self.failures = self.failures * DECAY + failed
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if not failed:
            self.seconds = self.seconds * DECAY + seconds
            self.units = self.units * DECAY + cost

    def reset(self) -> None:
        self.samples = self.failures = self.seconds = self.units = 0.0
        self.running_seconds = self.running_units = 0.0
        self.consecutive_failures = self.trial_answers = 0

    @property
    def has_enough_samples(self) -> bool:
        """Enough samples: the decayed count tends to ``1 / (1 - MEMORY)``."""
        return self.samples >= (1.0 - DECAY**MIN_SAMPLES) / (1.0 - DECAY) * 0.99

    def ended_seconds_per_unit(self) -> float | None:
        """Return seconds per cost unit of ended requests, if enough have ended."""
        return (
            self.seconds / self.units
            if self.has_enough_samples and self.units
            else None
        )

    def running_seconds_per_unit(self) -> float | None:
        """Return seconds per cost unit of running requests, if they run long enough."""
        if self.running_seconds < MIN_RUNNING_SECONDS or not self.running_units:
            return None
        return self.running_seconds / self.running_units


class OutlierDetector:
    """Judges the servers of one service by their answers."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, _ServerStats] = {}
        self._ejection_limiter = pacing.RateLimiter(pacing.FeedbackLoop.EJECTION.value)
        self._trial_limiter = pacing.RateLimiter(pacing.FeedbackLoop.READMISSION.value)

    def add(self, server: ids.ServerId, now: float) -> None:
        """Begin to judge a server."""
        self._servers.setdefault(server, _ServerStats())

    def remove(self, server: ids.ServerId) -> None:
        """Forget a server that is gone."""
        self._servers.pop(server, None)

    def servers(self) -> set[ids.ServerId]:
        """Return the servers that are judged."""
        return set(self._servers)

    def record(
        self,
        server: ids.ServerId,
        failed: bool,
        seconds: float,
        cost: float,
        now: float,
    ) -> list[Change]:
        """Take in the end of a request; return changes that follow.

        Parameters
        ----------
        failed : bool
            Whether the server was at fault.
        seconds : float
            Time from sending to the end.
        cost : float
            True cost in cost units: slowness is seconds per unit, so that a server is
            not blamed for long jobs.
        """
        one = self._servers.setdefault(server, _ServerStats())
        one.record(failed, seconds, cost)
        if one.standing is Standing.TRIAL:
            return self._update_trial(server, one, failed, now)
        return self._eject_if_faulty(server, one, now)

    def record_running(
        self, server: ids.ServerId, seconds: float, units: float, now: float
    ) -> list[Change]:
        """Take in what runs at a server; return changes that follow.

        A server that is far too slow, or silent, ends nothing by which it could be
        judged; its running streams show it. Call about once a second.

        Parameters
        ----------
        seconds : float
            Sum of the times since its running requests gave their first unit: the
            time before it depends on the prompt.
        units : float
            Sum of the cost units that they have given so far; 0 for plain calls.
        """
        one = self._servers.setdefault(server, _ServerStats())
        one.running_seconds, one.running_units = seconds, units
        if one.standing is not Standing.GOOD:
            return []
        return self._eject_if_faulty(server, one, now)

    def _eject_if_faulty(
        self, server: ids.ServerId, one: _ServerStats, now: float
    ) -> list[Change]:
        reason = self._find_ejection_reason(server, one)
        if one.standing is Standing.EJECTED or reason is None:
            return []
        if not self._may_eject(now):
            return []
        return [self._eject(server, one, reason, now)]

    def start_due_trials(self, now: float) -> list[Change]:
        """Return changes that are due by time: trials after an ejection."""
        changes = []
        for server, one in self._servers.items():
            due = one.standing is Standing.EJECTED and now >= one.ejected_until
            if due and self._trial_limiter.allow("service", now):
                one.standing = Standing.TRIAL
                one.reset()
                changes.append(Change(server, Standing.TRIAL, "time is over"))
        return changes

    def standing(self, server: ids.ServerId) -> Standing:
        """Return the standing of a server; one never seen is good."""
        one = self._servers.get(server)
        return one.standing if one else Standing.GOOD

    def slots(self, server: ids.ServerId, window: int) -> int:
        """Return how many slots of a window may be used: one during a trial."""
        standing = self.standing(server)
        if standing is Standing.EJECTED:
            return 0
        return min(window, 1) if standing is Standing.TRIAL else window

    def _find_ejection_reason(
        self, server: ids.ServerId, one: _ServerStats
    ) -> str | None:
        if one.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return f"{one.consecutive_failures} failures in a row"
        if one.has_enough_samples and one.failures > MAX_FAILURE_SHARE * one.samples:
            return "more than half of its requests failed"
        if self._is_slow(server, one):
            return "far slower than its peers"
        return None

    def _is_slow(self, server: ids.ServerId, one: _ServerStats) -> bool:
        """Compare with the median of the others, which one slow server cannot move."""
        peers = [peer for name, peer in self._servers.items() if name != server]
        return _is_outlier(
            one.ended_seconds_per_unit(),
            [peer.ended_seconds_per_unit() for peer in peers],
        ) or _is_outlier(
            one.running_seconds_per_unit(),
            [peer.running_seconds_per_unit() for peer in peers],
        )

    def _may_eject(self, now: float) -> bool:
        """Keep half of a service whatever its servers answer.

        If all fail, the cause is the path or the requests; ejecting all would turn a
        partial failure into a whole one.
        """
        out = sum(one.standing is not Standing.GOOD for one in self._servers.values())
        if len(self._servers) - out - 1 < MIN_ACTIVE_SHARE * len(self._servers):
            return False
        return self._ejection_limiter.allow("service", now)

    def _eject(
        self, server: ids.ServerId, one: _ServerStats, reason: str, now: float
    ) -> Change:
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**one.ejections)
        one.ejections += 1
        one.standing = Standing.EJECTED
        one.ejected_until = now + seconds
        return Change(server, Standing.EJECTED, reason)

    def _update_trial(
        self, server: ids.ServerId, one: _ServerStats, failed: bool, now: float
    ) -> list[Change]:
        if failed or self._is_slow(server, one):
            return [self._eject(server, one, "failed its trial", now)]
        one.trial_answers += 1
        if one.trial_answers < TRIAL_ANSWERS:
            return []
        one.standing = Standing.GOOD
        one.ejections = max(0, one.ejections - 1)
        return [Change(server, Standing.GOOD, "passed its trial")]


def _is_outlier(mine: float | None, others: list[float | None]) -> bool:
    known = [one for one in others if one is not None]
    if mine is None or not known:
        return False
    return mine > MAX_SLOWNESS_FACTOR * statistics.median(known)
