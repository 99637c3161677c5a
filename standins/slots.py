"""Concurrency slots of a backend server and its delayed load report."""

from __future__ import annotations

import collections
import contextlib
import threading
import time
from collections.abc import Iterator

SAMPLES_MAX = 4096


class Slots:
    """Runs at most ``slots`` calls concurrently; the rest wait in order of arrival."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self._changed = threading.Condition()
        self._queue: collections.deque[object] = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    @contextlib.contextmanager
    def acquire(self) -> Iterator[None]:
        """Acquire a slot, waiting for one if needed, and release it on exit."""
        waiter = object()
        with self._changed:
            self._queue.append(waiter)
            self._changed.wait_for(
                lambda: self._queue[0] is waiter and self.running < self.slots
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
    """Records load samples and reports them ``lag_seconds`` late."""

    def __init__(self, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self._samples: collections.deque[dict] = collections.deque(maxlen=SAMPLES_MAX)

    def record(self, **load: object) -> None:
        """Record a sample of the current load."""
        self._samples.append(load | {"as_of": time.time()})

    def read(self) -> dict:
        """Return the newest sample older than the lag, or the oldest one if none is."""
        latest = time.time() - self.lag_seconds
        samples = list(self._samples)
        due = [sample for sample in samples if sample["as_of"] <= latest]
        return due[-1] if due else samples[0]
