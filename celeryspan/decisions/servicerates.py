"""Measures the rates at which a pool and its accounts are served, in units a second."""

from __future__ import annotations

import math

import msgspec

RATE_DECAY_SECONDS = 2.0
"""Time constant of the decay of service rates. It spans several of the changes of speed
that servers on shared VMs go through."""

KNOWN_SECONDS_MIN = 0.25
"""Time with all servers full from which the rate of the pool is known."""

KNOWN_STARTS_MIN = 8.0
"""Starts in that time from which the rate of the pool is known."""


class AccountRate(msgspec.Struct):
    """Rate at which requests of one account start."""

    started: float = 0.0
    decayed_at: float = 0.0

    def record_start(self, units: float, now: float) -> None:
        """Count a request that starts."""
        self.started = self._decay(now) + units
        self.decayed_at = now

    def measure(self, now: float) -> float:
        """Return the rate."""
        return self._decay(now) / RATE_DECAY_SECONDS

    def _decay(self, now: float) -> float:
        return self.started * math.exp((self.decayed_at - now) / RATE_DECAY_SECONDS)


class FullRate:
    """Rate at which requests start while all servers are full, in units a second.

    At other times the rate is that of arrivals and says nothing about capacity.

    Attributes
    ----------
    was_full : bool
        Whether all servers were full at the last observation.
    """

    def __init__(self) -> None:
        self._seconds = self._units = self._starts = 0.0
        self._new_units = self._new_starts = 0.0
        self._observed_at = 0.0
        self.was_full = False

    def record_start(self, units: float) -> None:
        """Count a request that starts."""
        self._new_units += units
        self._new_starts += 1.0

    def observe(self, now: float, *, is_full: bool) -> None:
        """Count the time since the last call if all servers were full at that time."""
        elapsed = now - self._observed_at
        factor = math.exp(-elapsed / RATE_DECAY_SECONDS)
        counts = 1.0 if self.was_full else 0.0
        self._seconds = self._seconds * factor + counts * elapsed
        self._units = self._units * factor + counts * self._new_units
        self._starts = self._starts * factor + counts * self._new_starts
        self._new_units = self._new_starts = 0.0
        self._observed_at, self.was_full = now, is_full

    def is_known(self) -> bool:
        """Whether enough was started while all servers were full."""
        return self._seconds >= KNOWN_SECONDS_MIN and self._starts >= KNOWN_STARTS_MIN

    def measure(self) -> float:
        """Return the rate; call it only if it is known."""
        return self._units / self._seconds
