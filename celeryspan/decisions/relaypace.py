"""Decides how often a router relays the events of streams that peers serve for it.

Each event that is relayed by itself takes the processor time of several system calls.
A VM with hundreds of such streams spends all its time on them and accepts no callers.
Events that arrive between two rounds travel together, so that longer intervals cost
less. When even the longest one is not enough, no more requests are handed over.
"""

from __future__ import annotations

INTERVAL_MIN_SECONDS = 0.05

INTERVAL_MAX_SECONDS = 0.12
"""Half of it is added to an event in the mean. Callers notice pauses of some tenths of
a second."""

TIME_SHARE = 0.4
"""Share of the time that rounds may take; the rest is for accepting callers."""


class RelayPace:
    """The times of the rounds in which the rest of answers is relayed.

    Attributes
    ----------
    next_at : float
        Monotonic time in seconds at which the next round may begin.
    seconds : float
        How long the last round took.
    """

    def __init__(self) -> None:
        self.next_at = 0.0
        self.seconds = 0.0

    @property
    def is_full(self) -> bool:
        """Whether rounds at the longest interval take more than their share."""
        return self.seconds > TIME_SHARE * INTERVAL_MAX_SECONDS

    def record(self, began: float, ended: float) -> None:
        """Record the times at which a round began and ended."""
        self.seconds = ended - began
        interval = max(INTERVAL_MIN_SECONDS, self.seconds / TIME_SHARE)
        self.next_at = began + min(interval, INTERVAL_MAX_SECONDS)
