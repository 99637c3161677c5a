"""Detects when a router's processor is saturated.

Late threads are one sign. They are not enough: a router whose two hundred threads take
turns on one interpreter lock uses all its processor time while each thread wakes up
within some milliseconds, and its requests take seconds. The share of processor time in
use (:class:`ProcessorMeter`) shows that in the first second. A VM
that gives half a core is saturated at half a core.

If all callers of one account use one router that is also the home of a pool, the
threads of that router run late and it delays decisions for the whole fleet. A router
that reports itself busy hands its ledgers to routers with spare processor time.

Each change moves ledgers, and the state that a home has learned is lost with them.
Hence a router becomes busy quickly and stays busy for long.
"""

from __future__ import annotations

from celeryspan.decisions import overload

BUSY_AFTER_SECONDS = 0.5
"""How long threads must run late before the router is busy, so that a single pause does
not count as load."""

RECOVERED_AFTER_SECONDS = 10.0
"""How long threads must run on time before the router is no longer busy, since overload
comes in waves."""


METER_SECONDS = 0.3
"""Time over which the use of the processor is averaged: long enough for the resolution
of the process's clock and a garbage collection, short against the second for which
callers wait to be read."""


class ProcessorMeter:
    """Measures which share of its processor time a router uses.

    Parameters
    ----------
    capacity : float
        Processor time that the VM gives in a second, in seconds of a core. More than
        one core is of no use, since only one thread runs at a time.

    Attributes
    ----------
    use : float
        Share of that time in use, averaged over ``METER_SECONDS``.
    """

    def __init__(self, capacity: float = 1.0) -> None:
        self.use = 0.0
        self._capacity = min(capacity, 1.0)
        self._measured_at: float | None = None
        self._used_before = 0.0

    def record(self, used: float, now: float) -> None:
        """Record the processor time used since the start of the process, in seconds."""
        if self._measured_at is None:
            self._measured_at, self._used_before = now, used
            return
        elapsed = now - self._measured_at
        if elapsed < METER_SECONDS:
            return
        seconds = used - self._used_before
        self.use = min(seconds / (elapsed * self._capacity), 1.0)
        self._measured_at, self._used_before = now, used


class BusyDetector:
    """Decides whether a router is busy from the lateness of its threads.

    Attributes
    ----------
    is_busy : bool
        The state that the router reports to others.
    """

    def __init__(self) -> None:
        self.is_busy = False
        self._changing_since: float | None = None

    def record(self, lateness: float, now: float) -> bool:
        """Record the mean lateness, in seconds; return whether ``is_busy`` changed."""
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
