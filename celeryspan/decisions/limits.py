"""Adaptive concurrency window of a backend server.

A model engine batches the requests it gets and queues the rest internally, without
priorities, and reports its load with a lag of seconds.

A window that is too large moves the queue into the engine, where fairness does not
apply, and slows down every stream. A window that is too small leaves capacity idle. A
window that follows every stale report oscillates between the two.

See `docs/design/limits.md` for the measurements behind the constants.
"""

from __future__ import annotations

import math

import msgspec

from celeryspan import ids
from celeryspan.decisions import ratelimits

MIN_WINDOW = 1
"""Minimum window: one request at a time keeps the server under observation."""

ENGINE_QUEUE_SHARE = 0.1
"""Requests that may queue inside the engine, as a share of its batch. They replace
requests that finish, and their presence in a report shows that the batch is full."""

FIRST_GROWTH_SHARE = 0.25
"""First growth step, as a share of the window. The step doubles with each further
growth while no requests queue inside the engine. Growing too far costs one reporting
lag of queueing, since the next report shows the excess; growing too slowly leaves the
server idle for many lags."""

MAX_GROWTH_SHARE = 1.0
"""Maximum growth step, as a share of the window."""

SLOW_STREAM_CUT_SHARE = 0.1
"""Reduction per change, as a share of the window, while streams are slower than
promised."""

FAILURE_WINDOW_FACTOR = 0.7
"""Factor on the window when the server refuses a request or times out, since no report
shows the excess then."""

MAX_TOKEN_SECONDS = 0.046
"""Maximum mean time between two tokens that is promised for streams."""

DECAY = 0.9
"""Weight of earlier streams in the moving average of the time between tokens."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load report of a backend server.

    Attributes
    ----------
    running, waiting : int
        Requests in the server's batch, and requests queued inside it.
    tokens_per_second : float
        Total over all streams.
    as_of : float
        Time of the observation on the receiver's clock, in seconds.
    """

    slots: int
    running: int
    waiting: int
    tokens_per_second: float
    as_of: float
    leaving: bool = False


class Window:
    """Window of one server.

    A report changes the window only if it was taken after the last change could take
    effect, so that the same overload is corrected once. The window is reduced by the
    reported overload: the requests queued inside the engine beyond a small reserve.

    Parameters
    ----------
    max_size : int
        Number of slots in the register; never exceeded.
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
        """Adjust the window to a load report.

        Parameters
        ----------
        in_use : int
            Slots of the window currently in use.
        """
        if in_use >= self.size:
            self._full_at = now
        settled = self._changed_at + ratelimits.FeedbackLoop.WINDOW.value.interval
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
        """Adjust the window to the end of a request.

        Parameters
        ----------
        failed : bool
            Whether the server refused it as overloaded or did not answer in time.
        token_seconds : float or None
            Mean seconds between two tokens of its stream.
        """
        may_change = (
            now - self._changed_at >= ratelimits.FeedbackLoop.WINDOW.value.interval
        )
        if failed:
            if may_change:
                self._resize(int(self.size * FAILURE_WINDOW_FACTOR), now)
            return
        if token_seconds is None:
            return
        if not self._token_seconds:
            self._token_seconds = token_seconds
        self._token_seconds += (token_seconds - self._token_seconds) * (1.0 - DECAY)
        if self._token_seconds > MAX_TOKEN_SECONDS:
            self._slow_at = now
            if may_change and now - self._changed_at >= self._stream_settle_seconds():
                self._resize(
                    self.size - max(1, int(SLOW_STREAM_CUT_SHARE * self.size)), now
                )

    def _stream_settle_seconds(self) -> float:
        """Return the time after a change until the mean covers only new streams."""
        return 5.0 * ratelimits.FeedbackLoop.WINDOW.value.interval

    def _may_grow(self, load: LoadReport, now: float) -> bool:
        """Whether the window is in use and the server's streams keep their token time.

        An unused window says nothing about the engine's capacity. Growing it would
        admit a burst of a size that the engine has never handled.
        """
        is_in_use = now - self._full_at <= now - load.as_of + 1.0
        is_slow = now - self._slow_at <= 4.0 * self._stream_settle_seconds()
        return is_in_use and not is_slow and load.waiting == 0

    def _resize(self, size: int, now: float) -> None:
        size = max(self._min_size, min(self._max_size, size))
        if size != self.size:
            self.size = size
            self._changed_at = now


class Windows:
    """Windows of the servers whose home is this router."""

    def __init__(self) -> None:
        self._windows: dict[ids.ServerId, Window] = {}

    def find(self, server: ids.ServerId, max_size: int, now: float) -> Window:
        """Return the window of a server; a new window starts at its maximum size."""
        window = self._windows.get(server)
        if window is None:
            window = self._windows[server] = Window(max_size, now)
        return window

    def forget(self, server: ids.ServerId) -> None:
        """Drop the window of a server that is gone or has a different home."""
        self._windows.pop(server, None)
