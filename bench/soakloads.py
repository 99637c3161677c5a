"""Servers that report loads and reject requests, in addition to the faults of the soak.

They use a separate random generator, so that the faults of a seed do not depend on
them. Reports change several times a second, and some are invalid. A rejecting server
rejects its next requests without asking for a rest.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench import soakparts

if TYPE_CHECKING:
    from bench import soak

REPORT_SECONDS = 0.2
"""Interval at which one server changes its report."""

PACES = (100, 100, 100, 250, 1_000, 20)
"""Service times in percent of the usual; most servers are as fast as usual."""

INVALID_REPORTS = ("3,0,6,-5", "3,0,0,100", "soon", "1,2,3,4,5", "1e9,0,6,nan")
INVALID_SHARE = 0.1

REJECTING_SHARE = 0.05
"""Share of the changes at which a server also begins to reject."""

REJECTIONS = 12
"""Requests in a row that a rejecting server rejects."""


class Loads(soakparts.RepeatedTask):
    """Changes what servers report, and lets some of them reject requests."""

    def __init__(self, run: soak.Soak, seed: int) -> None:
        super().__init__()
        self._run = run
        self._random = random.Random(f"loads {seed}")

    def choose_pause(self) -> float:
        """Return the seconds until the next change."""
        return REPORT_SECONDS

    def step(self) -> None:
        """Change the report of one server; the last reports stay."""
        server = self._random.choice(self._run.servers)
        server.load = self._choose_report()
        if self._random.random() < REJECTING_SHARE:
            self._run.record_event(f"{server.name} rejects {REJECTIONS} requests")
            server.script.extend(["full"] * REJECTIONS)

    def _choose_report(self) -> str:
        if self._random.random() < INVALID_SHARE:
            return self._random.choice(INVALID_REPORTS)
        running, waiting = self._random.randrange(8), self._random.randrange(3)
        return f"{running},{waiting},8,{self._random.choice(PACES)}"
