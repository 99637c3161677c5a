"""The kernel service ``catalogues``: the configuration in force on this router.

Each router watches the store. Revisions ride on the datagrams of the membership, and a
router that hears of a higher one asks that peer for it, so that one whose way to the
store is cut follows as well. A higher revision wins, always.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel, storedobjects
from celeryspan.gateway import followers
from celeryspan.platform import catalogues, names
from celeryspan.wire import messages

if TYPE_CHECKING:
    from celeryspan.gateway import objectstore, relays
    from celeryspan.services import identity, links, membership

Handler = Callable[[catalog.Catalogue], None]

REQUEST_SECONDS = 0.5
"""After this long without an answer another peer may be asked."""

BEHIND_SECONDS = 0.4
"""How long a peer's higher revision is left to come by the usual way: asked at once, a
configuration of 50 KB crossed between data centres once for each router."""


@kernel.register(
    "catalogues", needs=("identity", "objects", "links", "membership", "relays")
)
class CataloguesService:
    """Holds the catalogue in force; takes only a higher revision."""

    def __init__(self, box: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = box.find("objects")
        self._links: links.LinksService = box.find("links")
        self._membership: membership.MembershipService = box.find("membership")
        self._current: catalog.Catalogue | None = None
        self._object: storedobjects.StoredObject | None = None
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()
        self._asked_until = 0.0
        self._behind_since: float | None = None
        own: identity.IdentityService = box.find("identity")
        self._relays: relays.RelayService = box.find("relays")
        self._follower = followers.Follower(
            store.client, names.CONFIGURATION_KIND, self, own.router, depth=0
        )

    def start(self) -> None:
        """Begin to follow the store and the peers."""
        self._links.subscribe(messages.ConfigurationRequest, self._answer)
        self._links.subscribe(messages.ConfigurationValue, self._take_value)
        self._membership.on_ahead(self._ask)
        self._relays.add_follower(self._follower)
        self._follower.start(self._relays)

    def stop(self) -> None:
        """Stop following."""
        self._follower.stop()

    def current(self) -> catalog.Catalogue | None:
        """Return the catalogue in force, or None: then serve nothing."""
        return self._current

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each catalogue put in force, and with this one."""
        self._handlers.append(handler)
        if self._current is not None:
            handler(self._current)

    def report(self) -> dict[str, object]:
        """Return version and revision in force."""
        current = self._current
        if current is None:
            return {"version": None}
        return {"version": current.version, "revision": current.revision}

    def replace(self, listing: storedobjects.Listing) -> None:
        """Take in the configuration out of a list."""
        for found in listing.objects:
            self._take(found)

    def apply(self, changes: storedobjects.Changes) -> None:
        """Take in the newest configuration out of changes."""
        for change in changes.changes:
            if not change.is_deleted:
                self._take(change.object)

    def record_store_unreachable(self) -> None:
        """Do nothing: the current catalogue stays in force."""

    def record_store_reachable(self) -> None:
        """Do nothing: a list or watch follows."""

    def _take(self, found: storedobjects.StoredObject, peer: str = "store") -> None:
        if found.name != names.CONFIGURATION_NAME:
            return
        with self._lock:
            known = self._object
            if known is not None and found.revision <= known.revision:
                return
            try:
                current = catalogues.read(found)
            except errors.InputError as error:
                events.log(
                    events.Event.CONFIGURATION_REFUSED, peer=peer, error=str(error)
                )
                return
            self._object, self._current = found, current
            self._behind_since = None
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            generation=current.revision,
            version=current.version,
            peer=peer,
        )
        self._membership.set_generation(ids.Generation(current.revision))
        self._membership.announce()
        for handler in list(self._handlers):
            handler(current)

    def _ask(self, member: messages.Member) -> None:
        now = time.monotonic()
        with self._lock:
            above = self._object.revision if self._object else 0
            if member.generation <= above:
                return
            if above and self._behind_since is None:
                self._behind_since = now
            since = self._behind_since or -BEHIND_SECONDS
            if now < max(self._asked_until, since + BEHIND_SECONDS):
                return
            self._asked_until = now + REQUEST_SECONDS
        self._links.learn(member.router, member.peer_address)
        request = messages.ConfigurationRequest(ids.Generation(above))
        self._links.send(member.router, request)

    def _answer(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        request: messages.ConfigurationRequest,
    ) -> None:
        found = self._object
        if found is not None and found.revision > request.above:
            body = json.dumps(found.spec).encode()
            generation = ids.Generation(found.revision)
            self._links.send(peer, messages.ConfigurationValue(generation, body))

    def _take_value(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        value: messages.ConfigurationValue,
    ) -> None:
        found = storedobjects.StoredObject(
            name=names.CONFIGURATION_NAME,
            revision=value.generation,
            spec=json.loads(value.body),
            status=None,
            is_terminating=False,
        )
        self._take(found, peer)
