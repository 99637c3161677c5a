"""When a router says that its processor has no time left.

Load answered: the callers of one account all use one router, and that router is home of
a pool as well. Its threads run late, so that it decides late for the whole fleet. A
router that says so hands its ledgers to others that have time.

Each change moves ledgers, and what a home has learned is lost with them, so that a
router is soon busy and for long.
"""

from __future__ import annotations

from celeryspan.decisions import overload

BUSY_AFTER_SECONDS = 0.5
"""How long threads must run late: one pause is no load."""

RECOVERED_AFTER_SECONDS = 10.0
"""How long they must not: floods come in waves."""


class BusyDetector:
    """Whether one router is busy, by how late its threads run.

    Attributes
    ----------
    is_busy : bool
        What the router says of itself.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self._changing_since: float | None = None

    def record(self, lateness: float, now: float) -> bool:
        """Take in the mean lateness, in seconds; returns whether the word changes."""
        late = lateness > overload.LATENESS_HIGH_SECONDS
        differs = not late if self.is_busy else late
        if not differs:
            self._changing_since = None
            return False
        if self._changing_since is None:
            self._changing_since = now
        if now - self._changing_since < (
            RECOVERED_AFTER_SECONDS if self.is_busy else BUSY_AFTER_SECONDS
        ):
            return False
        self.is_busy, self._changing_since = not self.is_busy, None
        return True
