"""Tracks failures of one backend server.

A server may fail part of its requests while its health check succeeds, be unreachable,
or refuse connections. Without this module a server that fails fast looks idle and
attracts all requests. Consecutive failures put the server into a backoff that doubles
each time. A failure rate above that of its peers raises its cost in proportion, so that
a service whose requests fail everywhere loses no server.
"""

from __future__ import annotations

import msgspec

CONSECUTIVE_FAILURES_MAX = 3
"""Consecutive failures that start a backoff. By chance, with one in seven requests
failing as at some services, that takes 340 requests."""

BACKOFF_SECONDS = 0.5
"""First backoff; a server that restarts is back within seconds."""

BACKOFF_SECONDS_MAX = 4.0

FAILURE_RATE_WEIGHT = 0.1
"""Weight of the newest answer in the failure rate, which thus covers about ten."""


class ServerHealth(msgspec.Struct):
    """Health of a server, derived from its last answers.

    Attributes
    ----------
    failure_rate : float
        Moving average of the share of requests that failed.
    """

    failure_rate: float = 0.0
    _consecutive_failures: int = 0
    _backoffs: int = 0
    _backoff_until: float = float("-inf")

    def record_success(self) -> None:
        """Record a successful answer."""
        self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT
        self._consecutive_failures = 0
        self._backoffs = 0

    def record_failure(self, now: float, *, unreachable: bool = False) -> None:
        """Record a failure; if the server was unreachable, it backs off at once."""
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT
        self._consecutive_failures += 1
        if unreachable or self._consecutive_failures >= CONSECUTIVE_FAILURES_MAX:
            backoff = min(BACKOFF_SECONDS * 2**self._backoffs, BACKOFF_SECONDS_MAX)
            self._backoff_until = now + backoff
            self._backoffs += 1
            # One more failure starts the next backoff.
            self._consecutive_failures = CONSECUTIVE_FAILURES_MAX - 1

    def is_backing_off(self, now: float) -> bool:
        """Whether the server gets no requests now."""
        return now < self._backoff_until
