"""How much service each client account of a pool has begun to get lately.

Load answered: one account sends many times its usual while others wait. Without the
order that follows from these shares the flood takes every place as it becomes free.
The account that has begun least goes first, which gives all that wait the same share
(max-min); what an account didn't ask for is not saved up, since shares fade.
"""

from __future__ import annotations

import math

from celeryspan import ids

FADE_SECONDS = 3.0
"""Time after which a third of a share counts: fairness is promised over six seconds,
and the share of a window that long must not hang on what was before it."""

FORGOTTEN = 1e-6
"""A share below this part of a unit is dropped, so that the table stays small."""


class AccountShares:
    """Units of service begun by each account, fading with time."""

    def __init__(self) -> None:
        self._units: dict[ids.AccountId, float] = {}
        self._since = 0.0

    def charge(self, account: ids.AccountId, units: float, now: float) -> None:
        """Count service that begins now."""
        self._fade(now)
        self._units[account] = self._units.get(account, 0.0) + units

    def level(self, account: ids.AccountId) -> float:
        """Return what an account got, as of the last :meth:`charge`."""
        return self._units.get(account, 0.0)

    def _fade(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._since) / FADE_SECONDS)
        self._since = now
        self._units = {
            account: units * factor
            for account, units in self._units.items()
            if units * factor > FORGOTTEN
        }
