"""Service received by each client account across the fleet.

Some accounts are backlogged for minutes on several routers at once, others come and go,
and the cost of a request is known only when it ends. If each router balanced only its
own callers, an account on one router would get a sixth of the service of an account on
six routers.

Each router counts the service that streams through it in monotonic counters, one per
incarnation, service and account. Counters merge by maximum, so late, duplicate or
reordered messages have no effect. The standing of an account is the service it has
received plus one charge for each slot it holds, divided by its weight. All accounts of
a service pay the same charge: slots stream at one speed, so equal slots keep the
service equal, while estimates for single requests only add noise (a service gap of
4,098 units with equal charges, 9,006 with estimates; see ``docs/design/sharing.md``).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Weight of each new cost in the mean, about a 10-request average: follows an account
# that changes its workload within a minute.
LEARNING_RATE = 0.1


Key = tuple[ids.ServiceId, ids.AccountId]
Source = tuple[ids.RouterId, ids.Incarnation]

Lift = messages.Lift
Pending = messages.Pending


class Snapshot(msgspec.Struct, frozen=True):
    """The state that a router without state needs from one peer.

    Attributes
    ----------
    folded : dict
        Units of incarnations that are gone, summed per service and account.
    gone : dict
        The highest incarnation of each router that ``folded`` includes.
    """

    counters: tuple[messages.Counter, ...]
    lifts: tuple[Lift, ...]
    folded: dict[Key, float]
    gone: dict[ids.RouterId, ids.Incarnation]


class Counters:
    """Service received by every account, as known to one router.

    Parameters
    ----------
    router, incarnation
        Source of the service counted by :meth:`record_service`.
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
        """Return the service streamed through this incarnation, in cost units."""
        return self._units[self._own].get((service, account), 0.0)

    def merge(self, counter: messages.Counter) -> bool:
        """Merge a counter of any router; return whether it changed anything."""
        source = (counter.router, counter.incarnation)
        if source == self._own or self._is_folded(source):
            return False
        key = (counter.service, counter.account)
        return self._increase(source, key, counter.units, add=False)

    def merge_lift(self, lift: Lift) -> bool:
        """Merge a lift decided by another home; return whether it changed anything."""
        key = (lift.service, lift.account)
        if lift.level <= self._lifts.get(key, 0.0):
            return False
        self._lifts[key] = lift.level
        return True

    def merge_pending(self, home: ids.RouterId, pending: Pending) -> bool:
        """Merge the charge for slots held under another home's grants.

        Returns False if a newer one is known.
        """
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
        """Drop the charges of a home that left, died or was cut off."""
        for key, pending in self._pending.pop(home, {}).items():
            self._pending_totals[key] -= pending.units

    def keys(self) -> tuple[Key, ...]:
        """Return the (service, account) pairs that have received service."""
        return tuple(self._totals)

    def received(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return the service received since the fleet started, in cost units."""
        return self._totals.get((service, account), 0.0)

    def level(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return service received plus lift, in cost units per weight."""
        key = (service, account)
        units = self._totals.get(key, 0.0)
        return units / self._weight_of(account) + self._lifts.get(key, 0.0)

    def standing(
        self,
        service: ids.ServiceId,
        account: ids.AccountId,
        in_progress: float = 0.0,
    ) -> float:
        """Return the key by which a home orders accounts; the lowest is served next.

        Parameters
        ----------
        in_progress : float
            Charge for the slots held under the caller's own grants, in cost units.
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
        """Lift a newly backlogged account to the lowest backlogged level.

        Otherwise an account that was idle for an hour would take every slot until it
        has caught up with that hour.

        Parameters
        ----------
        floor : float
            Level used when no other account is backlogged: the highest level at which
            an account was served, in cost units per weight.
        """
        levels = [self.level(service, other) for other in backlogged]
        return self._raise_level(service, account, min(levels, default=floor))

    def limit_deficits(
        self,
        service: ids.ServiceId,
        backlogged: Iterable[ids.AccountId],
        max_deficit: float,
    ) -> list[Lift]:
        """Lift accounts that are more than ``max_deficit`` behind the leading one.

        While a network partition lasts, one account may get far ahead. Without a limit
        it would then wait until all others have caught up. With the limit it waits at
        most ``max_deficit`` times the weights of the others divided by the capacity of
        the service.

        Parameters
        ----------
        max_deficit : float
            In cost units per weight.
        """
        accounts = list(backlogged)
        if len(accounts) < 2 or math.isinf(max_deficit):
            return []
        floor = max(self.level(service, account) for account in accounts) - max_deficit
        lifts = (self._raise_level(service, account, floor) for account in accounts)
        return [lift for lift in lifts if lift is not None]

    def fold(self, router: ids.RouterId, incarnation: ids.Incarnation) -> None:
        """Reduce the counters of an ended incarnation to their sum.

        Bounds memory use: otherwise each restart of a router would leave a counter for
        each account behind. Later messages of a folded incarnation are ignored, so
        nothing is counted twice.
        """
        if self._is_folded((router, incarnation)):
            return
        self._gone[router] = incarnation
        for source in [item for item in self._units if self._is_folded(item)]:
            for key, units in self._units.pop(source).items():
                self._folded[key] = self._folded.get(key, 0.0) + units

    def snapshot(self) -> Snapshot:
        """Return the state that a router without state needs."""
        counters = [
            item for source in self._units for item in self._iter_counters(source)
        ]
        lifts = [Lift(*key, level) for key, level in self._lifts.items()]
        return Snapshot(
            tuple(counters), tuple(lifts), dict(self._folded), dict(self._gone)
        )

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Load the first snapshot of a peer; merge later ones.

        Sums of folded incarnations cannot be merged, so they are taken from the first
        peer only.
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
    """Estimates request costs per account, because hints are off by a factor of three.

    Uses the hint until a request of the account has ended, and the typical cost of the
    service if there is no hint. Estimates serve only to predict waiting times, not to
    compute standings; see the module documentation.
    """

    def __init__(self) -> None:
        self._means: dict[Key, float] = {}

    def record_cost(
        self, service: ids.ServiceId, account: ids.AccountId, cost: float
    ) -> None:
        """Record the true cost of a completed request, in cost units."""
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
        """Return the expected cost, in cost units."""
        mean = self._means.get((service, account))
        if mean is not None:
            return mean
        return typical if hint is None else hint
