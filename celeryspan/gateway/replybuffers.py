"""The memory for plain answers, and events of streams, that still arrive."""

from __future__ import annotations

import threading

from celeryspan.decisions import bufferbudget


class ReplyBuffer:
    """The buffer of one answer.

    Attributes
    ----------
    data : bytearray
        What has been added.
    held : int
        Bytes that the answer has been granted.
    """

    def __init__(
        self, size_max: int, budget: bufferbudget.BufferBudget, lock: threading.Lock
    ) -> None:
        self.data = bytearray()
        self._size_max = size_max
        self._budget = budget
        self._lock = lock
        self.held = 0

    def add(self, piece: bytes) -> bool:
        """Add a part of the answer; return whether a further one may be added."""
        self.data += piece
        return len(self.data) <= self._size_max and self.reserve(len(self.data))

    def reserve(self, size: int) -> bool:
        """Return whether the answer may occupy a number of bytes."""
        if max(size, self.held) <= bufferbudget.UNCOUNTED_BYTES:
            return True
        with self._lock:
            if not self._budget.resize(self.held, size):
                return False
        self.held = size
        return True

    def release(self) -> None:
        """Give back what the answer has been granted."""
        if self.held:
            self.reserve(0)


class ReplyBuffers:
    """Buffers of all answers of a router, within one budget.

    Parameters
    ----------
    answer_max, total_max : int
        Bytes that may be buffered of one answer, and of all at once.
    """

    def __init__(self, answer_max: int, total_max: int) -> None:
        self._answer_max = answer_max
        self._budget = bufferbudget.BufferBudget(total_max)
        self._lock = threading.Lock()

    def open(self) -> ReplyBuffer:
        """Return a buffer for one answer, which must be released at its end."""
        return ReplyBuffer(self._answer_max, self._budget, self._lock)

    def count_bytes(self) -> int:
        """Return the bytes in use, without those of small answers."""
        return self._budget.total
