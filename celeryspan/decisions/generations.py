"""Configuration generations: a router applies only a higher one.

An outdated peer, a restarted router, a healed partition or a stale read of the store
can offer a configuration that has been replaced. Applying it would revert the weights
of client accounts and send work to a retired backend server until the next change.

A generation is a single number, written by conditional update so that two operators
cannot write the same one, and numeric order is therefore a total order. A router
without a configuration serves nothing, because it cannot verify keys and knows no
backend servers.
"""

from __future__ import annotations

import enum

import msgspec

from celeryspan import ids

NONE = ids.Generation(0)
"""No configuration; the first one written has generation 1."""


class OfferResult(enum.Enum):
    """How an offered generation compares with the current one."""

    APPLY = "apply"
    SAME = "same"
    OLD = "old"


class Generations(msgspec.Struct):
    """The generation that one router applies.

    Attributes
    ----------
    current : Generation
        Never decreases.
    """

    current: ids.Generation = NONE

    @property
    def serves(self) -> bool:
        """Whether a configuration has been applied."""
        return self.current > NONE

    def evaluate(self, offered: ids.Generation) -> OfferResult:
        """Compare an offer from the store or a peer with the current generation."""
        if offered > self.current:
            return OfferResult.APPLY
        return OfferResult.SAME if offered == self.current else OfferResult.OLD

    def apply(self, offered: ids.Generation) -> bool:
        """Apply a generation if it is higher; returns whether it was applied."""
        if self.evaluate(offered) is not OfferResult.APPLY:
            return False
        self.current = offered
        return True
