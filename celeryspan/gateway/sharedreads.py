"""Reads of the store that several threads share."""

from __future__ import annotations

import threading
import time

READ_INTERVAL_SECONDS = 0.25
"""Least interval between two reads, which serve all streams taken up before."""

READ_TIMEOUT_SECONDS = 2.0
"""Time for which a caller that takes a stream up waits for the store."""


class SharedRead:
    """Lets one thread read for all that wait, each time from the beginning.

    A caller takes a stream up after it began. A read that started after the question
    therefore shows all that was written before the stream's first event.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._is_reading = False
        self._started_at = float("-inf")
        self._completed = float("-inf")

    def begin(self, asked_at: float) -> bool:
        """Wait until a read has answered the question, or this thread must read.

        Returns whether this thread must read; it then calls :meth:`complete`.
        """
        until = asked_at + READ_TIMEOUT_SECONDS
        with self._condition:
            while self._completed < asked_at:
                now = time.monotonic()
                if now >= until:
                    return False
                pause = self._started_at + READ_INTERVAL_SECONDS - now
                if self._is_reading or pause > 0:
                    self._condition.wait(until - now if self._is_reading else pause)
                    continue
                self._is_reading = True
                self._started_at = now
                return True
            return False

    def complete(self, *, is_answered: bool) -> None:
        """Record the end of a read."""
        with self._condition:
            self._is_reading = False
            if is_answered:
                self._completed = self._started_at
            self._condition.notify_all()

    def has_answered(self, asked_at: float) -> bool:
        """Whether a read that started after a question is complete."""
        with self._condition:
            return self._completed >= asked_at
