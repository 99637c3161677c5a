"""What waits where, as one home knows it.

Load pattern: queues of hundreds of routers change with each request, and the home
hears of it a little late.

Without subtracting its own grants that are under way, a home would grant a slot twice
for the same waiting request; the second grant would come back unused, and its slot
would idle for a round trip.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.decisions import sharing

# A withdrawn demand is remembered for so long, so that an older report that is still
# under way does not bring it back. No connection keeps a frame for this long.
WITHDRAWN_RETENTION_SECONDS = 60.0


class RouterDemand(msgspec.Struct):
    """The last report of a router for one service and account.

    Attributes
    ----------
    waiting : int
        As reported, less the requests sent since.
    unused : int
        Grants of this home that the router has not yet used or returned.
    """

    demand: messages.Demand
    received_at: float
    waiting: int
    unused: int = 0

    @property
    def ungranted(self) -> int:
        """Waiting requests beyond the grants that are under way."""
        return max(0, self.waiting - self.unused)

    def age(self, now: float) -> float:
        """Return the likely age of the oldest request without a grant, in seconds.

        Only the age of the oldest is reported; the others are taken as evenly spaced.
        """
        whole = self.demand.oldest_age + now - self.received_at
        return whole * self.ungranted / max(1, self.demand.waiting)


class DemandTable:
    """The newest report of each router, service and account."""

    def __init__(self) -> None:
        self._reports: dict[sharing.Key, dict[ids.RouterId, RouterDemand]] = {}
        self._backlogged: dict[ids.ServiceId, dict[ids.AccountId, None]] = {}

    def update(self, router: ids.RouterId, demand: messages.Demand, now: float) -> bool:
        """Take in a report; return False if a newer one is known."""
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
        """Forget what a router reported."""
        for key, routers in self._reports.items():
            if routers.pop(router, None) is not None:
                self._update(key)

    def purge_withdrawn(self, now: float) -> None:
        """Drop what was withdrawn long ago, to bound the memory."""
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
        """Note that a grant is under way to a router, or no more."""
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.unused = max(0, item.unused + change)

    def record_sent(self, key: sharing.Key, router: ids.RouterId) -> None:
        """Note that a request has left the queue of a router."""
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.waiting = max(0, item.waiting - 1)
            self._update(key)

    def clear_waiting(self, key: sharing.Key, router: ids.RouterId) -> None:
        """Note that a router returned a grant unused: nothing waits there.

        Guards against a grant that goes to and fro, with its slot idle, until the
        next report of the router: its last one is older than the return.
        """
        item = self._reports.get(key, {}).get(router)
        if item is not None:
            item.waiting = 0
            self._update(key)

    def count_ungranted(self, key: sharing.Key) -> int:
        """Return the waiting requests beyond the grants under way."""
        return sum(item.ungranted for item in self._reports.get(key, {}).values())

    def backlogged(self, service: ids.ServiceId) -> list[ids.AccountId]:
        """Return the accounts that have requests waiting."""
        return list(self._backlogged.get(service, ()))

    def is_backlogged(self, key: sharing.Key) -> bool:
        """Return whether an account has requests waiting."""
        service, account = key
        return account in self._backlogged.get(service, ())

    def list_backlogged(self) -> frozenset[sharing.Key]:
        """Return all (service, account) pairs that have requests waiting."""
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
        """Return the cost that a router expects of its requests, in cost units."""
        return self._reports[key][router].demand.cost_estimate

    def _update(self, key: sharing.Key) -> None:
        service, account = key
        accounts = self._backlogged.setdefault(service, {})
        if any(item.waiting for item in self._reports[key].values()):
            accounts[account] = None
        else:
            accounts.pop(account, None)
