"""Windows of the servers homed on this router, adjusted by their load reports."""

from __future__ import annotations

import collections

import msgspec

from celeryspan import events, ids
from celeryspan.decisions import limits

# Samples of slots in use kept for each server: 6 s at 10 samples a second, longer than
# the lag of any load report seen.
MAX_SAMPLES = 64


class _ServerWindow(msgspec.Struct):
    window: limits.Window
    used: collections.deque[tuple[float, int]]
    load: limits.LoadReport | None = None


class Windows:
    """Tracks server windows and the use of servers by other sides of a partition."""

    def __init__(self) -> None:
        self._entries: dict[ids.ServerId, _ServerWindow] = {}

    def add(self, server: ids.ServerId, slots: int, now: float) -> None:
        """Add a server with the number of slots in the register."""
        history = collections.deque([(now, 0)], MAX_SAMPLES)
        self._entries[server] = _ServerWindow(limits.Window(slots, now), history)

    def forget(self, server: ids.ServerId) -> None:
        """Remove a server that has another home now."""
        self._entries.pop(server, None)

    def record_load(
        self, server: ids.ServerId, load: limits.LoadReport, in_use: int, now: float
    ) -> None:
        """Adjust the window to a load report."""
        entry = self._entries[server]
        entry.load = load
        old_size = entry.window.size
        entry.window.record_load(load, in_use, now)
        if entry.window.size != old_size:
            events.log(
                events.Event.WINDOW_CHANGED,
                server=server,
                old=old_size,
                new=entry.window.size,
            )

    def update(self, server: ids.ServerId, in_use: int, now: float) -> int:
        """Record the slots in use and return the window size."""
        entry = self._entries[server]
        entry.used.append((now, in_use))
        return entry.window.size

    def others_running(self, server: ids.ServerId) -> float | None:
        """Return the requests on a server not granted by this home; None if unknown.

        The report lags, so it is compared with the highest number of slots in use
        around that time. Otherwise each decrease would look like requests of another
        home, and the window would shrink while requests wait.
        """
        entry = self._entries[server]
        load = entry.load
        if load is None:
            return None
        recent = [used for at, used in entry.used if at >= load.as_of - 1.0]
        peak = max(recent, default=0)
        return max(0.0, float(load.running + load.waiting - peak))
