"""The kernel service ``evacuations``: data centres whose servers get no new requests.

Operators evacuate a data centre by an entry in the store, and restore it by removing
the entry. Requests in progress are not interrupted, and the routers of an evacuated
data centre continue to serve their callers.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import errors, events, ids, kernel, metrics, storedobjects
from celeryspan.decisions import storeorder
from celeryspan.gateway import followers
from celeryspan.platform import evacuations, names

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, relays
    from celeryspan.services import identity

Handler = Callable[[frozenset[ids.DataCentreId]], None]

UNKNOWN_SECONDS_MAX = 2.0
"""Time after its start at which a router serves without the list of evacuations. The
store and all peers have then been silent, and other routers would not serve either."""

HOLD_POLICY = storeorder.HoldPolicy(seconds=60.0, missing_seconds=60.0)
"""How long evacuations and restored data centres hold against a restored store: the
operators' time to enter them again."""


@kernel.register("evacuations", needs=("identity", "metrics", "objects", "relays"))
class EvacuationsService:
    """Holds the evacuated data centres.

    Attributes
    ----------
    is_known : bool
        Whether servers may be used: the evacuations have been read, or could not be
        read in time.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        own: identity.IdentityService = container.find("identity")
        self._metrics: metrics.Metrics = container.find("metrics")
        self.is_known = False
        self._is_followed: bool = container.settings.follows_evacuations
        self._relays: relays.RelayService = container.find("relays")
        self._follower = followers.Follower(
            store.client, names.EVACUATION_KIND, self, own.router, policy=HOLD_POLICY
        )
        self._lock = threading.Lock()
        self._evacuated: frozenset[ids.DataCentreId] = frozenset()
        self._handlers: list[Handler] = []
        self._timer = threading.Timer(UNKNOWN_SECONDS_MAX, self._stop_waiting)
        self._timer.daemon = True

    def start(self) -> None:
        """Start to follow the store if operators evacuate data centres through it."""
        if not self._is_followed:
            self.is_known = True
            return
        self._relays.add_follower(self._follower)
        self._follower.start(self._relays)
        self._timer.start()

    def stop(self) -> None:
        """Stop following the store."""
        self._timer.cancel()
        self._follower.stop()

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with the evacuated data centres whenever they change.

        It is also called when :attr:`is_known` becomes true.
        """
        self._handlers.append(handler)
        if self.is_known:
            handler(self._evacuated)

    def is_evacuated(self, data_centre: ids.DataCentreId) -> bool:
        """Return whether the servers of a data centre get no new requests."""
        return data_centre in self._evacuated

    def report(self) -> dict[str, object]:
        """Return the evacuated data centres, and whether they are known."""
        return {"evacuated": sorted(self._evacuated), "is_known": self.is_known}

    def replace(self, listing: storedobjects.Listing) -> None:
        """Replace all evacuations."""
        self._set(frozenset(filter(None, map(_parse_entry, listing.objects))))

    def apply(self, changes: storedobjects.Changes) -> None:
        """Apply changes."""
        evacuated = set(self._evacuated)
        for change in changes.changes:
            evacuated.discard(ids.DataCentreId(change.object.name))
            found = None if change.is_deleted else _parse_entry(change.object)
            if found is not None:
                evacuated.add(found)
        self._set(frozenset(evacuated))

    def record_store_unreachable(self) -> None:
        """Do nothing: the known evacuations stay in force."""

    def record_store_reachable(self) -> None:
        """Do nothing: a list or watch follows."""

    def _set(self, evacuated: frozenset[ids.DataCentreId]) -> None:
        with self._lock:
            before, self._evacuated = self._evacuated, evacuated
            if self.is_known and before == evacuated:
                return
            self.is_known = True
        self._timer.cancel()
        for data_centre in sorted(evacuated - before):
            events.log(events.Event.DATA_CENTRE_EVACUATED, data_centre=data_centre)
        for data_centre in sorted(before - evacuated):
            events.log(events.Event.DATA_CENTRE_RESTORED, data_centre=data_centre)
        self._notify()

    def _stop_waiting(self) -> None:
        with self._lock:
            if self.is_known:
                return
            self.is_known = True
        events.log(events.Event.EVACUATIONS_UNKNOWN, seconds=UNKNOWN_SECONDS_MAX)
        self._notify()

    def _notify(self) -> None:
        self._metrics.set_evacuated(len(self._evacuated))
        for handler in self._handlers:
            handler(self._evacuated)


def _parse_entry(found: storedobjects.StoredObject) -> ids.DataCentreId | None:
    try:
        return evacuations.read(found)
    except errors.InputError as error:
        events.log(
            events.Event.STORE_OBJECT_IGNORED,
            kind=names.EVACUATION_KIND,
            error=str(error),
        )
        return None
