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

import math

import msgspec

from celeryspan import ids
from celeryspan.decisions import pacing

MIN_WINDOW = 1
"""Least window: one request at a time keeps the server observed."""

ENGINE_QUEUE_SHARE = 0.1
"""Requests that may wait inside the engine, as a share of its batch: one is there when
another ends, and a report that shows them says that the batch is full."""

FIRST_GROWTH_SHARE = 0.25
"""First growth, as a share of the window; it doubles with each growth that follows
without waiting inside the engine. Growing too far costs one lag of waiting there,
since the next report says by how much; growing too slowly idles the server for many."""

MAX_GROWTH_SHARE = 1.0
"""Greatest growth for one change."""

SLOW_STREAM_CUT_SHARE = 0.1
"""Cut for one change when streams are slower than promised."""

FAILURE_WINDOW_FACTOR = 0.7
"""Window kept when the server refuses or times out: no report says by how much."""

MAX_TOKEN_SECONDS = 0.046
"""Seconds between two tokens that streams are promised."""

DECAY = 0.9
"""Weight kept by earlier streams in the mean time between tokens."""


class LoadReport(msgspec.Struct, frozen=True):
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
    """Window of one server.

    A change is made only by a report of a time after the last change has shown, so that
    the same overload is answered once. The step is the overload itself, not a guess:
    what waits inside the engine beyond a small reserve.

    Parameters
    ----------
    ceiling : int
        Slots that the register states; never exceeded.
    """

    __slots__ = (
        "_changed_at",
        "_full_at",
        "_growth",
        "_max_size",
        "_min_size",
        "_slow_at",
        "_token_seconds",
        "size",
    )

    def __init__(self, max_size: int, now: float, min_size: int = MIN_WINDOW) -> None:
        self._max_size = max_size
        self._min_size = min_size
        self._changed_at = -math.inf
        self._growth = FIRST_GROWTH_SHARE
        self._full_at = now
        self._slow_at = -math.inf
        self._token_seconds = 0.0
        self.size = max_size

    def record_load(self, load: LoadReport, in_use: int, now: float) -> None:
        """Learn from a load report.

        Parameters
        ----------
        in_use : int
            Slots of the window in use now.
        """
        if in_use >= self.size:
            self._full_at = now
        settled = self._changed_at + pacing.FeedbackLoop.WINDOW.value.interval
        if load.as_of < settled:
            return
        reserve = max(1, math.ceil(ENGINE_QUEUE_SHARE * load.running))
        excess = load.waiting - reserve
        if excess > 0:
            self._growth = FIRST_GROWTH_SHARE
            self._resize(min(self.size, load.running + load.waiting) - excess, now)
        elif self._may_grow(load, now):
            self._resize(self.size + max(1, int(self._growth * self.size)), now)
            self._growth = min(MAX_GROWTH_SHARE, 2.0 * self._growth)

    def record_end(self, failed: bool, token_seconds: float | None, now: float) -> None:
        """Learn from the end of a request.

        Parameters
        ----------
        failed : bool
            Whether the server refused it as overloaded or did not answer in time.
        token_seconds : float or None
            Mean seconds between two tokens of its stream.
        """
        paced = now - self._changed_at >= pacing.FeedbackLoop.WINDOW.value.interval
        if failed:
            if paced:
                self._resize(int(self.size * FAILURE_WINDOW_FACTOR), now)
            return
        if token_seconds is None:
            return
        if not self._token_seconds:
            self._token_seconds = token_seconds
        self._token_seconds += (token_seconds - self._token_seconds) * (1.0 - DECAY)
        if self._token_seconds > MAX_TOKEN_SECONDS:
            self._slow_at = now
            if paced and now - self._changed_at >= self._stream_interval():
                self._resize(
                    self.size - max(1, int(SLOW_STREAM_CUT_SHARE * self.size)), now
                )

    def _stream_interval(self) -> float:
        """Seconds after which the mean shows a change: the streams must be new ones."""
        return 5.0 * pacing.FeedbackLoop.WINDOW.value.interval

    def _may_grow(self, load: LoadReport, now: float) -> bool:
        """Grow only a window that is in use, at a server whose streams keep up.

        A window that is not in use has shown nothing; grown, it would let a burst in
        that the engine has never been seen to bear.
        """
        limited = now - self._full_at <= now - load.as_of + 1.0
        slow = now - self._slow_at <= 4.0 * self._stream_interval()
        return limited and not slow and load.waiting == 0

    def _resize(self, size: int, now: float) -> None:
        size = max(self._min_size, min(self._max_size, size))
        if size != self.size:
            self.size = size
            self._changed_at = now


class Windows:
    """Windows of the servers that a router is home of."""

    def __init__(self) -> None:
        self._windows: dict[ids.ServerId, Window] = {}

    def find(self, server: ids.ServerId, max_size: int, now: float) -> Window:
        """Return the window of a server; a new one starts at its ceiling."""
        window = self._windows.get(server)
        if window is None:
            window = self._windows[server] = Window(max_size, now)
        return window

    def forget(self, server: ids.ServerId) -> None:
        """Drop the window of a server that is gone or has another home."""
        self._windows.pop(server, None)
