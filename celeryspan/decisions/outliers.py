"""Outlier detection: ejects backend servers that fail or are too slow.

A server may answer with errors, stop answering, or run at a fraction of the speed of
the others, while long jobs run among short ones.

Without ejection a failing server is the first to be free again and attracts all
requests (a black hole), and a slow server holds slots and callers. Ejection without a
limit removes a whole service when all its servers are slow at once. Judging by elapsed
time alone ejects the server that happens to run the long jobs.

See `docs/design/outliers.md` for the measurements behind the constants.
"""

from __future__ import annotations

import enum
import statistics

import msgspec

from celeryspan import ids
from celeryspan.decisions import ratelimits

FAILURES_TO_EJECT = 5
"""Consecutive failures that eject a server: if one in ten requests fails at random,
five in a row occur once in 100,000 requests."""

MAX_FAILURE_SHARE = 0.5
"""Share of failed recent requests above which a server is ejected."""

MAX_SLOWNESS_FACTOR = 3.0
"""Ratio of a server's seconds per cost unit to the median of its peers above which it
is ejected."""

MIN_SAMPLES = 10
"""Finished requests needed before a server is judged by its averages."""

MIN_RUNNING_SECONDS = 10.0
"""Total age of the running requests from which their speed counts. A server that is ten
times too slow finishes its tenth request only after minutes, but with 16 requests
running it is detected within a second."""

DECAY = 0.9
"""Decay of earlier requests at each new one: about the last ten requests count."""

MIN_ACTIVE_SHARE = 0.5
"""Share of a service's servers that is never ejected: half of them carry the load at
twice the wait time, but a third would be overloaded and look slow as well."""

FIRST_EJECTION_SECONDS = 10.0
"""Duration of a first ejection; it doubles with each further ejection."""

MAX_EJECTION_SECONDS = 300.0
"""Maximum duration of an ejection: a repaired server returns within five minutes."""

TRIAL_ANSWERS = 3
"""Consecutive answers, one request at a time, that end a trial."""


class Standing(enum.Enum):
    """Whether a server gets new requests."""

    GOOD = "good"
    EJECTED = "ejected"
    TRIAL = "trial"


class Change(msgspec.Struct, frozen=True):
    """Change of a server's standing."""

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
        """Whether there are enough samples; the count tends to ``1 / (1 - DECAY)``."""
        return self.samples >= (1.0 - DECAY**MIN_SAMPLES) / (1.0 - DECAY) * 0.99

    def ended_seconds_per_unit(self) -> float | None:
        """Return seconds per cost unit of finished requests, or None if too few."""
        return (
            self.seconds / self.units
            if self.has_enough_samples and self.units
            else None
        )

    def running_seconds_per_unit(self) -> float | None:
        """Return seconds per cost unit of running requests, or None if too recent."""
        if self.running_seconds < MIN_RUNNING_SECONDS or not self.running_units:
            return None
        return self.running_seconds / self.running_units


