"""When a router says that its processor has no time left.

Load answered: the callers of one account all use one router, and that router is home of
a pool as well. Its threads run late, so that it decides late for the whole fleet. A
router that says so hands its ledgers to others that have time.

Each change moves ledgers, and what a home has learned is lost with them, so that a
router is soon busy and for long.
"""

from __future__ import annotations

from celeryspan.decisions import overload

BUSY_SECONDS = 0.5
"""How long threads must run late: one pause is no load."""

CALM_SECONDS = 10.0
"""How long they must not: floods come in waves."""


class Busyness:
    """Whether one router is busy, by how late its threads run.

    Attributes
    ----------
    is_busy : bool
        What the router says of itself.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self._since: float | None = None

    def note(self, lateness: float, now: float) -> bool:
        """Take in the mean lateness, in seconds; returns whether the word changes."""
        late = lateness > overload.LATENESS_HIGH_SECONDS
        differs = not late if self.is_busy else late
        if not differs:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < (CALM_SECONDS if self.is_busy else BUSY_SECONDS):
            return False
        self.is_busy, self._since = not self.is_busy, None
        return True
