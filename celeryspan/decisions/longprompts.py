"""Which prompts are read at engines of their own, and how many engines that takes.

Load answered: prompts of tens of thousands of tokens among streams that must not pause.
Where reading one makes the streams beside it pause past their limit, engines are set
apart. Where it does not, since an engine reads less in a step than the model says, such
engines stand idle beside a queue: with six engines that read half as much in a step
callers got 0.58 of the worth when they were set apart and 0.63 when not (less prices,
the mean of five days with floods and crashes; emulated engines say the opposite on
cold and heavy loads, see docs/design/decisions-under-load.md).

So the pauses that streams really make beside long prompts are told by the routers at
the end of each run, and what the model says is scaled by them.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

DEDICATED_UTILISATION = 0.6
"""Part of the time that engines set apart shall read: one that reads all the time
makes the next long prompt wait for as long as the one before it takes."""

DEDICATED_SHARE_MAX = 0.34
"""Part of the engines that may be set apart."""

LOAD_DECAY_SECONDS = 10.0
"""Time over which the reading of long prompts is averaged."""

RETENTION_DECAYS = 5
"""A prompt is forgotten after so many fades: it counts for less than a hundredth."""

RATIO_RISE_WEIGHT = 0.3
RATIO_FALL_WEIGHT = 0.1
"""Part of the way that the ratio follows one pause, up and down: it settles where one
pause in four is longer than it says, and one hiccup of a router is soon forgotten."""

PRIOR_PAUSES = 5
"""What the model's word counts for, in pauses: the first move the ratio by a sixth,
a seventh and so on."""

RATIO_RANGE = (0.1, 1.5)
"""How far pauses may differ from the model's."""


class _Arrival(NamedTuple):
    at: float
    pause: float
    limit: float
    read: float


class LongPrompts:
    """What is known of the long prompts of one pool.

    Attributes
    ----------
    ratio : float
        Pauses that streams make beside long prompts, against what the model says.
    """

    def __init__(self) -> None:
        self.ratio = 1.0
        self._pause_samples = 0
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._load = 0.0

    def is_long(self, pause: float, limit: float) -> bool:
        """Whether streams pause too long beside a prompt.

        Parameters
        ----------
        pause, limit : float
            What the model says, and what is allowed, in seconds.
        """
        return pause * self.ratio > limit

    def record_arrival(
        self, pause: float, limit: float, read: float, now: float
    ) -> None:
        """Count a prompt, and the seconds to read it, if the model calls it long.

        It counts for nothing while pauses turn out to be shorter, and again when they
        don't any more.
        """
        if pause > limit:
            self._arrivals.append(_Arrival(now, pause, limit, read))
            self.update(now)

    def record_pause(self, pause: float, observed: float) -> None:
        """Take in the longest pause of a stream beside which a long prompt was read.

        Parameters
        ----------
        pause, seen : float
            What the model said, and what the caller saw, in seconds.
        """
        low, high = RATIO_RANGE
        ratio = min(max(observed / pause, low), high)
        weight = RATIO_RISE_WEIGHT if ratio > self.ratio else RATIO_FALL_WEIGHT
        self._pause_samples += 1
        weight = max(weight, 1 / (self._pause_samples + PRIOR_PAUSES))
        self.ratio += (ratio - self.ratio) * weight

    def update(self, now: float) -> None:
        """Work out anew how much of an engine's time long prompts take."""
        oldest = now - RETENTION_DECAYS * LOAD_DECAY_SECONDS
        while self._arrivals and self._arrivals[0].at < oldest:
            self._arrivals.popleft()
        read = sum(
            each.read * math.exp((each.at - now) / LOAD_DECAY_SECONDS)
            for each in self._arrivals
            if self.is_long(each.pause, each.limit)
        )
        self._load = read / LOAD_DECAY_SECONDS

    def count_dedicated(self, servers: int) -> int:
        """Return how many of so many engines are set apart."""
        most = math.floor(servers * DEDICATED_SHARE_MAX)
        return min(most, math.ceil(self._load / DEDICATED_UTILISATION))
