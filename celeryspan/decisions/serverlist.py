"""List of backend servers that survives store outages.

When the store is down for seconds, entries expire because their servers cannot renew
them. Without this module every router would drop working servers when the store
returns, and refuse requests while all capacity is idle. An entry found missing right
after an outage stays in use until its server has had time to register again, and is
removed if it is still missing then. Without an outage a missing entry is removed
immediately.

Servers in evacuated data centres are not usable. They may become cold shortly before
their data centre is restored, and report it only with their next heartbeat. After the
restoration they therefore count as cold for as long as cold servers of their service
do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

import msgspec

from celeryspan import catalog, ids
from celeryspan.decisions import coldstart

REGISTRATION_GRACE_SECONDS = 2.0
"""Time after the store's return within which live servers have registered again."""


class ServerList:
    """Entries of backend servers as known to one router."""

    def __init__(self) -> None:
        self._entries: dict[ids.ServerId, catalog.ServerEntry] = {}
        self._expires_at: dict[ids.ServerId, float] = {}
        self._store_unreachable = False
        self._store_returned_at = float("-inf")
        self._evacuated: Set[ids.DataCentreId] = frozenset()

    def record_store_unreachable(self) -> None:
        """Record that the store does not answer."""
        self._store_unreachable = True

    def record_store_reachable(self, now: float) -> None:
        """Record that the store answers."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_returned_at = now

    def update(self, entry: catalog.ServerEntry, now: float) -> None:
        """Store an entry unless a newer one is known.

        A write by a crashed server may reach the store after the writes of its next
        incarnation. It then has the higher revision and would restore the entry of a
        dead server.
        """
        known = self._entries.get(entry.server)
        if known is not None and (
            known.position > entry.position or known.succeeds(entry)
        ):
            return
        # A restored store shows the same entry, at the same revision of a later era.
        is_known = known is not None and known.revision == entry.revision
        reported = (
            0.0 if is_known else min(entry.cold_seconds, coldstart.COLD_SECONDS_MAX)
        )
        cold_until = now + reported if reported else 0.0
        if known is not None:
            cold_until = max(cold_until, known.cold_until)
        self._entries[entry.server] = _set_cold_until(entry, cold_until)
        self._expires_at.pop(entry.server, None)

    def set_evacuated(
        self,
        data_centres: Set[ids.DataCentreId],
        now: float,
        find_cold_seconds: Callable[[ids.ServiceId], float],
    ) -> None:
        """Set the evacuated data centres; servers of restored ones count as cold.

        Parameters
        ----------
        find_cold_seconds : callable
            Returns for how long a cold server of a service stays cold, in seconds.
        """
        restored = self._evacuated - data_centres
        self._evacuated = data_centres
        for server, entry in self._entries.items():
            if entry.data_centre in restored:
                cold_until = now + find_cold_seconds(entry.service)
                self._entries[server] = _set_cold_until(
                    entry, max(cold_until, entry.cold_until)
                )

    def remove(self, server: ids.ServerId, now: float) -> None:
        """Record that an entry is missing; after an outage it has a grace period."""
        if server not in self._entries:
            return
        grace_ends_at = self._store_returned_at + REGISTRATION_GRACE_SECONDS
        if now < grace_ends_at:
            self._expires_at.setdefault(server, grace_ends_at)
        else:
            self._drop(server)

    def replace(self, entries: Iterable[catalog.ServerEntry], now: float) -> None:
        """Replace the whole list; known entries that are not in it are missing."""
        listed = list(entries)
        for server in self._entries.keys() - {entry.server for entry in listed}:
            self.remove(server, now)
        for entry in listed:
            self.update(entry, now)

    def expire(self, now: float) -> bool:
        """Drop missing entries past their grace period; return whether any were."""
        if self._store_unreachable:
            return False
        expired = [server for server, at in self._expires_at.items() if at <= now]
        for server in expired:
            self._drop(server)
        return bool(expired)

    def usable(self) -> dict[ids.ServerId, catalog.ServerEntry]:
        """Return the servers that may get new requests."""
        return {
            server: entry
            for server, entry in self._entries.items()
            if not entry.is_leaving and entry.data_centre not in self._evacuated
        }

    def is_evacuated(self, service: ids.ServiceId) -> bool:
        """Whether a service has servers, all of them in evacuated data centres."""
        if not self._evacuated:
            return False
        places = {
            entry.data_centre
            for entry in self._entries.values()
            if entry.service == service and not entry.is_leaving
        }
        return bool(places) and places <= self._evacuated

    def find(self, server: ids.ServerId) -> catalog.ServerEntry | None:
        """Return the entry of a server, including a leaving one, or None."""
        return self._entries.get(server)

    def _drop(self, server: ids.ServerId) -> None:
        self._entries.pop(server, None)
        self._expires_at.pop(server, None)


def _set_cold_until(
    entry: catalog.ServerEntry, cold_until: float
) -> catalog.ServerEntry:
    if entry.cold_until == cold_until:
        return entry
    return msgspec.structs.replace(entry, cold_until=cold_until)
