"""Tracks the service that each client account has recently received.

One account may send many times its usual load while others wait. Without the order
derived from these shares the flood takes every slot that becomes free. The account that
has received the least goes first, which gives equal shares to all that have requests
waiting (max-min fairness). Service that an account didn't request isn't saved up for
later, because shares decay.

A large pool has several homes. Without an exchange between them, an account whose
prompts all belong to one shard would get a share of that shard only, while an account
with prompts everywhere would get one in each. The homes therefore sum up their shares
over a hypercube: in each dimension a home sends its own units and those received in
lower dimensions to the partner whose shard number differs in that bit. With ``n``
shards each home sends ``log2(n)`` sums a round, and after as many rounds each home
knows the total; sending to all homes of 1,000 shards would take as many messages from
each. The last sums from a dead partner decay like all others.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from celeryspan import ids

DECAY_SECONDS = 3.0
"""Time constant of the decay: after it, a share counts for about a third. Fairness is
guaranteed over windows of six seconds, and the shares of a window must not depend on
earlier ones."""

UNITS_MIN = 0.01
"""Shares below this value are dropped, so that the table stays small."""

REBASE_SECONDS = 30.0
"""Interval between rescalings of the stored shares. Decaying all accounts at each
request took as long as the rest of a decision for a few hundred of them. Between
rescalings, new units are scaled up instead, by at most ``exp(10)``."""

Units = dict[ids.AccountId, float]


class AccountShares:
    """Decaying units of service per account."""

    def __init__(self) -> None:
        # Values are as of ``_reference_time``; later units are stored scaled up.
        self._own: Units = {}
        self._received: dict[int, Units] = {}
        self._reference_time = 0.0

    def charge(self, account: ids.AccountId, units: float, now: float) -> None:
        """Record service that starts now in this shard."""
        weight = self._current_weight(now)
        self._own[account] = self._own.get(account, 0.0) + units * weight

    def refund(
        self, account: ids.AccountId, units: float, charged_at: float, now: float
    ) -> None:
        """Take back a charge for service that has not started.

        Parameters
        ----------
        charged_at : float
            Time of the charge; what has decayed since is not refunded.
        """
        weight = self._current_weight(now)
        share = math.exp((charged_at - now) / DECAY_SECONDS)
        remaining = self._own.get(account, 0.0) - units * weight * share
        self._own[account] = max(0.0, remaining)

    def receive(
        self, dimension: int, units: Mapping[ids.AccountId, float], now: float
    ) -> None:
        """Replace the sums received from the partner in a dimension."""
        weight = self._current_weight(now)
        self._received[dimension] = {
            account: value * weight for account, value in units.items()
        }

    def sum_units(self, dimension: int, now: float) -> Units:
        """Return the sums to send to the partner in a dimension."""
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
        """Return a scaled sum over all shards, comparable between accounts only."""
        received = (units.get(account, 0.0) for units in self._received.values())
        return self._own.get(account, 0.0) + sum(received)

    def measure(self, account: ids.AccountId, now: float) -> float:
        """Return the decayed units of an account over all shards, as of now."""
        return self.level(account) / self._current_weight(now)

    def _current_weight(self, now: float) -> float:
        """Return the weight of a unit that starts now."""
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
