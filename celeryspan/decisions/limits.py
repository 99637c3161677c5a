"""The window of a backend server: how many requests it is given at once.

Load pattern: a model engine batches what it is given and queues the rest inside,
without priorities; it reports its load seconds late.

Without it: a window too large moves the waiting into the engine, where no fairness
reaches it, and slows every stream; a window too small leaves capacity idle; one that
follows each late report swings between both.

Grounds of the figures: stated beside each constant; `docs/design/limits.md` has the
measurements.
"""

from __future__ import annotations

import dataclasses

from celeryspan import ids
from celeryspan.decisions import pacing

FLOOR = 1
"""Least window: one request at a time keeps the server observed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says about itself.

    Attributes
    ----------
    running, waiting : int
        Requests in its batch, and inside it but not in the batch yet.
    tokens_per_second : float
        Sum over its streams.
    as_of : float
        Time at which this was so, on the clock of the receiver, in seconds.
    """

    slots: int
    running: int
    waiting: int
    tokens_per_second: float
    as_of: float
    leaving: bool = False


class Window:
    """Window of one server."""

    def __init__(self, ceiling: int, now: float, floor: int = FLOOR) -> None:
        self._ceiling = ceiling
        self._floor = floor
        self._changed_at = now
        self.size = ceiling

    def report(self, load: LoadReport, in_use: int, now: float) -> None:
        """Learn from a load report.

        Parameters
        ----------
        in_use : int
            Slots of the window in use now.
        """
        lag = max(0.0, now - load.as_of)
        if load.as_of < self._changed_at + pacing.Loop.WINDOW.value.interval:
            return
        del lag
        if load.waiting > 0:
            self._resize(self.size - load.waiting, now)
        elif in_use >= self.size:
            self._resize(self.size + 1, now)

    def answer(self, failed: bool, token_seconds: float | None, now: float) -> None:
        """Learn from the end of a request.

        Parameters
        ----------
        failed : bool
            Whether the server refused it as overloaded or did not answer in time.
        token_seconds : float or None
            Mean seconds between two tokens of its stream.
        """

    def _resize(self, size: int, now: float) -> None:
        size = max(self._floor, min(self._ceiling, size))
        if size != self.size:
            self.size = size
            self._changed_at = now


class Windows:
    """Windows of the servers that a router is home of."""

    def __init__(self) -> None:
        self._windows: dict[ids.ServerId, Window] = {}

    def find(self, server: ids.ServerId, ceiling: int, now: float) -> Window:
        """Return the window of a server; a new one starts at its ceiling."""
        window = self._windows.get(server)
        if window is None:
            window = self._windows[server] = Window(ceiling, now)
        return window

    def forget(self, server: ids.ServerId) -> None:
        """Drop the window of a server that is gone or has another home."""
        self._windows.pop(server, None)
