"""Limits the requests in progress on one router by the lateness of its threads.

If an account sends twice as much to one router as its processor can forward, hundreds
of threads compete for the processor: streams stall, the accepting thread runs only once
every few seconds, and neither running nor new requests are answered in time while the
engines idle. A caller that is refused at once can retry later or elsewhere, and the
admitted requests are served.

A thread measures the lateness by sleeping for a short time: it wakes up as late as all
other threads run. The limit is lowered by a factor when the lateness is high and raised
slowly while it is low (additive increase, multiplicative decrease). Decreases are
spaced out, since requests already admitted must end before a lower limit takes effect.
"""

from __future__ import annotations

LATENESS_HIGH_SECONDS = 0.06
"""Mean lateness above which the limit is lowered: a fifth of the longest acceptable
pause in a stream, or about ten threads that each run for 5 ms before this one."""

LATENESS_LOW_SECONDS = 0.02
"""Mean lateness below which the limit is raised."""

PROCESSOR_USE_HIGH = 0.9
"""Share of the processor time in use above which the limit is lowered."""

PROCESSOR_USE_LOW = 0.75
"""Share of the processor time in use below which the limit is raised."""

LATENESS_SAMPLE_MAX_SECONDS = 0.25
"""Maximum lateness of one sample; larger values are clipped, since a VM that was paused
for seconds is not overloaded."""

LATENESS_EWMA_WEIGHT = 0.2
"""Weight of the newest sample in the moving average, which so covers about five samples
or half a second."""

DECREASE_FACTOR = 0.85
"""Factor by which the limit is multiplied on a decrease."""

DECREASE_INTERVAL_SECONDS = 0.5
"""Minimum time between two decreases: most of the excess streams end within it or soon
afterwards."""

INCREASE_PER_SECOND = 12.0
"""Increase of the limit, in requests per second: from 80 to 320 requests in 20 s."""

LIMIT_MIN = 16
"""Minimum limit: the requests that a slow VM handles in one second. A smaller number of
request threads is the minimum itself."""


class ConcurrencyLimiter:
    """Limits the number of requests in progress on one router.

    Parameters
    ----------
    limit_max : int
        Maximum limit: the maximum number of request threads.
    initial : int, optional
        Limit before the first sample; ``limit_max`` by default.
    lateness_high, lateness_low : float
        Mean lateness above which the limit is lowered, and below which it is raised.
    decrease_factor, decrease_interval : float
        Factor of a decrease, and minimum time between two, in seconds.
    limit_min : int
        Minimum limit.

    Attributes
    ----------
    lateness : float
        Moving average of the lateness, in seconds.
    """

    def __init__(
        self,
        limit_max: int,
        *,
        initial: int | None = None,
        lateness_high: float = LATENESS_HIGH_SECONDS,
        lateness_low: float = LATENESS_LOW_SECONDS,
        decrease_factor: float = DECREASE_FACTOR,
        decrease_interval: float = DECREASE_INTERVAL_SECONDS,
        limit_min: int = LIMIT_MIN,
    ) -> None:
        self.lateness = 0.0
        self._lateness_high = lateness_high
        self._lateness_low = lateness_low
        self._decrease_factor = decrease_factor
        self._decrease_interval = decrease_interval
        self._limit_max = float(limit_max)
        self._limit_min = float(min(limit_min, limit_max))
        self._limit = float(limit_max if initial is None else min(initial, limit_max))
        self._decreased_at = float("-inf")
        self._recorded_at: float | None = None

    @property
    def limit(self) -> int:
        """Maximum number of requests in progress."""
        return int(self._limit)

    def record(
        self, lateness: float, in_progress: int, now: float, processor_use: float = 0.0
    ) -> None:
        """Record a sample and adjust the limit.

        Parameters
        ----------
        lateness : float
            How much longer than requested a sleep took, in seconds.
        processor_use : float
            Share of its processor time that the router uses; 0 if it doesn't count.
        """
        elapsed = 0.0 if self._recorded_at is None else now - self._recorded_at
        self._recorded_at = now
        sample = min(lateness, LATENESS_SAMPLE_MAX_SECONDS)
        self.lateness += (sample - self.lateness) * LATENESS_EWMA_WEIGHT
        if self.lateness > self._lateness_high or processor_use > PROCESSOR_USE_HIGH:
            if now - self._decreased_at >= self._decrease_interval:
                self._decreased_at = now
                current = min(self._limit, float(in_progress))
                self._limit = max(self._limit_min, current * self._decrease_factor)
        elif self.lateness < self._lateness_low and processor_use < PROCESSOR_USE_LOW:
            raised = self._limit + elapsed * INCREASE_PER_SECOND
            self._limit = min(self._limit_max, raised)

    def admits(self, in_progress: int) -> bool:
        """Return whether one more request may be admitted."""
        return in_progress < self._limit
