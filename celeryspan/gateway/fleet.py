"""The kernel service ``fleet``: discovers the other routers through the store.

Each router reads the entries of the others until its membership includes them. It
writes its own entry only if that is missing or outdated, so a restart writes nothing.
After the store was restored from a copy, each router checks its own entry. The
membership detects which routers are alive.
"""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel, storedobjects
from celeryspan.platform import names, routers

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, relays
    from celeryspan.services import identity, membership

POLL_DELAY_MIN_SECONDS = 0.25
POLL_DELAY_MAX_SECONDS = 30.0
"""Bounds of the delay between two reads of the list. It doubles after each read, and is
the maximum once the membership includes all listed routers. A router that is not a
member yet is found by its own reads and by those of the others."""

CHECK_DELAY_SECONDS_MAX = 5.0
"""Upper bound of the random time after a restoration of the store until a router checks
its own entry, so that the routers do not all call at once."""

LISTED_COUNT_SECONDS = 60.0
"""Time after the start for which the number of listed routers is used."""


@kernel.register("fleet", needs=("identity", "objects", "membership", "relays"))
class FleetService:
    """Writes this router's entry; passes the others' to the membership and relays."""

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        self._store = store
        self._client = store.client
        self._identity: identity.IdentityService = container.find("identity")
        self._membership: membership.MembershipService = container.find("membership")
        self._relays: relays.RelayService = container.find("relays")
        self._own = routers.RouterEntry(
            ids.Address.parse(container.settings.peer_address),
            ids.DataCentreId(container.settings.data_centre),
        )
        self._is_written = False
        self._listed_count = 0
        self._has_older_routers = False
        self._started_at = time.monotonic()
        self._random = random.Random(time.time_ns())
        self._must_check_at: float | None = None
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Start the discovery thread."""
        self._store.subscribe(self._handle_restoration)
        self._thread.start()

    def count_listed(self) -> int:
        """Return the number of routers that the store lists; 0 a while after the start.

        Entries of removed routers stay in the store, so that the list only tells about
        routers that the membership can't have found yet.
        """
        is_recent = time.monotonic() - self._started_at < LISTED_COUNT_SECONDS
        return self._listed_count if is_recent else 0

    def has_older_routers(self) -> bool:
        """Whether the store lists routers that keep no record of software versions.

        Their entries are read before they are replaced.
        """
        return self._has_older_routers

    def stop(self) -> None:
        """Stop discovery; the entry stays in the store for the next start."""
        self._stopped = True
        self._wake.set()

    def _handle_restoration(self, _: ids.Era) -> None:
        """Check this router's entry soon: it may be lost, or show an old address."""
        delay = self._random.uniform(0.0, CHECK_DELAY_SECONDS_MAX)
        self._must_check_at = time.monotonic() + delay
        self._wake.set()

    def _run(self) -> None:
        delay = POLL_DELAY_MIN_SECONDS
        discover_at = time.monotonic()
        while not self._stopped:
            now = time.monotonic()
            if self._must_check_at is not None and now >= self._must_check_at:
                self._check_entry()
            if now >= discover_at:
                delay = self._try_discover(delay)
                discover_at = time.monotonic() + delay * self._random.uniform(0.7, 1.0)
            due_at = min(discover_at, self._must_check_at or discover_at)
            self._wake.wait(max(0.0, due_at - time.monotonic()))
            self._wake.clear()

    def _check_entry(self) -> None:
        """Write this router's entry again unless the restored store has it."""
        self._must_check_at = None
        try:
            self._is_written = self._has_entry()
            self._write_entry()
        except errors.StoreError as error:
            events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
            self._handle_restoration(self._store.era)

    def _has_entry(self) -> bool:
        try:
            found = self._client.get(names.ROUTER_KIND, self._identity.router)
        except errors.NotFound:
            return False
        return found.spec == routers.write(self._own)

    def _try_discover(self, delay: float) -> float:
        """Discover the other routers; return the delay until the next time."""
        try:
            is_complete = self._discover()
        except errors.StoreError as error:
            events.log(events.Event.STORE_ANSWER_LOST, error=str(error))
            return delay
        if is_complete:
            return POLL_DELAY_MAX_SECONDS
        return min(delay * 2, POLL_DELAY_MAX_SECONDS)

    def _discover(self) -> bool:
        """Read the entries of the others, and correct this router's own.

        A list that is some seconds old costs a tenth of a current one and suffices to
        join: later routers are found by gossip or by the next read.

        Returns
        -------
        bool
            Whether the membership includes all listed routers.
        """
        listing = self._client.list_objects(names.ROUTER_KIND, is_stale=True)
        listed = dict(filter(None, map(_parse_entry, listing.objects)))
        self._listed_count = len(listed)
        self._has_older_routers = any(
            entry.build < routers.BUILD for entry in listed.values()
        )
        self._is_written |= listed.get(self._identity.router) == self._own
        self._relays.set_listed_routers(listed)
        listed.pop(self._identity.router, None)
        seeds = [entry.peer_address for entry in listed.values()]
        self._membership.set_seeds(seeds)
        self._write_entry()
        known = {member.peer_address for member in self._membership.members()}
        return bool(seeds) and known.issuperset(seeds)

    def _write_entry(self) -> None:
        """Write the entry, replacing an outdated one from an earlier start."""
        if self._is_written:
            return
        name, spec = self._identity.router, routers.write(self._own)
        try:
            self._client.create(names.ROUTER_KIND, name, spec)
        except errors.Conflict:
            found = self._client.get(names.ROUTER_KIND, name)
            if found.spec != spec:
                self._client.replace(names.ROUTER_KIND, name, spec, found.revision)
        self._is_written = True


def _parse_entry(
    found: storedobjects.StoredObject,
) -> tuple[ids.RouterId, routers.RouterEntry] | None:
    try:
        return ids.RouterId(found.name), routers.read(found)
    except errors.InputError as error:
        events.log(events.Event.TASK_FAILED, task="read router", error=str(error))
        return None
