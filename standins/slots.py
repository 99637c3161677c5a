"""Slots of a backend server and its report of load, which lags."""

from __future__ import annotations

import collections
import contextlib
import threading
import time
from collections.abc import Iterator

REPORTS_KEPT = 4096


class Slots:
    """At most ``slots`` calls run at once; the rest wait in order of arrival."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self._changed = threading.Condition()
        self._queue: collections.deque[object] = collections.deque()

    @property
    def waiting(self) -> int:
        """How many calls wait for a slot."""
        return len(self._queue)

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Wait for a slot, and give it back at the end."""
        place = object()
        with self._changed:
            self._queue.append(place)
            self._changed.wait_for(
                lambda: self._queue[0] is place and self.running < self.slots
            )
            self._queue.popleft()
            self.running += 1
            self._changed.notify_all()
        try:
            yield
        finally:
            with self._changed:
                self.running -= 1
                self._changed.notify_all()


class LoadReport:
    """Remembers loads, and shows the one of some seconds ago."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self._reports: collections.deque[dict] = collections.deque(maxlen=REPORTS_KEPT)

    def note(self, **load: object) -> None:
        """Remember the load as it is now."""
        self._reports.append(load | {"as_of": time.time()})

    def show(self) -> dict:
        """Return the newest load that is older than the lag, or the oldest known."""
        visible = time.time() - self.lag_seconds
        reports = list(self._reports)
        older = [report for report in reports if report["as_of"] <= visible]
        return older[-1] if older else reports[0]
