"""The memory for plain answers, and events of streams, that still arrive."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator

from celeryspan.decisions import bufferbudget


class ReplyBuffer:
    """The buffer of one answer.

    Attributes
    ----------
    data : bytearray
        What has been added.
    """

    def __init__(
        self, size_max: int, budget: bufferbudget.BufferBudget, lock: threading.Lock
    ) -> None:
        self.data = bytearray()
        self._size_max = size_max
        self._budget = budget
        self._lock = lock
        self._held = 0

    def add(self, piece: bytes) -> bool:
        """Add a part of the answer; return whether a further one may be added."""
        self.data += piece
        return len(self.data) <= self._size_max and self.reserve(len(self.data))

    def reserve(self, size: int) -> bool:
        """Return whether the answer may occupy a number of bytes."""
        if max(size, self._held) <= bufferbudget.UNCOUNTED_BYTES:
            return True
        with self._lock:
            if not self._budget.resize(self._held, size):
                return False
        self._held = size
        return True

    def release(self) -> None:
        """Give back what the answer has been granted."""
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

    @contextlib.contextmanager
    def open(self) -> Iterator[ReplyBuffer]:
        """Yield a buffer for one answer and release it at the end."""
        buffer = ReplyBuffer(self._answer_max, self._budget, self._lock)
        try:
            yield buffer
        finally:
            buffer.release()

    def count_bytes(self) -> int:
        """Return the bytes in use, without those of small answers."""
        return self._budget.total