class OutlierDetector:
    """Detects outliers among the servers of one service."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, _ServerStats] = {}
        self._ejection_limiter = ratelimits.RateLimiter(
            ratelimits.FeedbackLoop.EJECTION.value
        )
        self._trial_limiter = ratelimits.RateLimiter(
            ratelimits.FeedbackLoop.READMISSION.value
        )

    def add(self, server: ids.ServerId, now: float) -> None:
        """Start monitoring a server."""
        self._servers.setdefault(server, _ServerStats())

    def remove(self, server: ids.ServerId) -> None:
        """Drop the state of a server that is gone."""
        self._servers.pop(server, None)

    def servers(self) -> set[ids.ServerId]:
        """Return the monitored servers."""
        return set(self._servers)

    def record(
        self,
        server: ids.ServerId,
        failed: bool,
        seconds: float,
        cost: float,
        now: float,
    ) -> list[Change]:
        """Record the end of a request; return the resulting changes.

        Parameters
        ----------
        failed : bool
            Whether the request failed because of the server.
        seconds : float
            Time from sending the request to its end.
        cost : float
            Actual cost in cost units. Slowness is measured in seconds per unit, so that
            long jobs do not count against a server.
        """
        stats = self._servers.setdefault(server, _ServerStats())
        stats.record(failed, seconds, cost)
        if stats.standing is Standing.TRIAL:
            return self._update_trial(server, stats, failed, now)
        return self._eject_if_faulty(server, stats, now)

    def record_running(
        self, server: ids.ServerId, seconds: float, units: float, now: float
    ) -> list[Change]:
        """Record the progress of running requests; return the resulting changes.

        A server that is far too slow or silent finishes no requests by which it could
        be judged, but its running streams show it. Call this about once a second.

        Parameters
        ----------
        seconds : float
            Sum of the times since the first cost unit of each running request. The time
            before the first unit depends on the prompt and is left out.
        units : float
            Sum of the cost units produced so far; 0 for plain calls.
        """
        stats = self._servers.setdefault(server, _ServerStats())
        stats.running_seconds, stats.running_units = seconds, units
        if stats.standing is not Standing.GOOD:
            return []
        return self._eject_if_faulty(server, stats, now)

    def _eject_if_faulty(
        self, server: ids.ServerId, stats: _ServerStats, now: float
    ) -> list[Change]:
        reason = self._find_ejection_reason(server, stats)
        if stats.standing is Standing.EJECTED or reason is None:
            return []
        if not self._may_eject(now):
            return []
        return [self._eject(server, stats, reason, now)]

    def start_due_trials(self, now: float) -> list[Change]:
        """Start the trials of servers with expired ejections; return the changes."""
        changes = []
        for server, stats in self._servers.items():
            due = stats.standing is Standing.EJECTED and now >= stats.ejected_until
            if due and self._trial_limiter.allow("service", now):
                stats.standing = Standing.TRIAL
                stats.reset()
                changes.append(Change(server, Standing.TRIAL, "ejection expired"))
        return changes

    def standing(self, server: ids.ServerId) -> Standing:
        """Return the standing of a server; an unknown server is good."""
        stats = self._servers.get(server)
        return stats.standing if stats else Standing.GOOD

    def slots(self, server: ids.ServerId, window: int) -> int:
        """Return the usable slots of a window: one during a trial, none if ejected."""
        standing = self.standing(server)
        if standing is Standing.EJECTED:
            return 0
        return min(window, 1) if standing is Standing.TRIAL else window

    def _find_ejection_reason(
        self, server: ids.ServerId, stats: _ServerStats
    ) -> str | None:
        if stats.consecutive_failures >= FAILURES_TO_EJECT:
            return f"{stats.consecutive_failures} consecutive failures"
        if (
            stats.has_enough_samples
            and stats.failures > MAX_FAILURE_SHARE * stats.samples
        ):
            return "more than half of its requests failed"
        if self._is_slow(server, stats):
            return "far slower than its peers"
        return None

    def _is_slow(self, server: ids.ServerId, stats: _ServerStats) -> bool:
        """Compare with the median of the peers, which one slow server cannot shift."""
        peers = [peer for name, peer in self._servers.items() if name != server]
        return _is_outlier(
            stats.ended_seconds_per_unit(),
            [peer.ended_seconds_per_unit() for peer in peers],
        ) or _is_outlier(
            stats.running_seconds_per_unit(),
            [peer.running_seconds_per_unit() for peer in peers],
        )

    def _may_eject(self, now: float) -> bool:
        """Whether another ejection leaves enough servers and respects the rate limit.

        If all servers fail, the cause is the network or the requests, and ejecting all
        of them would turn a partial failure into a complete one.
        """
        inactive = sum(
            stats.standing is not Standing.GOOD for stats in self._servers.values()
        )
        if len(self._servers) - inactive - 1 < MIN_ACTIVE_SHARE * len(self._servers):
            return False
        return self._ejection_limiter.allow("service", now)

    def _eject(
        self, server: ids.ServerId, stats: _ServerStats, reason: str, now: float
    ) -> Change:
        seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**stats.ejections
        )
        stats.ejections += 1
        stats.standing = Standing.EJECTED
        stats.ejected_until = now + seconds
        return Change(server, Standing.EJECTED, reason)

    def _update_trial(
        self, server: ids.ServerId, stats: _ServerStats, failed: bool, now: float
    ) -> list[Change]:
        if failed or self._is_slow(server, stats):
            return [self._eject(server, stats, "failed its trial", now)]
        stats.trial_answers += 1
        if stats.trial_answers < TRIAL_ANSWERS:
            return []
        stats.standing = Standing.GOOD
        stats.ejections = max(0, stats.ejections - 1)
        return [Change(server, Standing.GOOD, "passed its trial")]


def _is_outlier(own: float | None, peers: list[float | None]) -> bool:
    peer_values = [value for value in peers if value is not None]
    if own is None or not peer_values:
        return False
    return own > MAX_SLOWNESS_FACTOR * statistics.median(peer_values)
