"""The kernel service ``catalogues``: the configuration in force on this router.

Each router follows the configuration object in the store. Membership datagrams state
which configuration each router has in force, and a router that sees a newer one
requests it from that peer, so that a router without access to the store is updated too.
The newest one always wins (:mod:`celeryspan.decisions.storeorder`), also against a
store that shows an older one after its restoration.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from celeryspan import (
    catalog,
    errors,
    events,
    ids,
    kernel,
    storedobjects,
    untrusted,
)
from celeryspan.decisions import storeorder
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


PEER_WAIT_SECONDS = 0.3
"""Time for which a router that has just started waits for a peer's configuration before
it takes the store's: the store may have been restored from a copy."""

STORE = "store"
"""Source of a configuration that no peer has sent."""


@kernel.register(
    "catalogues", needs=("identity", "objects", "links", "membership", "relays")
)
class CataloguesService:
    """Holds the catalogue in force; only a newer one replaces it."""

    def __init__(self, container: kernel.Kernel) -> None:
        store: objectstore.ObjectStore = container.find("objects")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._current: catalog.Catalogue | None = None
        self._object: storedobjects.StoredObject | None = None
        self._stamp = storeorder.NO_CONFIGURATION
        # The first configuration of the store, while peers may know a newer one.
        self._waiting: storedobjects.StoredObject | None = None
        own_address = container.settings.peer_address
        self._awaits_peers = any(
            peer != own_address for peer in container.settings.peers
        )
        self._timer: threading.Timer | None = None
        self._handlers: list[Handler] = []
        self._must_notify = False
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
        self._membership.on_other_generation(self._handle_peer)
        self._relays.add_follower(self._follower)
        self._follower.start(self._relays)

    def stop(self) -> None:
        """Stop following the store."""
        self._follower.stop()
        if self._timer is not None:
            self._timer.cancel()

    def current(self) -> catalog.Catalogue | None:
        """Return the catalogue in force, or None if no request may be served yet."""
        return self._current

    def subscribe(self, handler: Handler) -> None:
        """Register a handler for catalogues, and call it if there is one already."""
        self._handlers.append(handler)
        if self._current is not None:
            handler(self._current)

    def report(self) -> dict[str, object]:
        """Return the version in force, and where in the store's history it stands."""
        current = self._current
        if current is None:
            return {"version": None}
        return {
            "version": current.version,
            "era": current.era,
            "revision": current.revision,
        }

    def replace(self, listing: storedobjects.Listing) -> None:
        """Apply the configuration from a list of objects."""
        for found in listing.objects:
            self._handle_stored(found)

    def apply(self, changes: storedobjects.Changes) -> None:
        """Apply the newest configuration from changes."""
        for change in changes.changes:
            if not change.is_deleted:
                self._handle_stored(change.object)

    def record_store_unreachable(self) -> None:
        """Do nothing: the current catalogue stays in force."""

    def record_store_reachable(self) -> None:
        """Do nothing: a list or watch follows."""

    def _handle_stored(self, found: storedobjects.StoredObject) -> None:
        """Put a configuration of the store in force, the first one after a wait.

        A router that has just started can't tell whether the store shows a copy; its
        peers can.
        """
        if found.name != names.CONFIGURATION_NAME:
            return
        with self._lock:
            must_wait = self._object is None and self._awaits_peers
            if must_wait:
                self._waiting = found
                self._start_timer()
        if not must_wait:
            self._put_in_force(found)

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = threading.Timer(PEER_WAIT_SECONDS, self._stop_waiting)
            self._timer.daemon = True
            self._timer.start()

    def _stop_waiting(self) -> None:
        with self._lock:
            found, self._waiting = self._waiting, None
            self._awaits_peers = False
        if found is not None:
            self._put_in_force(found)

    def _put_in_force(
        self, found: storedobjects.StoredObject, peer: str = STORE
    ) -> None:
        era = self._follower.resolve_era(found.era)
        found = msgspec.structs.replace(found, era=era)
        self._notify_again()
        with self._lock:
            known = self._object
            if known is not None and found.position == known.position:
                return
            try:
                current = catalogues.read(found)
            except errors.InputError as error:
                events.log(
                    events.Event.CONFIGURATION_REFUSED, peer=peer, error=str(error)
                )
                return
            stamp = storeorder.ConfigurationStamp(*found.position, current.version)
            if not stamp.supersedes(self._stamp):
                self._log_older(stamp, peer)
                return
            self._object, self._current, self._stamp = found, current, stamp
            self._behind_since = None
        self._membership.set_generation(
            ids.Generation(stamp.revision), stamp.era, stamp.version
        )
        self._membership.announce()
        if known is not None and known.spec == found.spec:
            return  # The restored store shows it at its revision in the next era.
        events.log(
            events.Event.CONFIGURATION_IN_FORCE,
            generation=current.revision,
            era=current.era,
            version=current.version,
            peer=peer,
        )
        self._notify(current)

    def _notify(self, current: catalog.Catalogue) -> None:
        """Call all handlers; raise an ExceptionGroup if some of them fail."""
        failures = []
        for handler in list(self._handlers):
            try:
                handler(current)
            except Exception as error:
                failures.append(error)
        self._must_notify = bool(failures)
        if failures:
            raise ExceptionGroup("the configuration was not applied", failures)

    def _notify_again(self) -> None:
        """Call all handlers again if some of them failed to apply the configuration."""
        if self._must_notify and self._current is not None:
            self._notify(self._current)

    def _log_older(self, stamp: storeorder.ConfigurationStamp, peer: str) -> None:
        """Log that a store or a peer of another era has an older configuration."""
        if stamp.era != self._stamp.era:
            events.log(
                events.Event.CONFIGURATION_OLD_IGNORED,
                peer=peer,
                era=stamp.era,
                version=stamp.version,
                in_force=self._stamp.version,
            )

    def _handle_peer(self, member: messages.Member) -> None:
        """Request the configuration of a peer that states a newer one."""
        now = time.monotonic()
        stamp = storeorder.ConfigurationStamp(
            self._follower.resolve_era(member.era), member.generation, member.version
        )
        with self._lock:
            is_waiting = self._waiting is not None
            in_force = self._find_newest_stamp()
            is_newer = member.generation > 0 and stamp.supersedes(in_force)
            if is_newer and not self._may_request(now):
                return
        if is_newer:
            self._links.set_address(member.router, member.peer_address)
            request = messages.ConfigurationRequest(
                ids.Generation(in_force.revision), in_force.era, in_force.version
            )
            self._links.send(member.router, request)
        elif is_waiting and member.generation > 0:
            self._stop_waiting()

    def _find_newest_stamp(self) -> storeorder.ConfigurationStamp:
        """Return the stamp of the configuration in force, or of the one that waits."""
        if self._waiting is None:
            return self._stamp
        try:
            version = catalogues.read_version(self._waiting)
        except errors.InputError:
            return self._stamp
        return storeorder.ConfigurationStamp(*self._waiting.position, version)

    def _may_request(self, now: float) -> bool:
        """Whether a newer configuration may be requested now, with the lock held."""
        if self._object is not None and self._behind_since is None:
            self._behind_since = now
        since = self._behind_since or -REQUEST_DELAY_SECONDS
        if now < max(self._next_request_at, since + REQUEST_DELAY_SECONDS):
            return False
        self._next_request_at = now + REQUEST_INTERVAL_SECONDS
        return True

    def _handle_request(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        request: messages.ConfigurationRequest,
    ) -> None:
        found, own = self._object, self._stamp
        known = storeorder.ConfigurationStamp(
            self._follower.resolve_era(request.era), request.above, request.version
        )
        if found is not None and own.supersedes(known):
            body = json.dumps(found.spec).encode()
            generation = ids.Generation(found.revision)
            self._links.send(
                peer, messages.ConfigurationValue(generation, body, found.era)
            )

    def _handle_value(
        self,
        peer: ids.RouterId,
        _: ids.Incarnation,
        value: messages.ConfigurationValue,
    ) -> None:
        found = storedobjects.StoredObject(
            name=names.CONFIGURATION_NAME,
            revision=value.generation,
            spec=untrusted.parse_json(value.body),
            status=None,
            is_terminating=False,
            era=value.era,
        )
        self._put_in_force(found, peer)
