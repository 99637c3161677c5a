"""The kernel service ``servers``: backend servers that are registered in the store."""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, metrics, storedobjects
from celeryspan.decisions import coldstart, serverlist, storeorder
from celeryspan.gateway import followers
from celeryspan.platform import names, servers

if TYPE_CHECKING:
    from celeryspan.gateway import (
        announcements,
        catalogues,
        evacuations,
        objectstore,
        relays,
    )
    from celeryspan.services import identity

Handler = Callable[[dict[ids.ServerId, catalog.ServerEntry]], None]

EXPIRY_CHECK_INTERVAL_SECONDS = 0.5
"""Interval between checks for expired entries."""

HOLD_POLICY = storeorder.HoldPolicy(
    # The store removes the entry of a server that no longer writes sooner than this.
    seconds=10.0,
    missing_seconds=serverlist.REGISTRATION_GRACE_SECONDS,
    # The copy is older, or the server has said that it leaves before the first list:
    # a server that is left alone for nothing does less harm.
    yields=lambda known, listed: servers.is_leaving(listed),
)
"""How long entries hold against a restored store."""


@kernel.register(
    "servers",
    needs=(
        "announcements",
        "catalogues",
        "evacuations",
        "identity",
        "metrics",
        "objects",
        "relays",
    ),
)
class ServersService:
    """Holds the entries of backend servers, and which may get new requests."""

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._metrics: metrics.Metrics = container.find("metrics")
        self._evacuations: evacuations.EvacuationsService = container.find(
            "evacuations"
        )
        self._list = serverlist.ServerList()
        self._lock = threading.Lock()
        self._handlers: list[Handler] = []
        self._usable: dict[ids.ServerId, catalog.ServerEntry] = {}
        own: identity.IdentityService = container.find("identity")
        self._relays: relays.RelayService = container.find("relays")
        self._follower = followers.Follower(
            store.client, names.SERVER_KIND, self, own.router, policy=HOLD_POLICY
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="servers", daemon=True)

    def start(self) -> None:
        """Start to follow the store, the evacuations and the servers' departures."""
        self._announcements.subscribe_departures(self._publish)
        self._evacuations.subscribe(self._handle_evacuations)
        self._relays.add_follower(self._follower)
        self._follower.start(self._relays)
        self._thread.start()

    def stop(self) -> None:
        """Stop following the store."""
        self._follower.stop()
        self._stopped.set()

    def usable(self) -> dict[ids.ServerId, catalog.ServerEntry]:
        """Return the servers that may get new requests."""
        return self._usable

    def find(self, server: ids.ServerId) -> catalog.ServerEntry | None:
        """Return the entry of a server, including a leaving one, or None."""
        with self._lock:
            return self._list.find(server)

    def measure_age(self) -> float:
        """Return the time since the entries were last confirmed, in seconds."""
        return time.monotonic() - self._follower.last_answer_at()

    def is_evacuated(self, service: ids.ServiceId) -> bool:
        """Return whether all servers of a service are in evacuated data centres."""
        with self._lock:
            return self._list.is_evacuated(service)

    def subscribe(self, handler: Handler) -> None:
        """Register a handler for the usable servers, and call it if there are any."""
        self._handlers.append(handler)
        if self._usable:
            handler(self._usable)

    def report(self) -> dict[str, object]:
        """Return the usable servers by service, and those that are cold."""
        found: dict[str, list[str]] = {}
        for server, entry in self._usable.items():
            found.setdefault(entry.service, []).append(server)
        now = time.monotonic()
        cold = [name for name, entry in self._usable.items() if entry.is_cold(now)]
        versions = {
            f"{s} {v}": n for (s, v), n in _count_versions(self._usable).items()
        }
        return {"usable": found, "cold": cold, "versions": versions}

    def remove(self, server: ids.ServerId) -> None:
        """Remove a server after another one has answered at its address."""
        with self._lock:
            self._list.remove(server, time.monotonic())
        self._publish()

    def replace(self, listing: storedobjects.Listing) -> None:
        """Replace all entries."""
        found = [
            entry for entry in map(_parse_entry, listing.objects) if entry is not None
        ]
        with self._lock:
            self._list.replace(found, time.monotonic())
        self._publish()

    def apply(self, changes: storedobjects.Changes) -> None:
        """Apply changes."""
        now = time.monotonic()
        with self._lock:
            for change in changes.changes:
                self._apply_change(change, now)
        self._publish()

    def record_store_unreachable(self) -> None:
        """Record that entries may expire although their servers are up."""
        with self._lock:
            self._list.record_store_unreachable()

    def record_store_reachable(self) -> None:
        """Record that servers can renew their entries again."""
        with self._lock:
            self._list.record_store_reachable(time.monotonic())

    def _apply_change(self, change: storedobjects.Change, now: float) -> None:
        if change.is_deleted:
            self._list.remove(ids.ServerId(change.object.name), now)
            return
        entry = _parse_entry(change.object)
        if entry is None:
            # The entry was overwritten and no longer describes a server.
            self._list.remove(ids.ServerId(change.object.name), now)
        else:
            self._list.update(entry, now)

    def _handle_evacuations(self, data_centres: frozenset[ids.DataCentreId]) -> None:
        with self._lock:
            self._list.set_evacuated(
                data_centres, time.monotonic(), self._find_cold_seconds
            )
        self._publish()

    def _find_cold_seconds(self, service: ids.ServiceId) -> float:
        current = self._catalogues.current()
        found = current.services.get(service) if current else None
        return found.cold_seconds if found and found.cold_rate else 0.0

    def _publish(self) -> None:
        if not self._evacuations.is_known:
            return  # A server in an evacuated data centre would look usable.
        with self._lock:
            usable = {
                server: entry
                for server, entry in self._list.usable().items()
                if not self._announcements.is_leaving(entry)
            }
            if usable == self._usable:
                return
            before, self._usable = self._usable, usable
        now = time.monotonic()
        self._metrics.set_cold_servers(
            sum(each.is_cold(now) for each in usable.values())
        )
        self._record_versions(before, usable)
        for server in before.keys() - usable.keys():
            events.log(events.Event.SERVER_LEAVING, server=server)
        for server in before.keys() & usable.keys():
            if usable[server].succeeds(before[server]):
                started_ms = usable[server].started_ms
                events.log(
                    events.Event.SERVER_RESTARTED, server=server, started_ms=started_ms
                )
        for handler in list(self._handlers):
            handler(usable)

    def _record_versions(
        self,
        before: dict[ids.ServerId, catalog.ServerEntry],
        usable: dict[ids.ServerId, catalog.ServerEntry],
    ) -> None:
        """Set the gauges of software versions, and log changes of a service's."""
        counts = _count_versions(usable)
        earlier = _count_versions(before)
        if counts == earlier:
            return
        self._metrics.set_server_versions(counts)
        for service in {service for service, _ in counts.keys() ^ earlier.keys()}:
            events.log(
                events.Event.VERSIONS_CHANGED,
                service=service,
                servers={v: n for (s, v), n in counts.items() if s == service},
            )

    def _run(self) -> None:
        while not self._stopped.wait(EXPIRY_CHECK_INTERVAL_SECONDS):
            with self._lock:
                changed = self._list.expire(time.monotonic())
            if changed:
                self._publish()


def _count_versions(
    servers: dict[ids.ServerId, catalog.ServerEntry],
) -> collections.Counter[tuple[str, str]]:
    """Return the number of servers by service and software version."""
    return collections.Counter(
        (entry.service, entry.version) for entry in servers.values()
    )


def _parse_entry(found: storedobjects.StoredObject) -> catalog.ServerEntry | None:
    try:
        entry = servers.read(found)
    except errors.InputError as error:
        events.log(
            events.Event.SERVER_ENTRY_IGNORED,
            server=str(found.name),
            revision=found.revision,
            error=str(error),
        )
        return None
    if entry.cold_seconds > coldstart.COLD_SECONDS_MAX:
        events.log(
            events.Event.COLD_TIME_CAPPED,
            server=entry.server,
            revision=found.revision,
            found=entry.cold_seconds,
            expected=f"at most {coldstart.COLD_SECONDS_MAX:g} s",
        )
    return entry
