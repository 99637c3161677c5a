"""Bounds the memory that the requests of callers take at once.

A body is kept until its request has been answered, since it may have to be sent again.
Without a bound a few dozen callers with large bodies take a router over its memory, and
all its requests are lost.
"""

from __future__ import annotations

import threading
from collections.abc import Hashable

from celeryspan.decisions import bufferbudget

REQUEST_BYTES_DEFAULT = 67_108_864


class RequestMemory:
    """What the requests in arrival and in progress hold, within one budget.

    Parameters
    ----------
    total_max : int
        Bytes that may be held at once, without those of small requests.

    Attributes
    ----------
    total_max : int
    """

    def __init__(self, total_max: int = REQUEST_BYTES_DEFAULT) -> None:
        self.total_max = total_max
        self._budget = bufferbudget.BufferBudget(total_max)
        self._held: dict[Hashable, int] = {}
        self._lock = threading.Lock()

    def count_bytes(self) -> int:
        """Return the bytes that are held, without those of small requests."""
        return self._budget.total

    def resize(self, holder: Hashable, size: int) -> bool:
        """Return whether a holder may hold a number of bytes, which are then counted.

        Small holders cost no lock.
        """
        if size <= bufferbudget.UNCOUNTED_BYTES and holder not in self._held:
            return True
        with self._lock:
            held = self._held.pop(holder, 0)
            is_granted = self._budget.resize(held, size)
            if is_granted:
                held = size
            if held > bufferbudget.UNCOUNTED_BYTES:
                self._held[holder] = held
            return is_granted

    def release(self, holder: Hashable) -> None:
        """Give back all bytes of a holder."""
        self.resize(holder, 0)
