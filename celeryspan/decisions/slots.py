"""Slots of backend servers that are granted or in use, as recorded by one home.

Slots are taken and returned thousands of times a second, by messages that may arrive
late, twice or never. Without a single table the home would grant a slot twice, or never
again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids

if TYPE_CHECKING:
    from celeryspan.decisions import sharing

# How long a server is chosen last after one of its grants came back unused: longer than
# a router takes to report its demand again, much shorter than a request.
RETURN_BACKOFF_SECONDS = 0.1


class AllocatedSlot(msgspec.Struct, eq=False):
    """A slot that is in use, or granted and not yet used.

    Attributes
    ----------
    grant : GrantId or None
        None for a slot that a router reported after a takeover.
    expires_at : float
        Monotonic seconds; infinite once the grant is used.
    """

    grant: ids.GrantId | None
    router: ids.RouterId
    account: ids.AccountId
    expires_at: float

    @property
    def is_used(self) -> bool:
        """Whether the request has been sent."""
        return math.isinf(self.expires_at)


class ServerSlots(msgspec.Struct):
    """The slots of one server.

    Attributes
    ----------
    awaited : set of RouterId
        Routers that have not yet reported which slots they hold.
    recovery_ends_at : float
        When the home stops waiting for these routers, in monotonic seconds.
    returned_at : float
        When a grant last came back unused, in monotonic seconds.
    """

    service: ids.ServiceId
    window: int
    awaited: set[ids.RouterId]
    recovery_ends_at: float
    held: list[AllocatedSlot] = msgspec.field(default_factory=list)
    returned_at: float = -math.inf

    def has_free_slot(self, now: float) -> bool:
        """Return whether a slot may be granted."""
        if len(self.held) >= self.window:
            return False
        return not self.awaited or now >= self.recovery_ends_at

    def find_grant(
        self, router: ids.RouterId, grant: ids.GrantId
    ) -> AllocatedSlot | None:
        """Return the slot of a grant, or None."""
        for held in self.held:
            if held.grant == grant and held.router == router:
                return held
        return None

    def find_without_grant(
        self, router: ids.RouterId, account: ids.AccountId
    ) -> AllocatedSlot | None:
        """Return a slot that is known only by router and account, or None."""
        for held in self.held:
            if held.grant is None and (held.router, held.account) == (router, account):
                return held
        return None


class SlotTable:
    """All servers of one home, with slot counts per service and account."""

    def __init__(self) -> None:
        self.servers: dict[ids.ServerId, ServerSlots] = {}
        self._counts: dict[sharing.Key, int] = {}
        self._changed: dict[sharing.Key, None] = {}

    def allocate(self, entry: ServerSlots, held: AllocatedSlot) -> None:
        """Record a slot as held."""
        entry.held.append(held)
        self._adjust_count(entry, held, 1)

    def release(self, entry: ServerSlots, held: AllocatedSlot) -> None:
        """Record a slot as free."""
        entry.held.remove(held)
        self._adjust_count(entry, held, -1)

    def count_held(self, service: ids.ServiceId, account: ids.AccountId) -> int:
        """Return how many slots of a service an account holds at this home."""
        return self._counts.get((service, account), 0)

    def total_window(self, service: ids.ServiceId) -> int:
        """Return how many slots of a service this home may grant."""
        entries = self.servers.values()
        return sum(entry.window for entry in entries if entry.service == service)

    def services(self) -> list[ids.ServiceId]:
        """Return the services of this home's servers, sorted."""
        return sorted({entry.service for entry in self.servers.values()})

    def services_with_free_slots(self, now: float) -> list[ids.ServiceId]:
        """Return the services with a free slot at this home, sorted."""
        entries = self.servers.values()
        return sorted({entry.service for entry in entries if entry.has_free_slot(now)})

    def pick_server(self, service: ids.ServiceId, now: float) -> ids.ServerId | None:
        """Return the server with the largest free share, or None if all are full.

        A server whose grant has just come back unused is chosen last. The requests
        waiting at that router have failed on this server and may not return to it.
        Granting the emptiest server, the same one each time, would leave them waiting
        until their deadline while other servers are free.
        """
        free = {
            server: (
                now - entry.returned_at >= RETURN_BACKOFF_SECONDS,
                1.0 - len(entry.held) / entry.window,
            )
            for server, entry in self.servers.items()
            if entry.service == service and entry.has_free_slot(now)
        }
        return max(free, key=lambda server: free[server], default=None)

    def list_holders(self) -> list[sharing.Key]:
        """Return the (service, account) pairs that hold a slot."""
        return list(self._counts)

    def pop_changed(self) -> list[sharing.Key]:
        """Return the (service, account) pairs changed since the last call."""
        changed, self._changed = list(self._changed), {}
        return changed

    def _adjust_count(
        self, entry: ServerSlots, held: AllocatedSlot, change: int
    ) -> None:
        key = (entry.service, held.account)
        self._counts[key] = self._counts.get(key, 0) + change
        self._changed[key] = None
        if not self._counts[key]:
            del self._counts[key]
