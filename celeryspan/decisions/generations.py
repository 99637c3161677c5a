"""Which configuration a router applies: a higher generation, and nothing else.

Failure answered: an old peer, a restarted router, a healed partition or a store that
answers with old data offers a configuration that has been replaced. Without this
module the weights of client accounts would jump back, and a retired backend server
would get work again, until the next change.

A generation is one number, written by conditional update, so that two operators can't
both write the same one; comparing numbers is all that is needed for a total order. A
router that has none serves nothing: it can't prove a key or know a backend server.
"""

from __future__ import annotations

import enum

import msgspec

from celeryspan import ids

NONE = ids.Generation(0)
"""No configuration at all; the first one written has generation 1."""


class OfferResult(enum.Enum):
    """What to do with an offered generation."""

    APPLY = "apply"
    SAME = "same"
    OLD = "old"


class Generations(msgspec.Struct):
    """The generation in force on one router.

    Attributes
    ----------
    current : Generation
        In force; only ever grows.
    """

    current: ids.Generation = NONE

    @property
    def serves(self) -> bool:
        """Whether there is any configuration to serve by."""
        return self.current > NONE

    def evaluate(self, offered: ids.Generation) -> OfferResult:
        """Judge an offer from the store or from a peer."""
        if offered > self.current:
            return OfferResult.APPLY
        return OfferResult.SAME if offered == self.current else OfferResult.OLD

    def apply(self, offered: ids.Generation) -> bool:
        """Put a generation in force if it is higher; returns whether it is now."""
        if self.evaluate(offered) is not OfferResult.APPLY:
            return False
        self.current = offered
        return True
