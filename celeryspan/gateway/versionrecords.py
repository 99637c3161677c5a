"""The kernel service ``versionrecords``: maintains the records of software versions.

Homes ask which versions may begin streams (:mod:`celeryspan.decisions.versionrecords`).
A version that is not in the record yet is added to it first. Each home does so itself,
so that none depends on another; while the store does not answer, homes ask the hosts of
the service, to which each home sends the record that it has read.
"""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from celeryspan import (
    catalog,
    errors,
    events,
    ids,
    kernel,
    untrusted,
)
from celeryspan.decisions import streamversions, versionrecords
from celeryspan.gateway import recordobjects
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import (
        catalogues,
        fleet,
        objectstore,
        poolmap,
        serverlists,
    )
    from celeryspan.services import delivery, identity

RETRY_SECONDS = 0.3
"""Pause after a failed call to the store."""

FIRST_RECORD_SECONDS = 0.8
"""Time for which a take-up waits for the first record, which homes write as soon as
they know the servers."""

FIRST_RECORD_POLL_SECONDS = 0.1

SETTLE_INTERVAL_SECONDS = 5.0


@kernel.register(
    "versionrecords",
    needs=(
        "catalogues",
        "delivery",
        "fleet",
        "identity",
        "objects",
        "poolmap",
        "servers",
    ),
)
class VersionRecords:
    """Decides which versions may begin streams, and keeps the store's records true."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._delivery: delivery.DeliveryService = container.find("delivery")
        self._fleet: fleet.FleetService = container.find("fleet")
        self._identity: identity.IdentityService = container.find("identity")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._servers: serverlists.ServersService = container.find("servers")
        self._store: objectstore.ObjectStore = container.find("objects")
        self._objects = recordobjects.RecordObjects(self._store.client)
        self._lock = threading.Lock()
        self._admissions = versionrecords.Admissions()
        self._wanted: set[ids.ServiceId] = set()
        self._handlers: list[Callable[[], None]] = []
        self._listers: list[Callable[[ids.ServiceId], None]] = []
        self._recorded: frozenset[ids.ServiceId] = frozenset()
        self._routes = 0
        self._retention = streamversions.compute_retention(())
        self._settle_at = time.monotonic() + SETTLE_INTERVAL_SECONDS
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="version-records", daemon=True
        )

    def start(self) -> None:
        """Subscribe to servers and configuration, and start the thread."""
        self._delivery.subscribe(messages.VersionsRequest, self._handle_request)
        self._delivery.subscribe(messages.VersionsKnown, self._handle_known)
        self._catalogues.subscribe(self._apply_catalogue)
        self._servers.subscribe(self._handle_servers)
        self._store.subscribe(lambda _: self._wake.set())
        self._thread.start()

    def stop(self) -> None:
        """Stop without waiting for a call in progress."""
        self._stopped = True
        self._wake.set()

    def report(self) -> dict[str, object]:
        """Return the record of each service whose streams this router places."""
        with self._lock:
            found = {each: self._admissions.find(each) for each in self._wanted}
        return {
            service: sorted(record.versions) if record else None
            for service, record in found.items()
        }

    def subscribe(self, handler: Callable[[], None]) -> None:
        """Register a handler to call when more versions may begin streams."""
        self._handlers.append(handler)

    def subscribe_extension(self, handler: Callable[[ids.ServiceId], None]) -> None:
        """Register a handler to call before a record names a further version."""
        self._listers.append(handler)

    def select(
        self, service: ids.ServiceId, entries: Iterable[catalog.ServerEntry]
    ) -> list[catalog.ServerEntry]:
        """Return the servers at which streams of a service may begin."""
        listed = list(entries)
        if service not in self._recorded:
            return listed
        with self._lock:
            self._wanted.add(service)
            is_confirmed = self._admissions.is_confirmed(service)
            found = [
                entry
                for entry in listed
                if self._admissions.admits(service, entry.version)
            ]
        if not is_confirmed:
            self._wake.set()
        return found

    def must_list(self, service: ids.ServiceId) -> bool:
        """Whether the origins of a service's streams must be listed."""
        with self._lock:
            return service in self._recorded and self._admissions.must_list(service)

    def read_sole_version(self, service: ids.ServiceId) -> ids.SoftwareVersion:
        """Return the version at which all streams on no list began; empty if unclear.

        Raises
        ------
        errors.StoreError
            If the store does not answer.
        """
        until = time.monotonic() + FIRST_RECORD_SECONDS
        while (found := self._objects.read(service)) is None:
            if time.monotonic() >= until:
                return catalog.NO_VERSION
            time.sleep(FIRST_RECORD_POLL_SECONDS)
        record, position = found
        basis = versionrecords.Basis(position.era, self._routes)
        return versionrecords.find_sole_version(record, basis)

    def _apply_catalogue(self, current: catalog.Catalogue) -> None:
        routes = [
            route
            for route in current.routes
            if route.kind is catalog.RouteKind.STREAM and route.is_resumable
        ]
        self._recorded = frozenset(
            target.service for route in routes for target in route.targets
        )
        self._retention = streamversions.compute_retention(
            [route.timeout for route in routes]
        )
        self._routes = versionrecords.hash_routes(routes)
        self._watch_homes()
        self._wake.set()
        self._notify()

    def _handle_servers(self, usable: dict[ids.ServerId, catalog.ServerEntry]) -> None:
        with self._lock:
            self._admissions.observe(_group_versions(usable), time.monotonic())
        self._watch_homes()
        self._wake.set()

    def _watch_homes(self) -> None:
        """Read the records of services before the first request to this home."""
        own = self._identity.router
        homes = {each for each in self._recorded if own in self._map.list_homes(each)}
        with self._lock:
            self._wanted |= homes

    def _handle_request(
        self, router: ids.RouterId, _: ids.Incarnation, asked: messages.VersionsRequest
    ) -> None:
        self._send_admitted(router, asked.service)

    def _handle_known(
        self, _: ids.RouterId, __: ids.Incarnation, known: messages.VersionsKnown
    ) -> None:
        versions = frozenset(each.version for each in known.versions)
        with self._lock:
            before = self._admissions.list_admitted(known.service)
            self._admissions.learn(known.service, versions)
            is_news = self._admissions.list_admitted(known.service) != before
        if is_news:
            self._notify()

    def _run(self) -> None:
        while not self._stopped:
            pause = SETTLE_INTERVAL_SECONDS
            try:
                self._confirm_all()
                self._settle_all(time.monotonic())
            except errors.StoreError as error:
                events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
                self._ask_hosts()
                pause = RETRY_SECONDS
            except Exception as error:
                # Without this thread, no stream could begin at a new version.
                events.log(
                    events.Event.TASK_FAILED,
                    task="version records",
                    error=untrusted.describe(error),
                )
                pause = RETRY_SECONDS
            self._wake.wait(pause)
            self._wake.clear()

    def _find_basis(self) -> versionrecords.Basis:
        return versionrecords.Basis(self._store.era, self._routes)

    def _find_further(self) -> versionrecords.Versions:
        """Return what stands for versions that routers of older builds may use."""
        has_older = self._fleet.has_older_routers()
        return frozenset({versionrecords.UNKNOWN} if has_older else ())

    def _confirm_all(self) -> None:
        with self._lock:
            self._admissions.basis = self._find_basis()
            self._admissions.further = self._find_further()
            pending = [
                service
                for service in self._wanted
                if not self._admissions.is_confirmed(service)
            ]
        for service in pending:
            self._confirm(service)
        if pending:
            self._notify()

    def _confirm(self, service: ids.ServiceId) -> None:
        """Read the record, and add the versions that serve if it lacks some."""
        record, position = self._objects.read(service) or (None, None)
        with self._lock:
            self._admissions.basis = self._find_basis()
            is_shared = self._admissions.find(service) == record
            proposed = self._admissions.propose(service, record)
        if proposed is not None:
            for handler in self._listers:
                handler(service)
            written = self._objects.write(service, proposed, position)
            if written is None:
                self._wake.set()
                return
            record, position = proposed, written
        if record is None:
            return
        with self._lock:
            self._admissions.confirm(service, record, position, time.monotonic())
        if proposed is not None or not is_shared:
            self._share(service)

    def _settle_all(self, now: float) -> None:
        """Remove versions whose streams can't be taken up any more."""
        if now < self._settle_at:
            return
        self._settle_at = now + SETTLE_INTERVAL_SECONDS
        if self._servers.measure_age() > streamversions.ENTRIES_AGE_SECONDS_MAX:
            return
        with self._lock:
            self._admissions.observe(_group_versions(self._servers.usable()), now)
        for service in list(self._wanted):
            with self._lock:
                settled = self._admissions.find_settled(service, self._retention, now)
            if settled is not None and self._is_first_home(service):
                self._settle(service, settled, now)

    def _is_first_home(self, service: ids.ServiceId) -> bool:
        """Whether this router removes versions from the record for all homes."""
        return self._map.list_homes(service)[:1] == (self._identity.router,)

    def _settle(
        self, service: ids.ServiceId, settled: versionrecords.VersionRecord, now: float
    ) -> None:
        found = self._objects.read(service)
        if found is None:
            return
        record, position = found
        with self._lock:
            known = self._admissions.find(service)
            self._admissions.confirm(service, record, position, now)
        if record != known:
            return
        written = self._objects.write(service, settled, position)
        if written is not None:
            with self._lock:
                self._admissions.confirm(service, settled, written, now)

    def _share(self, service: ids.ServiceId) -> None:
        """Tell the hosts of a service, which homes ask if the store does not answer."""
        for host in self._map.list_hosts(service, streamversions.HOSTS_MIN):
            if host != self._identity.router:
                self._send_admitted(host, service)

    def _send_admitted(self, router: ids.RouterId, service: ids.ServiceId) -> None:
        with self._lock:
            admitted = self._admissions.list_admitted(service)
        versions = tuple(map(messages.NamedVersion, sorted(admitted)))
        self._delivery.send(router, messages.VersionsKnown(service, versions))

    def _ask_hosts(self) -> None:
        with self._lock:
            pending = [
                service
                for service in self._wanted
                if not self._admissions.is_confirmed(service)
            ]
        for service in pending:
            for host in self._map.list_hosts(service, streamversions.HOSTS_MIN):
                if host != self._identity.router:
                    self._delivery.send(host, messages.VersionsRequest(service))

    def _notify(self) -> None:
        for handler in self._handlers:
            handler()


def _group_versions(
    usable: dict[ids.ServerId, catalog.ServerEntry],
) -> dict[ids.ServiceId, set[ids.SoftwareVersion]]:
    found: dict[ids.ServiceId, set[ids.SoftwareVersion]] = collections.defaultdict(set)
    for entry in usable.values():
        found[entry.service].add(entry.version)
    return found
