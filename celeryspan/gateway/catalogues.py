"""The kernel service ``catalogues``: the configuration in force on this router.

Each router follows the configuration object in the store. Membership datagrams carry
each router's revision, and a router that sees a higher one requests it from that peer,
so that a router without access to the store is updated too. The highest revision always
wins.
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

REQUEST_INTERVAL_SECONDS = 0.5
"""Minimum interval between requests to peers, as a peer may not answer."""

REQUEST_DELAY_SECONDS = 0.4
"""Time for a higher revision to arrive from the store or the relays before a peer is
asked for it. With immediate requests a configuration of 50 KB crossed between data
centres once for each router."""


@kernel.register(
    "catalogues", needs=("identity", "objects", "links", "membership", "relays")
)
class CataloguesService:
    """Holds the catalogue in force; only a higher revision replaces it."""

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._current: catalog.Catalogue | None = None
        self._object: storedobjects.StoredObject | None = None
        self._handlers: list[Handler] = []
        self._lock = threading.Lock()
        self._next_request_at = 0.0
        self._behind_since: float | None = None
        own: identity.IdentityService = container.find("identity")
        self._relays: relays.RelayService = container.find("relays")
        self._follower = followers.Follower(
            store.client, names.CONFIGURATION_KIND, self, own.router, depth=0
        )

    def start(self) -> None:
        """Start to follow the store and register the handlers for peers."""
        self._links.subscribe(messages.ConfigurationRequest, self._handle_request)
        self._links.subscribe(messages.ConfigurationValue, self._handle_value)
        self._membership.on_newer_generation(self._request_from_peer)
        self._relays.add_follower(self._follower)
        self._follower.start(self._relays)

    def stop(self) -> None:
        """Stop following the store."""
        self._follower.stop()

    def current(self) -> catalog.Catalogue | None:
        """Return the catalogue in force, or None if no request may be served yet."""
        return self._current

    def subscribe(self, handler: Handler) -> None:
        """Register a handler for catalogues, and call it if there is one already."""
        self._handlers.append(handler)
        if self._current is not None:
            handler(self._current)

    def report(self) -> dict[str, object]:
        """Return the version and revision in force."""
        current = self._current
        if current is None:
            return {"version": None}
        return {"version": current.version, "revision": current.revision}

    def replace(self, listing: storedobjects.Listing) -> None:
        """Apply the configuration from a list of objects."""
        for found in listing.objects:
            self._put_in_force(found)

    def apply(self, changes: storedobjects.Changes) -> None:
        """Apply the newest configuration from changes."""
        for change in changes.changes:
            if not change.is_deleted:
                self._put_in_force(change.object)

    def record_store_unreachable(self) -> None:
        """Do nothing: the current catalogue stays in force."""

    def record_store_reachable(self) -> None:
        """Do nothing: a list or watch follows."""

    def _put_in_force(
        self, found: storedobjects.StoredObject, peer: str = "store"
    ) -> None:
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

    def _request_from_peer(self, member: messages.Member) -> None:
        now = time.monotonic()
        with self._lock:
            above = self._object.revision if self._object else 0
            if member.generation <= above:
                return
            if above and self._behind_since is None:
                self._behind_since = now
            since = self._behind_since or -REQUEST_DELAY_SECONDS
            if now < max(self._next_request_at, since + REQUEST_DELAY_SECONDS):
                return
            self._next_request_at = now + REQUEST_INTERVAL_SECONDS
        self._links.set_address(member.router, member.peer_address)
        request = messages.ConfigurationRequest(ids.Generation(above))
        self._links.send(member.router, request)

    def _handle_request(
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

    def _handle_value(
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
        self._put_in_force(found, peer)
