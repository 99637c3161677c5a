"""Rate-limits repeated log lines and counts those that are suppressed.

A fault that recurs immediately can log the same line a thousand times a second. That
pushes the lines about its start out of a bounded log and uses processor time that an
overloaded process needs elsewhere.
"""

from __future__ import annotations

import threading

INTERVAL_SECONDS = 1.0
"""Minimum time between two lines of one kind: short enough to see when a fault begins
and ends, and one line a second is negligible next to the lines about requests."""

KINDS_MAX = 256
"""Maximum number of kinds that are tracked, which bounds memory when the text of an
error differs each time."""


class Throttle:
    """Decides which of the repeated log lines are written."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._written_at: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, kind: str, now: float) -> int:
        """Return how many lines this one represents, or 0 if it is suppressed.

        Parameters
        ----------
        kind : str
            Identifies lines that count as repeats of each other.
        now : float
            Time on the monotonic clock, in seconds.
        """
        with self._lock:
            written_at = self._written_at.get(kind)
            if written_at is not None and now - written_at < INTERVAL_SECONDS:
                self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
                return 0
            if written_at is None and len(self._written_at) >= KINDS_MAX:
                self._written_at.clear()
                self._suppressed.clear()
            self._written_at[kind] = now
            return self._suppressed.pop(kind, 0) + 1
