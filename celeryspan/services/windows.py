"""Windows of the backend servers kept here, fed by their load reports."""

from __future__ import annotations

import collections

import msgspec

from celeryspan import events, ids
from celeryspan.decisions import limits

HISTORY = 64
"""Samples of slots in use kept for each server: 6 s at ten a second, more than the
lag of any load report seen."""


class _Entry(msgspec.Struct):
    window: limits.Window
    used: collections.deque[tuple[float, int]]
    load: limits.LoadReport | None = None


class Windows:
    """Learns each window, and what other parts of a split fleet use of a server."""

    def __init__(self) -> None:
        self._entries: dict[ids.ServerId, _Entry] = {}

    def add(self, server: ids.ServerId, slots: int, now: float) -> None:
        """Begin at the register's number of slots."""
        history = collections.deque([(now, 0)], HISTORY)
        self._entries[server] = _Entry(limits.Window(slots, now), history)

    def forget(self, server: ids.ServerId) -> None:
        """Drop a server whose home is elsewhere now."""
        self._entries.pop(server, None)

    def report(
        self, server: ids.ServerId, load: limits.LoadReport, in_use: int, now: float
    ) -> None:
        """Learn from a load report."""
        entry = self._entries[server]
        entry.load = load
        before = entry.window.size
        entry.window.record_load(load, in_use, now)
        if entry.window.size != before:
            events.log(
                events.Event.WINDOW_CHANGED,
                server=server,
                old=before,
                new=entry.window.size,
            )

    def size(self, server: ids.ServerId, in_use: int, now: float) -> int:
        """Return the window, and remember the slots in use."""
        entry = self._entries[server]
        entry.used.append((now, in_use))
        return entry.window.size

    def others_running(self, server: ids.ServerId) -> float | None:
        """Return what the server runs beyond this ledger's grants; None if unknown.

        The report lags, so it is held against the greatest number of slots that were
        in use around that time; otherwise each fall in use would look like another
        home's work, and the window would shrink while work waits.
        """
        entry = self._entries[server]
        load = entry.load
        if load is None:
            return None
        around = [used for at, used in entry.used if at >= load.as_of - 1.0]
        most = max(around, default=0)
        return max(0.0, float(load.running + load.waiting - most))
