"""Service received by each client account, over the whole fleet.

Load pattern: some client accounts are backlogged for minutes on several routers at
once, others come and go, and the cost of a request is known only when it ends.

Without it each router would be fair among its own callers only: an account that
sits on one router would get a sixth of what an account on six routers gets.

Each router counts the service that streams through it in numbers that only grow, one
for each (incarnation, service, account). They merge by maximum, so that a late,
doubled or reordered message changes nothing. An account's standing is what it has
received plus one charge for each slot that it holds, divided by its weight. The charge
is the same for all accounts of a service: slots stream at one speed, so equal slots
keep the service equal, while estimates of single requests only bring noise (measured:
a gap of 4,098 units instead of 9,006; see ``docs/design/sharing.md``).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# A tenth of each new cost enters the learned mean: about the last ten requests count,
# few enough to follow an account that changes its work within a minute.
LEARNING_RATE = 0.1


Key = tuple[ids.ServiceId, ids.AccountId]
Source = tuple[ids.RouterId, ids.Incarnation]

Lift = messages.Lift
Pending = messages.Pending


class Snapshot(msgspec.Struct, frozen=True):
    """Everything that a router without state must learn from one peer.

    Attributes
    ----------
    folded : dict
        Units of incarnations that are gone, in one sum for each service and account.
    gone : dict
        The highest incarnation of each router that is contained in ``folded``.
    """

    counters: tuple[messages.Counter, ...]
    lifts: tuple[Lift, ...]
    folded: dict[Key, float]
    gone: dict[ids.RouterId, ids.Incarnation]


class Counters:
    """What one router knows about the service that every account has received.

    Parameters
    ----------
    router, incarnation
        Whose own service :meth:`give` counts.
    weight_of : callable
        Returns the weight of a client account.
    """

    def __init__(
        self,
        router: ids.RouterId,
        incarnation: ids.Incarnation,
        weight_of: Callable[[ids.AccountId], float],
    ) -> None:
        self._own: Source = (router, incarnation)
        self._weight_of = weight_of
        self._units: dict[Source, dict[Key, float]] = {self._own: {}}
        self._folded: dict[Key, float] = {}
        self._gone: dict[ids.RouterId, ids.Incarnation] = {}
        self._totals: dict[Key, float] = {}
        self._lifts: dict[Key, float] = {}
        self._pending: dict[ids.RouterId, dict[Key, Pending]] = {}
        self._pending_totals: dict[Key, float] = {}

    def record_service(
        self, service: ids.ServiceId, account: ids.AccountId, units: float
    ) -> None:
        """Count service that streamed through this router, in cost units."""
        self._increase(self._own, (service, account), units, add=True)

    def own_counters(self) -> tuple[messages.Counter, ...]:
        """Return the counters of this incarnation."""
        return tuple(self._iter_counters(self._own))

    def own_units(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return what streamed through this incarnation, in cost units."""
        return self._units[self._own].get((service, account), 0.0)

    def merge(self, counter: messages.Counter) -> bool:
        """Take in a counter of any router; return whether it told something new."""
        source = (counter.router, counter.incarnation)
        if source == self._own or self._is_folded(source):
            return False
        key = (counter.service, counter.account)
        return self._increase(source, key, counter.units, add=False)

    def merge_lift(self, lift: Lift) -> bool:
        """Take in a lift that another home decided."""
        key = (lift.service, lift.account)
        if lift.level <= self._lifts.get(key, 0.0):
            return False
        self._lifts[key] = lift.level
        return True

    def merge_pending(self, home: ids.RouterId, pending: Pending) -> bool:
        """Take in what is in progress under the grants of another home."""
        key = (pending.service, pending.account)
        known = self._pending.setdefault(home, {})
        old = known.get(key)
        if old is not None and old.sequence >= pending.sequence:
            return False
        known[key] = pending
        change = pending.units - (old.units if old else 0.0)
        self._pending_totals[key] = self._pending_totals.get(key, 0.0) + change
        return True

    def forget_pending(self, home: ids.RouterId) -> None:
        """Drop what a home had in progress: it left, died or was cut off."""
        for key, pending in self._pending.pop(home, {}).items():
            self._pending_totals[key] -= pending.units

    def keys(self) -> tuple[Key, ...]:
        """Return the (service, account) pairs that have received service."""
        return tuple(self._totals)

    def received(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return the service received since the fleet began, in cost units."""
        return self._totals.get((service, account), 0.0)

    def level(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return service received and lift, in cost units per weight."""
        key = (service, account)
        units = self._totals.get(key, 0.0)
        return units / self._weight_of(account) + self._lifts.get(key, 0.0)

    def standing(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        in_progress: float = 0.0,
    ) -> float:
        """Return the key by which a home chooses: the least is served next.

        Parameters
        ----------
        in_progress : float
            Charge for the slots under the caller's own grants, in cost units.
        """
        pending = self._pending_totals.get((service, account), 0.0) + in_progress
        return self.level(service, account) + pending / self._weight_of(account)

    def lift(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        backlogged: Iterable[ids.AccountId],
        floor: float = 0.0,
    ) -> Lift | None:
        """Lift an account that becomes backlogged to the least of the backlogged.

        Guards against saved credit: an account that was idle for an hour would
        otherwise take every slot until it has caught up with that hour.

        Parameters
        ----------
        floor : float
            Used when nobody else is backlogged: the highest level at which an account
            was served, in cost units per weight.
        """
        levels = [self.level(service, other) for other in backlogged]
        return self._raise_level(service, account, min(levels, default=floor))

    def limit_deficits(
        self, service: ids.ServiceId, backlogged: Iterable[ids.AccountId], owed: float
    ) -> list[Lift]:
        """Bound what is owed: lift who is more than ``owed`` behind the foremost.

        Guards against starvation by justice: while two parts of a fleet did not hear
        each other, one account may have got far ahead. Unbounded, it would then wait
        until all others had caught up. With the bound it waits for at most ``owed``
        times the weights of the others divided by the capacity of the service.

        Parameters
        ----------
        owed : float
            In cost units per weight.
        """
        accounts = list(backlogged)
        if len(accounts) < 2 or math.isinf(owed):
            return []
        floor = max(self.level(service, account) for account in accounts) - owed
        lifts = (self._raise_level(service, account, floor) for account in accounts)
        return [lift for lift in lifts if lift is not None]

    def fold(self, router: ids.RouterId, incarnation: ids.Incarnation) -> None:
        """Keep only the sum of an incarnation that is gone for good.

        Bounds the memory: without it each restart of a router would leave a number
        for each account behind. Messages of the folded incarnation are ignored from
        then on, so nothing is counted twice.
        """
        if self._is_folded((router, incarnation)):
            return
        self._gone[router] = incarnation
        for source in [item for item in self._units if self._is_folded(item)]:
            for key, units in self._units.pop(source).items():
                self._folded[key] = self._folded.get(key, 0.0) + units

    def snapshot(self) -> Snapshot:
        """Return what a router that starts without state must know."""
        counters = [
            item for source in self._units for item in self._iter_counters(source)
        ]
        lifts = [Lift(*key, level) for key, level in self._lifts.items()]
        return Snapshot(
            tuple(counters), tuple(lifts), dict(self._folded), dict(self._gone)
        )

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Begin from the knowledge of a peer; later ones than the first are merged.

        Sums of folded incarnations cannot be merged, so they are taken from one peer
        only, the first.
        """
        if not self._gone and snapshot.gone:
            self._gone = dict(snapshot.gone)
            self._folded = dict(snapshot.folded)
            for source in [item for item in self._units if self._is_folded(item)]:
                del self._units[source]
            self._recompute_totals()
        for counter in snapshot.counters:
            self.merge(counter)
        for lift in snapshot.lifts:
            self.merge_lift(lift)

    def _raise_level(
        self, service: ids.ServiceId, account: ids.AccountId, level: float
    ) -> Lift | None:
        missing = level - self.level(service, account)
        if missing <= 0.0:
            return None
        key = (service, account)
        self._lifts[key] = self._lifts.get(key, 0.0) + missing
        return Lift(service, account, self._lifts[key])

    def _increase(self, source: Source, key: Key, units: float, *, add: bool) -> bool:
        counters = self._units.setdefault(source, {})
        old = counters.get(key, 0.0)
        new = old + units if add else units
        if new <= old:
            return False
        counters[key] = new
        self._totals[key] = self._totals.get(key, 0.0) + new - old
        return True

    def _is_folded(self, source: Source) -> bool:
        router, incarnation = source
        return source != self._own and incarnation <= self._gone.get(router, -1)

    def _iter_counters(self, source: Source) -> Iterable[messages.Counter]:
        for (service, account), units in self._units[source].items():
            yield messages.Counter(*source, service, account, units)

    def _recompute_totals(self) -> None:
        self._totals = dict(self._folded)
        for counters in self._units.values():
            for key, units in counters.items():
                self._totals[key] = self._totals.get(key, 0.0) + units


class CostEstimator:
    """Learns what requests of an account cost, because hints are off by threefold.

    Without a settled request of the account the hint counts, and without a hint the
    service's typical cost. Only waiting times are foretold with it, see the module.
    """

    def __init__(self) -> None:
        self._means: dict[Key, float] = {}

    def record_cost(
        self, service: ids.ServiceId, account: ids.AccountId, cost: float
    ) -> None:
        """Learn from the true cost of a request that ended, in cost units."""
        key = (service, account)
        mean = self._means.get(key, cost)
        self._means[key] = mean + LEARNING_RATE * (cost - mean)

    def estimate(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        hint: float | None,
        typical: float,
    ) -> float:
        """Return the cost to expect, in cost units."""
        mean = self._means.get((service, account))
        if mean is not None:
            return mean
        return typical if hint is None else hint
