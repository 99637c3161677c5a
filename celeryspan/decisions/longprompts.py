"""Decides which prompts are prefilled at dedicated engines, and how many these are.

Prompts of tens of thousands of tokens arrive among streams that must not pause. Where
prefilling one makes the streams beside it pause past their limit, engines are dedicated
to long prompts. Where it doesn't, because an engine prefills less in a step than the
model assumes, dedicated engines idle while requests queue: with six engines that
prefill half as much in a step, callers got 0.58 of the possible value with dedicated
engines and 0.63 without (less prices, the mean of five days with floods and crashes).
Under cold and heavy loads the opposite can hold, see
docs/design/decisions-under-load.md.

Routers therefore report the pauses of streams beside long prompts at the end of each
run, and the model's prediction is scaled by them.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

DEDICATED_UTILISATION = 0.6
"""Target utilisation of dedicated engines. At full utilisation, a long prompt would
wait for as long as the prefill of the one before it takes."""

DEDICATED_SHARE_MAX = 0.34
"""Largest share of the engines that may be dedicated."""

LOAD_DECAY_SECONDS = 10.0
"""Time constant over which the load of long prompts is averaged."""

RETENTION_DECAYS = 5
"""Time constants after which a prompt is dropped; it then weighs less than a hundredth.
"""

RATIO_RISE_WEIGHT = 0.3
RATIO_FALL_WEIGHT = 0.1
"""Weight of the newest pause in the ratio, for longer and for shorter pauses. The ratio
settles where one pause in four is longer than predicted, and a single delay of a router
soon loses its effect."""

PRIOR_PAUSES = 5
"""Weight of the model's prediction, in pauses: the first pauses move the ratio by a
sixth, a seventh and so on."""

RATIO_RANGE = (0.1, 1.5)
"""Smallest and largest ratio of observed to predicted pauses."""


class _Arrival(NamedTuple):
    at: float
    pause: float
    limit: float
    prefill: float


class LongPrompts:
    """Load and pauses caused by the long prompts of one pool.

    Attributes
    ----------
    ratio : float
        Pauses of streams beside long prompts, relative to the model's prediction.
    """

    def __init__(self) -> None:
        self.ratio = 1.0
        self._pause_samples = 0
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._load = 0.0

    def is_long(self, pause: float, limit: float) -> bool:
        """Whether prefilling a prompt makes streams pause too long.

        Parameters
        ----------
        pause, limit : float
            Predicted and longest allowed pause, in seconds.
        """
        return pause * self.ratio > limit

    def record_arrival(
        self, pause: float, limit: float, prefill: float, now: float
    ) -> None:
        """Record a prompt and its prefill time if the model predicts too long a pause.

        It adds no load while observed pauses are short enough, and counts again when
        they aren't.
        """
        if pause > limit:
            self._arrivals.append(_Arrival(now, pause, limit, prefill))
            self.update(now)

    def record_pause(self, pause: float, observed: float) -> None:
        """Record the longest pause of a stream beside the prefill of a long prompt.

        Parameters
        ----------
        pause, observed : float
            Predicted pause, and the one that the caller saw, in seconds.
        """
        low, high = RATIO_RANGE
        ratio = min(max(observed / pause, low), high)
        weight = RATIO_RISE_WEIGHT if ratio > self.ratio else RATIO_FALL_WEIGHT
        self._pause_samples += 1
        weight = max(weight, 1 / (self._pause_samples + PRIOR_PAUSES))
        self.ratio += (ratio - self.ratio) * weight

    def update(self, now: float) -> None:
        """Recompute the load of long prompts, in engines."""
        oldest = now - RETENTION_DECAYS * LOAD_DECAY_SECONDS
        while self._arrivals and self._arrivals[0].at < oldest:
            self._arrivals.popleft()
        prefill = sum(
            each.prefill * math.exp((each.at - now) / LOAD_DECAY_SECONDS)
            for each in self._arrivals
            if self.is_long(each.pause, each.limit)
        )
        self._load = prefill / LOAD_DECAY_SECONDS

    def count_dedicated(self, servers: int) -> int:
        """Return how many of ``servers`` engines are dedicated to long prompts."""
        most = math.floor(servers * DEDICATED_SHARE_MAX)
        return min(most, math.ceil(self._load / DEDICATED_UTILISATION))
