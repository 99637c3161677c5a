"""How much service each client account of a service has begun to get lately.

Load answered: one account sends many times its usual while others wait. Without the
order that follows from these shares the flood takes every place as it becomes free.
The account that has begun least goes first, which gives all that wait the same share
(max-min); what an account didn't ask for is not saved up, since shares fade.

A large pool has several homes, and an account whose prompts all belong to one shard
would get a share of that shard only, while one that asks everywhere gets one in each.
So the homes add up what their shards have begun: in each dimension of a hypercube a
home tells the one partner whose number differs in that bit what it knows from lower
dimensions. With ``n`` shards each home sends ``log2(n)`` sums a round, and after as
many rounds each knows the total; to tell all homes of 1,000 shards would take as many
messages from each. What a dead partner said fades like everything else.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from celeryspan import ids

DECAY_SECONDS = 3.0
"""Time after which a third of a share counts: fairness is promised over six seconds,
and the share of a window that long must not hang on what was before it."""

UNITS_MIN = 0.01
"""A share below this many units is dropped, so that the table stays small."""

REBASE_SECONDS = 30.0
"""Older shares are made smaller only this often: fading all accounts at each request
took as long as the rest of a decision with some hundred of them. Until then new ones
are made larger, by at most ``exp(10)``."""

Units = dict[ids.AccountId, float]


class AccountShares:
    """Units of service begun by each account, fading with time."""

    def __init__(self) -> None:
        # All values are as of ``_base``: a unit begun later counts for more than one.
        self._own: Units = {}
        self._received: dict[int, Units] = {}
        self._reference_time = 0.0

    def charge(self, account: ids.AccountId, units: float, now: float) -> None:
        """Count service that begins now in this shard."""
        weight = self._current_weight(now)
        self._own[account] = self._own.get(account, 0.0) + units * weight

    def receive(
        self, dimension: int, units: Mapping[ids.AccountId, float], now: float
    ) -> None:
        """Take in what the partner in a dimension knows; replaces what it said."""
        weight = self._current_weight(now)
        self._received[dimension] = {
            account: value * weight for account, value in units.items()
        }

    def sum_units(self, dimension: int, now: float) -> Units:
        """Return what the partner in a dimension is to be told."""
        weight = self._current_weight(now)
        total = dict(self._own)
        for lower in range(dimension):
            for account, value in self._received.get(lower, {}).items():
                total[account] = total.get(account, 0.0) + value
        return {
            account: value / weight
            for account, value in total.items()
            if value / weight > UNITS_MIN
        }

    def level(self, account: ids.AccountId) -> float:
        """Return what an account got in all shards, to be compared with others."""
        heard = (units.get(account, 0.0) for units in self._received.values())
        return self._own.get(account, 0.0) + sum(heard)

    def measure(self, account: ids.AccountId, now: float) -> float:
        """Return what an account got in all shards of late, in units as of now."""
        return self.level(account) / self._current_weight(now)

    def _current_weight(self, now: float) -> float:
        """Return what a unit that begins now counts for."""
        if now - self._reference_time > REBASE_SECONDS:
            factor = math.exp(-(now - self._reference_time) / DECAY_SECONDS)
            self._reference_time = now
            self._own = _scale(self._own, factor)
            self._received = {
                dimension: _scale(units, factor)
                for dimension, units in self._received.items()
            }
        return math.exp((now - self._reference_time) / DECAY_SECONDS)


def _scale(units: Units, factor: float) -> Units:
    return {
        account: value * factor
        for account, value in units.items()
        if value * factor > UNITS_MIN
    }
