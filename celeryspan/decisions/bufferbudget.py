"""Decides how much of each answer a router buffers before it forwards any of it.

A buffered answer that breaks off can still be retried or reported as an error. Without
a bound over all answers, a few servers that send without end would use up the memory of
the process.
"""

from __future__ import annotations

UNCOUNTED_BYTES = 16_384
"""Answers up to this size are always buffered."""


class BufferBudget:
    """Bytes of answers that may be buffered at once.

    Attributes
    ----------
    total : int
        Bytes in use.
    """

    def __init__(self, total_max: int) -> None:
        self._total_max = total_max
        self.total = 0

    def resize(self, held: int, size: int) -> bool:
        """Return whether the buffer of an answer may change its size.

        Parameters
        ----------
        held, size : int
            The size that it has been granted, and the one that it asks for, in bytes.
        """
        change = _count(size) - _count(held)
        if change > 0 and self.total + change > self._total_max:
            return False
        self.total += change
        return True


def _count(size: int) -> int:
    return size if size > UNCOUNTED_BYTES else 0
