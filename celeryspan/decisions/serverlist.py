"""Which backend servers there are, from entries that lapse while the store is away.

Failure answered: the store is down for seconds, entries lapse because their servers
could not renew them, and when it is back every router would drop servers that work:
seen as refusals while all capacity idles. An entry found missing right after the store
was away stays in use until servers have had time to come back; one that is missing
after that is gone. Without an outage a missing entry is gone at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from celeryspan import catalog, ids

REGISTRATION_GRACE_SECONDS = 2.0
"""Servers that live are back this long after the store's return."""


class ServerList:
    """The entries of backend servers, as one router believes them."""

    def __init__(self) -> None:
        self._entries: dict[ids.ServerId, catalog.ServerEntry] = {}
        self._expires_at: dict[ids.ServerId, float] = {}
        self._store_unreachable = False
        self._store_returned_at = float("-inf")

    def record_store_unreachable(self) -> None:
        """Note that the store does not answer."""
        self._store_unreachable = True

    def record_store_reachable(self, now: float) -> None:
        """Note that the store answers."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_returned_at = now

    def update(self, entry: catalog.ServerEntry) -> None:
        """Take in an entry unless a newer one is known.

        A write of a server that has crashed may reach the store after those of its next
        incarnation: it has the higher revision, and would bring back a dead server.
        """
        known = self._entries.get(entry.server)
        if known is not None and (
            known.revision > entry.revision or known.succeeds(entry)
        ):
            return
        self._entries[entry.server] = entry
        self._expires_at.pop(entry.server, None)

    def remove(self, server: ids.ServerId, now: float) -> None:
        """Note that an entry is missing."""
        if server not in self._entries:
            return
        gone_at = self._store_returned_at + REGISTRATION_GRACE_SECONDS
        if now < gone_at:
            self._expires_at.setdefault(server, gone_at)
        else:
            self._drop(server)

    def replace(self, entries: Iterable[catalog.ServerEntry], now: float) -> None:
        """Take in all entries at once; those not among them are missing."""
        listed = list(entries)
        for server in self._entries.keys() - {entry.server for entry in listed}:
            self.remove(server, now)
        for entry in listed:
            self.update(entry)

    def expire(self, now: float) -> bool:
        """Drop what has been missing for too long; returns whether anything was."""
        if self._store_unreachable:
            return False
        late = [server for server, at in self._expires_at.items() if at <= now]
        for server in late:
            self._drop(server)
        return bool(late)

    def usable(self) -> dict[ids.ServerId, catalog.ServerEntry]:
        """Return the servers that may get new work."""
        return {
            server: entry
            for server, entry in self._entries.items()
            if not entry.is_leaving
        }

    def find(self, server: ids.ServerId) -> catalog.ServerEntry | None:
        """Return an entry, also of a server that is leaving, or None."""
        return self._entries.get(server)

    def _drop(self, server: ids.ServerId) -> None:
        self._entries.pop(server, None)
        self._expires_at.pop(server, None)
