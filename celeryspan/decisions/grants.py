"""Slot allocation by a home: which account and router get the next free slot.

A home is the router that grants the slots of a backend server. More requests wait than
there are slots, spread unevenly over routers, and slots become free one at a time in an
unpredictable order. If routers bound requests to servers early, requests would wait
there while other servers idle, and a large account would take every slot.

The home binds late. A free slot goes to the account with the lowest standing and,
within the account, to the router that has waited longest. While others wait, an account
holds at most ``CAP_FRACTION`` of the home's slots of a service, so a new account waits
at most for one request in the other slots to end.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import xxhash

from celeryspan import ids
from celeryspan.decisions import demand as demands, sharing, slotcharge, slots
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Collection

# Time within which a grant must be used: longer than a round trip between data centres
# with one retransmission, shorter than a tenth of a mean request.
VALID_SECONDS = 1.0

# Time added to the validity before the home reuses the slot: the router counts from
# receipt, and its message that the grant is used takes as long to arrive.
GRACE_SECONDS = 0.5

# Time that a new home waits for the routers to report the slots they hold. A live
# router answers within one round trip, a dead one never.
RECOVERY_SECONDS = 0.5

# Time during which a new home of a service lifts no account. It receives reports of
# accounts that have long been waiting, and the service they received, in separate
# messages. Lifting on partial data moved accounts by all they had ever received (a gap
# of 107,452 units after one restart), and lifts cannot be reverted.
LIFT_WARMUP_SECONDS = 1.0

# Maximum share of a home's slots of one service for one account while others wait.
CAP_FRACTION = 0.5

# Maximum deficit of an account, in maximum request costs per weight. Without a
# partition two accounts differ by 1 to 1.5, so the limit has no effect. After one, the
# account that is ahead waits at most 50 s at current fleet sizes, against 100 s with a
# limit of 4. The replay shows the same gap, within noise, for all limits from 0.5 to
# none.
MAX_DEFICIT_COSTS = 2.0


class IssuedGrant(msgspec.Struct, frozen=True):
    """A grant and the router to send it to."""

    router: ids.RouterId
    grant: messages.Grant


class Ledger:
    """Slots of the backend servers whose home this router is.

    Parameters
    ----------
    router, incarnation
        Owner of the ledger; makes the numbers of its grants unique.
    counters : Counters
        Service received by each account, as known to this router.
    max_deficit_costs : float
        Limit on the deficit of an account, in maximum request costs per weight.
    cap_fraction : float
        Maximum share of the slots of a service for one account while others wait.
    """

    def __init__(
        self,
        router: ids.RouterId,
        incarnation: ids.Incarnation,
        counters: sharing.Counters,
        *,
        max_deficit_costs: float = MAX_DEFICIT_COSTS,
        cap_fraction: float = CAP_FRACTION,
    ) -> None:
        self._counters = counters
        self._max_deficit_costs = max_deficit_costs
        self._cap_fraction = cap_fraction
        name = f"{router}/{incarnation}".encode()
        self._next_grant = xxhash.xxh32_intdigest(name) << 32
        self._slots = slots.SlotTable()
        self._demands = demands.DemandTable()
        self._slot_charge = slotcharge.SlotCharge()
        self._lift_floors: dict[ids.ServiceId, float] = {}
        self._serving_since: dict[ids.ServiceId, float] = {}
        self._lifts: list[messages.Lift] = []
        self._sequence = 0

    def add_server(
        self,
        server: ids.ServerId,
        service: ids.ServiceId,
        window: int,
        now: float,
        awaited: Collection[ids.RouterId] = (),
    ) -> None:
        """Start to act as home of a server.

        Parameters
        ----------
        awaited : collection of RouterId
            Routers that may hold slots granted by the previous home. Nothing is granted
            until each has sent ``SlotsHeld`` or ``RECOVERY_SECONDS`` have passed.
        """
        if service not in self._slots.services():
            self._serving_since[service] = now
        self._slots.servers[server] = slots.ServerSlots(
            service, window, set(awaited), now + RECOVERY_SECONDS
        )

    def set_window(self, server: ids.ServerId, window: int) -> None:
        """Set how many slots of a server may be in use; 0 stops new grants."""
        self._slots.servers[server].window = window

    def remove_server(self, server: ids.ServerId) -> None:
        """Stop acting as home; the next home learns from the routers what they hold."""
        entry = self._slots.servers.get(server)
        if entry is None:
            return
        for held in list(entry.held):
            self._release(entry, held)
        del self._slots.servers[server]

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the servers in this ledger."""
        return tuple(self._slots.servers)

    def window(self, server: ids.ServerId) -> int:
        """Return how many slots of a server may be in use."""
        return self._slots.servers[server].window

    def in_use(self, server: ids.ServerId) -> int:
        """Return how many slots of a server are granted or used."""
        return len(self._slots.servers[server].held)

    def backlogged(self) -> frozenset[sharing.Key]:
        """Return the (service, account) pairs that wait anywhere, as known here."""
        return self._demands.list_backlogged()

    def update_demand(
        self, router: ids.RouterId, demand: messages.Demand, now: float
    ) -> None:
        """Apply a router's report of waiting requests, unless a newer one is known.

        Sequence numbers belong to one incarnation: call :meth:`forget_router` before
        the first report of the next one.
        """
        key = (demand.service, demand.account)
        others = self._demands.backlogged(demand.service)
        is_new = not self._demands.is_backlogged(key)
        if not self._demands.update(router, demand, now):
            return
        self._slot_charge.record_estimate(demand.service, demand.cost_estimate)
        is_warmed_up = (
            now >= self._serving_since.get(demand.service, now) + LIFT_WARMUP_SECONDS
        )
        if demand.waiting > 0 and is_new and is_warmed_up:
            self._lift(key, others)

    def forget_router(self, router: ids.RouterId) -> None:
        """Free a router's slots and drop its demand: it died, left or was cut off."""
        self._demands.remove_router(router)
        for entry in self._slots.servers.values():
            entry.awaited.discard(router)
            for held in [item for item in entry.held if item.router == router]:
                self._release(entry, held)

    def set_held(
        self, router: ids.RouterId, held: messages.SlotsHeld, now: float
    ) -> None:
        """Replace the known slots that a router uses of one server.

        Unused grants stay as they are: the router may have sent its message before they
        arrived.
        """
        entry = self._slots.servers.get(held.server)
        if entry is None:
            return
        entry.awaited.discard(router)
        for item in list(entry.held):
            if item.router == router and item.is_used:
                self._slots.release(entry, item)
        for account, _ in held.grants:
            self._slots.allocate(
                entry, slots.AllocatedSlot(None, router, account, math.inf)
            )

    def mark_used(
        self, router: ids.RouterId, message: messages.GrantUsed, now: float
    ) -> None:
        """Record that a request was sent with a grant.

        An unknown grant was issued by the previous home of the server, or has expired.
        Its slot is in use nevertheless and is counted.
        """
        entry = self._slots.servers.get(message.server)
        if entry is None:
            return
        key = (entry.service, message.account)
        held = entry.find_grant(router, message.grant)
        if held is None:
            held = slots.AllocatedSlot(message.grant, router, message.account, math.inf)
            self._slots.allocate(entry, held)
            self._demands.record_sent(key, router)
        elif not held.is_used:
            held.expires_at = math.inf
            self._demands.adjust_unused(key, router, -1)
            self._demands.record_sent(key, router)

    def end_grant(
        self, router: ids.RouterId, message: messages.GrantEnded, now: float
    ) -> None:
        """Free the slot of a grant; a duplicate message has no effect.

        After a takeover the ledger knows slots only by router and account, so an
        unknown grant frees any matching slot. A grant returned unused means that
        nothing waits at the router; if something does, the router reports it again.
        """
        entry = self._slots.servers.get(message.server)
        if entry is None:
            return
        held = entry.find_grant(router, message.grant) or entry.find_without_grant(
            router, message.account
        )
        if held is None:
            return
        if message.cost > 0.0:
            self._slot_charge.record_cost(entry.service, message.cost)
        if not held.is_used:
            entry.returned_at = now
            self._demands.clear_waiting((entry.service, held.account), router)
        self._release(entry, held)

    def expire(self, now: float) -> tuple[ids.GrantId, ...]:
        """Free the slots of grants that were not used in time; return these grants."""
        expired = []
        for entry in self._slots.servers.values():
            for held in [item for item in entry.held if item.expires_at <= now]:
                self._release(entry, held)
                if held.grant is not None:
                    expired.append(held.grant)
        self._demands.purge_withdrawn(now)
        return tuple(expired)

    def issue(self, now: float) -> list[IssuedGrant]:
        """Grant the free slots in order of standing."""
        issued = []
        # Most calls find no free slot: check the few servers first, and the many
        # accounts only for services with a free slot.
        for service in self._slots.services_with_free_slots(now):
            issued += self._issue_service(service, now)
        return issued

    def pop_lifts(self) -> list[messages.Lift]:
        """Return the lifts decided since the last call, to send to the other homes."""
        lifts, self._lifts = self._lifts, []
        return lifts

    def pop_pending(self) -> list[messages.Pending]:
        """Return the charges of held slots that changed since the last call."""
        return self._make_pending(self._slots.pop_changed())

    def list_pending(self) -> list[messages.Pending]:
        """Return the charges of all held slots, for a home without state."""
        return self._make_pending(self._slots.list_holders())

    def held(self, service: ids.ServiceId, account: ids.AccountId) -> int:
        """Return how many slots an account holds under this ledger's grants."""
        return self._slots.count_held(service, account)

    def _issue_service(self, service: ids.ServiceId, now: float) -> list[IssuedGrant]:
        waiting = [
            account
            for account in self._demands.backlogged(service)
            if self._demands.count_ungranted((service, account))
        ]
        issued: list[IssuedGrant] = []
        server = self._slots.pick_server(service, now) if waiting else None
        if (
            server is not None
            and now >= self._serving_since[service] + LIFT_WARMUP_SECONDS
        ):
            self._limit_deficits(service)
        while waiting and server is not None:
            account = self._pick_account(service, waiting)
            issued.append(self._grant(server, service, account, now))
            if not self._demands.count_ungranted((service, account)):
                waiting.remove(account)
            server = self._slots.pick_server(service, now)
        return issued

    def _grant(
        self,
        server: ids.ServerId,
        service: ids.ServiceId,
        account: ids.AccountId,
        now: float,
    ) -> IssuedGrant:
        key = (service, account)
        router = self._demands.pick_router(key, now)
        level = self._counters.level(service, account)
        self._lift_floors[service] = max(level, self._lift_floors.get(service, 0.0))
        self._next_grant += 1
        grant = ids.GrantId(self._next_grant)
        expires = now + VALID_SECONDS + GRACE_SECONDS
        held = slots.AllocatedSlot(grant, router, account, expires)
        self._slots.allocate(self._slots.servers[server], held)
        self._demands.adjust_unused(key, router, 1)
        message = messages.Grant(grant, server, service, account, VALID_SECONDS)
        return IssuedGrant(router, message)

    def _pick_account(
        self, service: ids.ServiceId, waiting: list[ids.AccountId]
    ) -> ids.AccountId:
        accounts = waiting
        if len(accounts) > 1:
            window = self._slots.total_window(service)
            cap = max(1, math.ceil(window * self._cap_fraction))
            below = [item for item in accounts if self.held(service, item) < cap]
            accounts = below or accounts
        return min(accounts, key=lambda item: (self._standing(service, item), item))

    def _standing(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        charged = self._charge_slots(service, account)
        return self._counters.standing(service, account, charged)

    def _charge_slots(self, service: ids.ServiceId, account: ids.AccountId) -> float:
        return self._slot_charge.per_slot(service) * self._slots.count_held(
            service, account
        )

    def _make_pending(self, keys: list[sharing.Key]) -> list[messages.Pending]:
        self._sequence += 1
        return [
            messages.Pending(*key, self._charge_slots(*key), self._sequence)
            for key in keys
        ]

    def _lift(self, key: sharing.Key, others: list[ids.AccountId]) -> None:
        floor = self._lift_floors.get(key[0], 0.0)
        lift = self._counters.lift(*key, others, floor)
        if lift is not None:
            self._lifts.append(lift)

    def _limit_deficits(self, service: ids.ServiceId) -> None:
        max_cost = self._slot_charge.max_cost(service)
        if max_cost:
            limit = self._max_deficit_costs * max_cost
            backlogged = self._demands.backlogged(service)
            self._lifts += self._counters.limit_deficits(service, backlogged, limit)

    def _release(self, entry: slots.ServerSlots, held: slots.AllocatedSlot) -> None:
        self._slots.release(entry, held)
        if not held.is_used:
            self._demands.adjust_unused((entry.service, held.account), held.router, -1)
