"""Which slots of which backend servers are granted or in use, at one home.

Load pattern: slots are taken and given back thousands of times a second, by messages
that may come late, twice or never.

Without one table for it the home would grant a slot twice, or never again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from celeryspan import ids

if TYPE_CHECKING:
    from celeryspan.decisions import sharing

# A server whose grant came back unused is taken last for so long, in seconds: longer
# than the router needs to say again what waits, short against any request.
RETURNED_SECONDS = 0.1


class Held(msgspec.Struct, eq=False):
    """One slot in use, or granted and not yet used.

    Attributes
    ----------
    grant : GrantId or None
        None for a slot that a router named after a take-over.
    expires : float
        Monotonic seconds; infinite once it is used.
    """

    grant: ids.GrantId | None
    router: ids.RouterId
    account: ids.AccountId
    expires: float

    @property
    def is_used(self) -> bool:
        """Whether the request has been sent."""
        return math.isinf(self.expires)


class Entry(msgspec.Struct):
    """The slots of one server.

    Attributes
    ----------
    awaited : set of RouterId
        Routers that have yet to say which slots they hold.
    recovered_at : float
        When the home stops to wait for them, in monotonic seconds.
    returned_at : float
        When a grant last came back unused, in monotonic seconds.
    """

    service: ids.ServiceId
    window: int
    awaited: set[ids.RouterId]
    recovered_at: float
    held: list[Held] = msgspec.field(default_factory=list)
    returned_at: float = -math.inf

    def is_open(self, now: float) -> bool:
        """Return whether a slot is free and may be granted."""
        if len(self.held) >= self.window:
            return False
        return not self.awaited or now >= self.recovered_at

    def find_grant(self, router: ids.RouterId, grant: ids.GrantId) -> Held | None:
        """Return the slot of a grant."""
        for held in self.held:
            if held.grant == grant and held.router == router:
                return held
        return None

    def find_unnamed(self, router: ids.RouterId, account: ids.AccountId) -> Held | None:
        """Return a slot that is known by router and account only."""
        for held in self.held:
            if held.grant is None and (held.router, held.account) == (router, account):
                return held
        return None


class Slots:
    """All servers of one home, with a count for each (service, account)."""

    def __init__(self) -> None:
        self.entries: dict[ids.ServerId, Entry] = {}
        self._counts: dict[sharing.Key, int] = {}
        self._changed: dict[sharing.Key, None] = {}

    def take(self, entry: Entry, held: Held) -> None:
        """Count a slot as held."""
        entry.held.append(held)
        self._count(entry, held, 1)

    def free(self, entry: Entry, held: Held) -> None:
        """Count a slot as free."""
        entry.held.remove(held)
        self._count(entry, held, -1)

    def count(self, service: ids.ServiceId, account: ids.AccountId) -> int:
        """Return the slots of a service that an account holds here."""
        return self._counts.get((service, account), 0)

    def windows(self, service: ids.ServiceId) -> int:
        """Return the slots of a service that this home may grant."""
        entries = self.entries.values()
        return sum(entry.window for entry in entries if entry.service == service)

    def services(self) -> list[ids.ServiceId]:
        """Return the services of the servers here, in order."""
        return sorted({entry.service for entry in self.entries.values()})

    def open_services(self, now: float) -> list[ids.ServiceId]:
        """Return the services with a free slot here, in order."""
        entries = self.entries.values()
        return sorted({entry.service for entry in entries if entry.is_open(now)})

    def pick_server(self, service: ids.ServiceId, now: float) -> ids.ServerId | None:
        """Return the server with the greatest free part, or None if all are full.

        One whose grant has just come back unused is taken last. The requests that
        wait there have failed at this server and may not go to it again; granting the
        server that has most room, which is the same one each time, would let them
        wait until their deadline beside servers that are free.
        """
        free = {
            server: (
                now - entry.returned_at >= RETURNED_SECONDS,
                1.0 - len(entry.held) / entry.window,
            )
            for server, entry in self.entries.items()
            if entry.service == service and entry.is_open(now)
        }
        return max(free, key=lambda server: free[server], default=None)

    def list_held(self) -> list[sharing.Key]:
        """Return the (service, account) pairs that hold a slot here."""
        return list(self._counts)

    def take_changed(self) -> list[sharing.Key]:
        """Return the (service, account) pairs whose count changed since last time."""
        changed, self._changed = list(self._changed), {}
        return changed

    def _count(self, entry: Entry, held: Held, change: int) -> None:
        key = (entry.service, held.account)
        self._counts[key] = self._counts.get(key, 0) + change
        self._changed[key] = None
        if not self._counts[key]:
            del self._counts[key]
