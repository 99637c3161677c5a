"""Waiting requests at each router, as known to one home.

The queues of hundreds of routers change with each request, and reports reach the home
with a delay. The home therefore subtracts its own grants in flight. Otherwise it would
grant a second slot for the same request, the grant would come back unused, and the slot
would idle for a round trip.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.decisions import sharing

# How long a withdrawn demand is kept, so that an older report still in flight does not
# restore it. No connection delays a frame for this long.
WITHDRAWN_RETENTION_SECONDS = 60.0


class RouterDemand(msgspec.Struct):
    """The latest report of a router for one service and account.

    Attributes
    ----------
    received_at : float
        When the report arrived, in monotonic seconds.
    waiting : int
        Reported requests, minus the requests sent since.
    unused : int
        Grants of this home that the router has not yet used or returned.
    """

    demand: messages.Demand
    received_at: float
    waiting: int
    unused: int = 0

    @property
    def ungranted(self) -> int:
        """Number of waiting requests without a grant in flight."""
        return max(0, self.waiting - self.unused)

    def age(self, now: float) -> float:
        """Return the estimated age of the oldest request without a grant, in seconds.

        Only the age of the oldest request is reported; arrivals are assumed to be
        evenly spaced.
        """
        whole = self.demand.oldest_age + now - self.received_at
        return whole * self.ungranted / max(1, self.demand.waiting)


class DemandTable:
    """The latest report of each router, service and account."""

    def __init__(self) -> None:
        self._reports: dict[sharing.Key, dict[ids.RouterId, RouterDemand]] = {}
        self._backlogged: dict[ids.ServiceId, dict[ids.AccountId, None]] = {}

    def update(self, router: ids.RouterId, demand: messages.Demand, now: float) -> bool:
        """Store a report; return False if a newer one is known."""
        key = (demand.service, demand.account)
        routers = self._reports.setdefault(key, {})
        old = routers.get(router)
        if old is not None and old.demand.sequence >= demand.sequence:
            return False
        unused = old.unused if old else 0
        routers[router] = RouterDemand(demand, now, demand.waiting, unused)
        self._update(key)
        return True

    def remove_router(self, router: ids.RouterId) -> None:
        """Drop the reports of a router."""
        for key, routers in self._reports.items():
            if routers.pop(router, None) is not None:
                self._update(key)

    def purge_withdrawn(self, now: float) -> None:
        """Drop demands withdrawn long ago, to bound memory use."""
        for key, routers in list(self._reports.items()):
            for router, item in list(routers.items()):
                if (
                    not item.waiting
                    and now - item.received_at > WITHDRAWN_RETENTION_SECONDS
                ):
                    del routers[router]
            if not routers:
                del self._reports[key]

    def adjust_unused(
        self, key: sharing.Key, router: ids.RouterId, change: int
    ) -> None:
        """Change the number of a router's unused grants."""
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.unused = max(0, item.unused + change)

    def record_sent(self, key: sharing.Key, router: ids.RouterId) -> None:
        """Record that a request has left the queue of a router."""
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.waiting = max(0, item.waiting - 1)
            self._update(key)

    def clear_waiting(self, key: sharing.Key, router: ids.RouterId) -> None:
        """Record that a router returned a grant unused: nothing waits there.

        The router's last report is older than the return. Without this, the grant would
        be issued again and returned until the next report, with its slot idle.
        """
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.waiting = 0
            self._update(key)

    def count_ungranted(self, key: sharing.Key) -> int:
        """Return the number of waiting requests without a grant in flight."""
        return sum(item.ungranted for item in self._reports.get(key, {}).values())

    def backlogged(self, service: ids.ServiceId) -> list[ids.AccountId]:
        """Return the accounts of a service with waiting requests."""
        return list(self._backlogged.get(service, ()))

    def is_backlogged(self, key: sharing.Key) -> bool:
        """Return whether an account has waiting requests."""
        service, account = key
        return account in self._backlogged.get(service, ())

    def list_backlogged(self) -> frozenset[sharing.Key]:
        """Return all (service, account) pairs with waiting requests."""
        return frozenset(
            (service, account)
            for service, accounts in self._backlogged.items()
            for account in accounts
        )

    def pick_router(self, key: sharing.Key, now: float) -> ids.RouterId:
        """Return the router whose request of an account has waited longest."""
        routers = self._reports[key]
        return max(routers, key=lambda item: (routers[item].age(now), item))

    def expected_cost(self, key: sharing.Key, router: ids.RouterId) -> float:
        """Return the request cost that a router expects, in cost units."""
        return self._reports[key][router].demand.cost_estimate

    def _update(self, key: sharing.Key) -> None:
        service, account = key
        accounts = self._backlogged.setdefault(service, {})
        if any(item.waiting for item in self._reports[key].values()):
            accounts[account] = None
        else:
            accounts.pop(account, None)
