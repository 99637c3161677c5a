"""How far the answers of one backend server can be trusted.

Load answered: a server fails part of its requests while its health check is good, is
dark, or refuses connections. Without this a server that fails fast looks idle and
draws all requests. Failures in a row rest the server for a time that doubles; a share
of failures above that of its peers makes it dearer to choose, in proportion, so that a
service whose requests fail everywhere loses no server.
"""

from __future__ import annotations

import msgspec

ROW_MAX = 3
"""Failures in a row that rest a server: by chance, with one in seven failing as some
services do, it takes 340 requests."""

REST_SECONDS = 0.5
"""First rest; a server that restarts is back within seconds."""

REST_SECONDS_MAX = 4.0

MEMORY = 0.1
"""Weight of the newest answer in the share of failures: about the last ten count."""


class ServerHealth(msgspec.Struct):
    """What the last answers of a server say.

    Attributes
    ----------
    failing : float
        Share of the last requests that failed.
    """

    failing: float = 0.0
    _row: int = 0
    _rests: int = 0
    _rests_until: float = float("-inf")

    def succeed(self) -> None:
        """Note a good answer."""
        self.failing -= self.failing * MEMORY
        self._row = 0
        self._rests = 0

    def fail(self, now: float, *, unreachable: bool = False) -> None:
        """Note a failure; one that could not even connect rests the server at once."""
        self.failing += (1.0 - self.failing) * MEMORY
        self._row += 1
        if unreachable or self._row >= ROW_MAX:
            pause = min(REST_SECONDS * 2**self._rests, REST_SECONDS_MAX)
            self._rests_until = now + pause
            self._rests += 1
            self._row = ROW_MAX - 1  # The next failure alone rests it again.

    def rests(self, now: float) -> bool:
        """Whether the server gets no work now."""
        return now < self._rests_until
