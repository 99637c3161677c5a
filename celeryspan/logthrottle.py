"""Lets a line that repeats be written now and then, with how often it came.

A fault that comes again at once wrote the same line a thousand times a second: the
lines that told its beginning were pushed out, and writing them took the processor that
the process lacked.
"""

from __future__ import annotations

import threading

INTERVAL_SECONDS = 1.0
"""Least time between two lines of one kind: short enough to see when a fault begins
and ends, and one line a second is nothing beside those of requests."""

KINDS_MAX = 256
"""Kinds of lines that are remembered; an error whose text differs each time must not
fill the memory."""


class Throttle:
    """Says which of the lines that repeat are to be written."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._written_at: dict[str, float] = {}
        self._held_back: dict[str, int] = {}

    def admit(self, kind: str, now: float) -> int:
        """Return how many lines of a kind this one stands for; 0 if it is held back.

        Parameters
        ----------
        now : float
            On the monotonic clock, in seconds.
        """
        with self._lock:
            written_at = self._written_at.get(kind)
            if written_at is not None and now - written_at < INTERVAL_SECONDS:
                self._held_back[kind] = self._held_back.get(kind, 0) + 1
                return 0
            if written_at is None and len(self._written_at) >= KINDS_MAX:
                self._written_at.clear()
                self._held_back.clear()
            self._written_at[kind] = now
            return self._held_back.pop(kind, 0) + 1
