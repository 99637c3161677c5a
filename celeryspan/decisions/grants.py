"""The ledger of a home: who holds which slot, and who gets the next one.

Load pattern: more requests wait than slots exist, spread unevenly over routers; slots
fall free one at a time, in an order that nobody knows beforehand.

Without it a router would bind a request to a server early, and the request would wait
there while other servers idle; and a large account would take every slot.

The home binds late: when a slot is free, it goes to the account with the least
standing, and within the account to the router that has waited longest. An account
holds at most ``CAP_FRACTION`` of the home's slots of a service while others wait, so
that a newcomer waits for the end of one request in the other part at most.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import xxhash

from celeryspan import ids
from celeryspan.decisions import sharing
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Seconds in which a grant must be used. Longer than any round trip between data
# centres with one retransmission, shorter than a tenth of a mean request.
VALID_SECONDS = 1.0

# Seconds that the home waits beyond the validity before it gives the slot away: the
# router counts from receipt, and its message that the grant is used travels as long.
GRACE_SECONDS = 0.5

# Seconds in which a new home waits for the routers to say which slots they hold. A
# router that is alive answers within one round trip; one that died never will.
RECOVERY_SECONDS = 0.5

# Greatest part of a home's slots of one service for one account while others wait.
CAP_FRACTION = 0.5

# What an account may be owed, in greatest settled costs per weight.
OWED_COSTS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """A grant and the router that it must be sent to."""

    router: ids.RouterId
    grant: messages.Grant


@dataclasses.dataclass(slots=True)
class _Held:
    """One slot in use, or granted and not yet used."""

    grant: ids.GrantId | None
    router: ids.RouterId
    account: ids.AccountId
    estimate: float
    expires: float


@dataclasses.dataclass(slots=True)
class _Server:
    service: ids.ServiceId
    window: int
    held: list[_Held]
    awaited: set[ids.RouterId]
    recovered_at: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    demand: messages.Demand
    at: float
    unused: int = 0

    @property
    def count(self) -> int:
        """Waiting requests beyond the grants that are under way to the router."""
        return max(0, self.demand.waiting - self.unused)

    def age(self, now: float) -> float:
        """Return the likely age of the oldest request without a grant, in seconds.

        Only the age of the oldest is reported; the others are taken as evenly spaced.
        """
        whole = self.demand.oldest_age + now - self.at
        return whole * self.count / max(1, self.demand.waiting)


class Ledger:
    """Slots of the backend servers whose home this router is.

    Parameters
    ----------
    router, incarnation
        Whose ledger this is; makes the numbers of its grants unique.
    counters : Counters
        Service received by each account, as this router knows it.
    """

    def __init__(
        self,
        router: ids.RouterId,
        incarnation: ids.Incarnation,
        counters: sharing.Counters,
        *,
        owed_costs: float = OWED_COSTS,
        cap_fraction: float = CAP_FRACTION,
    ) -> None:
        self._counters = counters
        self._owed_costs = owed_costs
        self._cap_fraction = cap_fraction
        name = f"{router}/{incarnation}".encode()
        self._next_grant = xxhash.xxh32_intdigest(name) << 32
        self._servers: dict[ids.ServerId, _Server] = {}
        self._demand: dict[sharing.Key, dict[ids.RouterId, _Waiting]] = {}
        self._progress: dict[sharing.Key, float] = {}
        self._floors: dict[ids.ServiceId, float] = {}
        self._greatest: dict[ids.ServiceId, float] = {}
        self._lifts: list[sharing.Lift] = []
        self._changed: set[sharing.Key] = set()
        self._sequence = 0

    def add_server(
        self,
        server: ids.ServerId,
        service: ids.ServiceId,
        window: int,
        now: float,
        awaited: Collection[ids.RouterId] = (),
    ) -> None:
        """Become home of a server.

        Parameters
        ----------
        awaited : collection of RouterId
            Routers that may hold slots under the previous home. Nothing is granted
            before each has sent ``SlotsHeld`` or ``RECOVERY_SECONDS`` have passed.
        """
        self._servers[server] = _Server(
            service, window, [], set(awaited), now + RECOVERY_SECONDS
        )

    def set_window(self, server: ids.ServerId, window: int) -> None:
        """Change how many slots of a server may be in use; 0 grants nothing more."""
        self._servers[server].window = window

    def drop_server(self, server: ids.ServerId) -> None:
        """Stop being home; the next home learns from the routers what they hold."""
        entry = self._servers.pop(server, None)
        for held in entry.held if entry else ():
            self._release(entry, held)

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the servers in this ledger."""
        return tuple(self._servers)

    def in_use(self, server: ids.ServerId) -> int:
        """Return the slots of a server that are granted or used."""
        return len(self._servers[server].held)

    def backlogged(self) -> frozenset[sharing.Key]:
        """Return the (service, account) pairs that wait anywhere, as known here."""
        return frozenset(key for key in self._demand if self._is_backlogged(key))

    def report(self, router: ids.RouterId, demand: messages.Demand, now: float) -> None:
        """Take in what waits at a router; an older report than the last is ignored."""
        key = (demand.service, demand.account)
        routers = self._demand.setdefault(key, {})
        old = routers.get(router)
        if old is not None and old.demand.sequence >= demand.sequence:
            return
        if demand.waiting > 0 and not self._is_backlogged(key):
            self._lift(key)
        unused = old.unused if old else 0
        routers[router] = _Waiting(demand, now, unused)

    def forget_router(self, router: ids.RouterId) -> None:
        """Free what a router held and waited for: it died, left or was cut off."""
        for routers in self._demand.values():
            routers.pop(router, None)
        for entry in self._servers.values():
            entry.awaited.discard(router)
            for held in [item for item in entry.held if item.router == router]:
                entry.held.remove(held)
                self._release(entry, held)

    def hold(self, router: ids.RouterId, held: messages.SlotsHeld, now: float) -> None:
        """Replace what is known of the slots that a router uses of one server.

        Grants that the router has not yet used stay as they are: its message may have
        left before they arrived.
        """
        entry = self._servers.get(held.server)
        if entry is None:
            return
        entry.awaited.discard(router)
        used = [
            item
            for item in entry.held
            if item.router == router and math.isinf(item.expires)
        ]
        for item in used:
            entry.held.remove(item)
            self._release(entry, item)
        for account, estimate in held.grants:
            self._take(entry, _Held(None, router, account, estimate, math.inf))

    def used(
        self, router: ids.RouterId, message: messages.GrantUsed, now: float
    ) -> None:
        """Note that a request was sent; its estimate counts until it ends.

        A grant that is not known here was issued by the previous home of the server,
        or has expired: the slot is in use all the same, so it is counted.
        """
        entry = self._servers.get(message.server)
        if entry is None:
            return
        held = _find_grant(entry, router, message.grant)
        if held is None:
            held = _Held(message.grant, router, message.account, 0.0, math.inf)
            self._take(entry, held)
        else:
            self._count_unused(entry, held, -1)
        held.expires = math.inf
        self._add_progress(entry, held.account, message.cost_estimate - held.estimate)
        held.estimate = message.cost_estimate

    def ended(
        self, router: ids.RouterId, message: messages.GrantEnded, now: float
    ) -> None:
        """Free a slot; a doubled message changes nothing.

        After a take-over the ledger knows slots by router and account only, so any
        of these is freed for a grant that it does not know.
        """
        entry = self._servers.get(message.server)
        if entry is None:
            return
        held = _find_grant(entry, router, message.grant) or _find_unnamed(
            entry, router, message.account
        )
        if held is None:
            return
        greatest = self._greatest.get(entry.service, 0.0)
        self._greatest[entry.service] = max(greatest, message.cost)
        entry.held.remove(held)
        self._release(entry, held)

    def expire(self, now: float) -> tuple[ids.GrantId, ...]:
        """Free the slots of grants that were not used in time; return the grants."""
        expired = []
        for entry in self._servers.values():
            for held in [item for item in entry.held if item.expires <= now]:
                entry.held.remove(held)
                self._release(entry, held)
                if held.grant is not None:
                    expired.append(held.grant)
        return tuple(expired)

    def issue(self, now: float) -> list[Issued]:
        """Grant the free slots to whoever is served next."""
        issued = []
        for service in sorted({entry.service for entry in self._servers.values()}):
            self._forgive(service)
            issued += self._issue_service(service, now)
        return issued

    def take_lifts(self) -> list[sharing.Lift]:
        """Return the lifts decided since the last call, to be told to other homes."""
        lifts, self._lifts = self._lifts, []
        return lifts

    def take_pending(self) -> list[sharing.Pending]:
        """Return what is in progress where it changed since the last call."""
        changed, self._changed = sorted(self._changed), set()
        self._sequence += 1
        return [
            sharing.Pending(*key, self._progress.get(key, 0.0), self._sequence)
            for key in changed
        ]

    def in_progress(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        """Return the estimates under this ledger's grants, in cost units."""
        return self._progress.get((service, account), 0.0)

    def _issue_service(self, service: ids.ServiceId, now: float) -> list[Issued]:
        issued = []
        waiting = self._list_waiting(service)
        while waiting:
            server = self._pick_server(service, now)
            if server is None:
                break
            account = self._pick_account(service, waiting)
            issued.append(self._grant(server, service, account, now))
            if not self._count_waiting((service, account)):
                waiting.remove(account)
        return issued

    def _grant(
        self,
        server: ids.ServerId,
        service: ids.ServiceId,
        account: ids.AccountId,
        now: float,
    ) -> Issued:
        routers = self._demand[service, account]
        router = max(routers, key=lambda item: (routers[item].age(now), item))
        level = self._counters.level(service, account)
        self._floors[service] = max(level, self._floors.get(service, 0.0))
        self._next_grant += 1
        grant = ids.GrantId(self._next_grant)
        estimate = routers[router].demand.cost_estimate
        expires = now + VALID_SECONDS + GRACE_SECONDS
        entry = self._servers[server]
        held = _Held(grant, router, account, estimate, expires)
        self._take(entry, held)
        self._count_unused(entry, held, 1)
        message = messages.Grant(grant, server, service, account, VALID_SECONDS)
        return Issued(router, message)

    def _pick_server(self, service: ids.ServiceId, now: float) -> ids.ServerId | None:
        best, most = None, 0.0
        for server, entry in self._servers.items():
            if entry.service != service or entry.window <= len(entry.held):
                continue
            if entry.awaited and now < entry.recovered_at:
                continue
            free = 1.0 - len(entry.held) / entry.window
            if free > most:
                best, most = server, free
        return best

    def _pick_account(
        self, service: ids.ServiceId, waiting: Iterable[ids.AccountId]
    ) -> ids.AccountId:
        accounts = list(waiting)
        if len(accounts) > 1:
            held = self._count_held(service)
            slots = self._count_slots(service)
            cap = max(1, math.ceil(slots * self._cap_fraction))
            below = [item for item in accounts if held.get(item, 0) < cap]
            accounts = below or accounts
        return min(accounts, key=lambda item: (self._standing(service, item), item))

    def _standing(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        own = self._progress.get((service, account), 0.0)
        return self._counters.standing(service, account, own)

    def _count_held(self, service: ids.ServiceId) -> dict[ids.AccountId, int]:
        counts: dict[ids.AccountId, int] = {}
        for entry in self._servers.values():
            if entry.service == service:
                for held in entry.held:
                    counts[held.account] = counts.get(held.account, 0) + 1
        return counts

    def _count_slots(self, service: ids.ServiceId) -> int:
        entries = self._servers.values()
        return sum(entry.window for entry in entries if entry.service == service)

    def _count_waiting(self, key: sharing.Key) -> int:
        return sum(item.count for item in self._demand[key].values())

    def _list_waiting(self, service: ids.ServiceId) -> list[ids.AccountId]:
        return [
            account
            for (other, account) in self._demand
            if other == service and self._count_waiting((service, account))
        ]

    def _is_backlogged(self, key: sharing.Key) -> bool:
        routers = self._demand.get(key, {})
        return any(item.demand.waiting for item in routers.values())

    def _list_backlogged(self, service: ids.ServiceId) -> list[ids.AccountId]:
        return [
            account
            for (other, account) in self._demand
            if other == service and self._is_backlogged((service, account))
        ]

    def _lift(self, key: sharing.Key) -> None:
        service, account = key
        lift = self._counters.lift(
            service,
            account,
            self._list_backlogged(service),
            floor=self._floors.get(service, 0.0),
        )
        if lift is not None:
            self._lifts.append(lift)

    def _forgive(self, service: ids.ServiceId) -> None:
        owed = self._owed_costs * self._greatest.get(service, math.inf)
        backlogged = self._list_backlogged(service)
        self._lifts += self._counters.forgive(service, backlogged, owed)

    def _take(self, entry: _Server, held: _Held) -> None:
        entry.held.append(held)
        self._add_progress(entry, held.account, held.estimate)

    def _release(self, entry: _Server, held: _Held) -> None:
        self._add_progress(entry, held.account, -held.estimate)
        if not math.isinf(held.expires):
            self._count_unused(entry, held, -1)

    def _add_progress(
        self, entry: _Server, account: ids.AccountId, units: float
    ) -> None:
        key = (entry.service, account)
        self._progress[key] = max(0.0, self._progress.get(key, 0.0) + units)
        self._changed.add(key)

    def _count_unused(self, entry: _Server, held: _Held, change: int) -> None:
        waiting = self._demand.get((entry.service, held.account), {}).get(held.router)
        if waiting is not None:
            waiting.unused = max(0, waiting.unused + change)


def _find_grant(
    entry: _Server, router: ids.RouterId, grant: ids.GrantId
) -> _Held | None:
    for held in entry.held:
        if held.grant == grant and held.router == router:
            return held
    return None


def _find_unnamed(
    entry: _Server, router: ids.RouterId, account: ids.AccountId
) -> _Held | None:
    for held in entry.held:
        if held.grant is None and (held.router, held.account) == (router, account):
            return held
    return None
