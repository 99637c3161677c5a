"""How far the answers of one backend server can be trusted.

Load answered: a server fails part of its requests while its health check is good, is
dark, or refuses connections. Without this a server that fails fast looks idle and
draws all requests. Failures in a row rest the server for a time that doubles; a share
of failures above that of its peers makes it dearer to choose, in proportion, so that a
service whose requests fail everywhere loses no server.
"""

from __future__ import annotations

import msgspec

CONSECUTIVE_FAILURES_MAX = 3
"""Failures in a row that rest a server: by chance, with one in seven failing as some
services do, it takes 340 requests."""

BACKOFF_SECONDS = 0.5
"""First rest; a server that restarts is back within seconds."""

BACKOFF_SECONDS_MAX = 4.0

FAILURE_RATE_WEIGHT = 0.1
"""Weight of the newest answer in the share of failures: about the last ten count."""


class ServerHealth(msgspec.Struct):
    """What the last answers of a server say.

    Attributes
    ----------
    failing : float
        Share of the last requests that failed.
    """

    failure_rate: float = 0.0
    _consecutive_failures: int = 0
    _backoffs: int = 0
    _backoff_until: float = float("-inf")

    def record_success(self) -> None:
        """Note a good answer."""
        self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT
        self._consecutive_failures = 0
        self._backoffs = 0

    def record_failure(self, now: float, *, unreachable: bool = False) -> None:
        """Note a failure; one that could not even connect rests the server at once."""
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT
        self._consecutive_failures += 1
        if unreachable or self._consecutive_failures >= CONSECUTIVE_FAILURES_MAX:
            backoff = min(BACKOFF_SECONDS * 2**self._backoffs, BACKOFF_SECONDS_MAX)
            self._backoff_until = now + backoff
            self._backoffs += 1
            self._consecutive_failures = (
                CONSECUTIVE_FAILURES_MAX - 1
            )  # The next failure alone rests it again.

    def is_backing_off(self, now: float) -> bool:
        """Whether the server gets no work now."""
        return now < self._backoff_until
