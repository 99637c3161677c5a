"""The kernel service ``originlists``: origins of streams in the store.

While servers of several versions may have begun streams, each home lists the origins of
the streams that it has placed. The first of a batch is written at once, the others
after a while, so that a home writes at most some calls a second. A router that knows
nothing of a stream reads the service's record, and then the lists if it must.
"""

from __future__ import annotations

import collections
import threading
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, untrusted
from celeryspan.decisions import streamversions
from celeryspan.gateway import sharedreads
from celeryspan.platform import names, streamrecords

if TYPE_CHECKING:
    from celeryspan.gateway import catalogues, objectstore, poolmap, versionrecords
    from celeryspan.services import identity

HOME_BATCH_SECONDS = 0.25
"""Interval between two writes of a service's homes together."""

BATCH_SECONDS = (0.5, 1.0)
"""Bounds of the interval between two writes of one home; a stream lasts for seconds."""

RETRY_SECONDS = 0.5
"""Pause after a failed call to the store."""

LIST_BYTES_MAX = 800_000
"""Size of a list up to which it fits an object of the store."""

ENTRY_BYTES = 4
"""Quotation marks and separators of one request in a list."""

Origin = tuple[ids.ServiceId, ids.SoftwareVersion]


@kernel.register(
    "originlists",
    needs=("catalogues", "identity", "objects", "poolmap", "versionrecords"),
)
class OriginLists:
    """Lists the origins of streams that this router places, and finds listed ones."""

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        self._store = store
        self._client = store.client
        self._catalogues: catalogues.CataloguesService = container.find("catalogues")
        self._identity: identity.IdentityService = container.find("identity")
        self._map: poolmap.PoolMap = container.find("poolmap")
        self._records: versionrecords.VersionRecords = container.find("versionrecords")
        self._lock = threading.Lock()
        self._placed: collections.OrderedDict[ids.RequestId, tuple[Origin, float]] = (
            collections.OrderedDict()
        )
        self._listed: dict[ids.RequestId, Origin] = {}
        self._sole: dict[ids.ServiceId, ids.SoftwareVersion] = {}
        self._readers: dict[ids.ServiceId, sharedreads.SharedRead] = (
            collections.defaultdict(sharedreads.SharedRead)
        )
        self._retention = streamversions.compute_retention(())
        self._revision = 0
        self._is_changed = False
        self._writing = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="origin-lists", daemon=True
        )

    def start(self) -> None:
        """Subscribe to changes and start the thread."""
        self._catalogues.subscribe(self._apply_timeouts)
        self._records.subscribe(self._list_again)
        self._records.subscribe_extension(self._list_before_extension)
        self._store.subscribe(self._handle_restoration)
        self._thread.start()

    def stop(self) -> None:
        """Stop without waiting for a call in progress."""
        self._stopped = True
        self._wake.set()

    def add(
        self,
        request: ids.RequestId,
        service: ids.ServiceId,
        version: ids.SoftwareVersion,
    ) -> None:
        """Hold the origin of a stream that this router has placed, and list it."""
        if not streamrecords.is_listable(request):
            return
        now = time.monotonic()
        with self._lock:
            is_new = self._placed.pop(request, None) is None
            self._placed[request] = (service, version), now
            self._expire(now)
        if is_new and self._records.must_list(service):
            self._list_again()

    def find(self, request: ids.RequestId, service: ids.ServiceId) -> Origin | None:
        """Return the origin that the store proves, or None."""
        if not self._read(service):
            return None
        with self._lock:
            sole = self._sole.get(service)
            return (service, sole) if sole else self._listed.get(request)

    def find_sole_version(self, service: ids.ServiceId) -> ids.SoftwareVersion:
        """Return the only version at which streams may have begun; empty if unclear."""
        if not self._read(service):
            return catalog.NO_VERSION
        with self._lock:
            return self._sole.get(service, catalog.NO_VERSION)

    def _read(self, service: ids.ServiceId) -> bool:
        """Read the store, or wait for a read that begins now; return whether it ended.

        The record is read first: a version is named there before a stream of another
        one is on no list.
        """
        asked_at = time.monotonic()
        reader = self._readers[service]
        if not reader.begin(asked_at):
            return reader.has_answered(asked_at)
        is_answered = False
        try:
            sole = self._records.read_sole_version(service)
            listed = {} if sole else self._read_lists()
            with self._lock:
                self._sole[service] = sole
                if not sole:
                    self._listed = listed
            is_answered = True
        except errors.StoreError as error:
            events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
        finally:
            reader.complete(is_answered=is_answered)
        return is_answered

    def _read_lists(self) -> dict[ids.RequestId, Origin]:
        found: dict[ids.RequestId, Origin] = {}
        for stored in self._client.list_objects(names.ORIGIN_LIST_KIND).objects:
            try:
                listed = streamrecords.read_origins(stored)
            except errors.InputError as error:
                events.log(
                    events.Event.STORE_OBJECT_IGNORED,
                    kind=names.ORIGIN_LIST_KIND,
                    error=str(error),
                )
                continue
            _merge(found, listed)
        return found

    def _apply_timeouts(self, current: catalog.Catalogue) -> None:
        self._retention = streamversions.compute_retention(
            [
                route.timeout
                for route in current.routes
                if route.kind is catalog.RouteKind.STREAM
            ]
        )

    def _expire(self, now: float) -> None:
        """Forget streams that can't be taken up any more; the caller holds the lock."""
        while self._placed:
            _, placed_at = next(iter(self._placed.values()))
            if placed_at >= now - self._retention:
                return
            self._placed.popitem(last=False)

    def _handle_restoration(self, _: ids.Era) -> None:
        """Write the list again, which the restored store may show as it was."""
        self._revision = 0
        self._list_again()

    def _list_again(self) -> None:
        """List all origins, of which the record may prove fewer than before."""
        self._is_changed = True
        self._wake.set()

    def _list_before_extension(self, service: ids.ServiceId) -> None:
        """List what the record has proved until now.

        Raises
        ------
        errors.StoreError
            If the store does not answer.
        """
        self._write(always=service)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait()
            self._wake.clear()
            pause = self._compute_interval()
            try:
                if self._is_changed:
                    self._is_changed = False
                    self._write()
            except errors.StoreError as error:
                events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
                pause = self._retry()
            except Exception as error:
                # Without this thread, streams could not go on after a loss of routers.
                events.log(
                    events.Event.TASK_FAILED,
                    task="origin lists",
                    error=untrusted.describe(error),
                )
                pause = self._retry()
            if not self._stopped:
                time.sleep(pause)

    def _compute_interval(self) -> float:
        """Return the seconds until the next write, so that more homes don't write more.

        The calls of a whole fleet to the store are bounded.
        """
        with self._lock:
            services = {service for (service, _), _ in self._placed.values()}
        homes = max((len(self._map.list_homes(each)) for each in services), default=1)
        low, high = BATCH_SECONDS
        return min(max(low, homes * HOME_BATCH_SECONDS), high)

    def _retry(self) -> float:
        self._is_changed = True
        self._wake.set()
        return RETRY_SECONDS

    def _write(self, always: ids.ServiceId | None = None) -> None:
        """Write the list of this router.

        Parameters
        ----------
        always : ServiceId or None
            A service whose origins are listed although its record proves them.
        """
        with self._writing:
            while not self._try_write(always):
                pass

    def _try_write(self, always: ids.ServiceId | None) -> bool:
        """Write the list; return False if another revision had to be merged first."""
        origins = self._select(always)
        if not origins:
            return True
        kind, name = names.ORIGIN_LIST_KIND, self._identity.router
        spec = streamrecords.write_origins(origins)
        try:
            if self._revision:
                written = self._client.replace(kind, name, spec, self._revision)
            else:
                written = self._client.create(kind, name, spec)
        except errors.NotFound:
            self._revision = 0
            return False
        except errors.Conflict:
            self._merge_stored()
            return False
        self._revision = written.revision
        events.log(events.Event.ORIGINS_LISTED, count=len(origins))
        return True

    def _merge_stored(self) -> None:
        """Hold what an earlier incarnation of this router has listed."""
        stored = self._client.get(names.ORIGIN_LIST_KIND, self._identity.router)
        self._revision = stored.revision
        try:
            listed = streamrecords.read_origins(stored)
        except errors.InputError:
            return  # It is replaced by the next write.
        now = time.monotonic()
        with self._lock:
            for request, origin in listed.items():
                self._placed.setdefault(request, (origin, now))

    def _select(
        self, always: ids.ServiceId | None
    ) -> list[tuple[ids.RequestId, ids.ServiceId, ids.SoftwareVersion]]:
        """Return the origins to list, the newest ones if there are too many."""
        with self._lock:
            self._expire(time.monotonic())
            placed = list(self._placed.items())
        services = {service for _, ((service, _), _) in placed}
        listed = {each for each in services if self._records.must_list(each)}
        listed |= {always}
        found = []
        size = 0
        for request, ((service, version), _) in reversed(placed):
            size += len(request) + ENTRY_BYTES
            if size > LIST_BYTES_MAX:
                break
            if service in listed:
                found.append((request, service, version))
        return found


def _merge(
    found: dict[ids.RequestId, Origin], listed: Mapping[ids.RequestId, Origin]
) -> None:
    """Add listed origins; two that contradict each other prove nothing."""
    for request, origin in listed.items():
        if found.setdefault(request, origin) != origin:
            found[request] = origin[0], catalog.NO_VERSION
