"""The kernel service ``relays``: replicates the store's objects between routers.

A router subscribes to its sources and renews the subscription every few seconds. The
sources send it changes and the age of their data. Sources are chosen again whenever the
membership changes. A router that has just started also uses the store's list of routers
until the membership has found the others.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import events, ids, kernel, states, storedobjects, untrusted
from celeryspan.decisions import relays, storelog
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from celeryspan.gateway import followers, objectstore
    from celeryspan.platform import routers
    from celeryspan.services import identity, links, membership

TICK_SECONDS = 0.2

LISTED_ROUTERS_SECONDS = 4.0
"""Time after its start for which a router also counts the routers that the store lists.
By then the membership has found those that are alive."""


class _Subscriber(msgspec.Struct):
    """A router that receives the changes of one kind of objects.

    Attributes
    ----------
    incarnation : Incarnation
        Its incarnation; a later one knows nothing of what the earlier one was sent.
    position : Position
        Where in the history of the store the last batch sent ends.
    expires_at, sent_at : float
        Time at which the subscription ends unless renewed, and time of the last batch.
    store_answered_at : float
        Time of the store's last answer, as of the last batch.
    """

    incarnation: ids.Incarnation
    position: storedobjects.Position
    expires_at: float
    sent_at: float = float("-inf")
    store_answered_at: float = float("-inf")


@kernel.register("relays", needs=("identity", "links", "membership", "objects"))
class RelayService:
    """Exchanges the contents of the store with other routers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._links: links.LinksService = container.find("links")
        self._membership: membership.MembershipService = container.find("membership")
        self._store: objectstore.ObjectStore = container.find("objects")
        self._data_centre = ids.DataCentreId(container.settings.data_centre)
        own_address = container.settings.peer_address
        self._has_seeds = any(peer != own_address for peer in container.settings.peers)
        self._listed: dict[ids.RouterId, ids.DataCentreId] = {}
        self._is_settled = False
        self._listed_expire_at = time.monotonic() + LISTED_ROUTERS_SECONDS
        self._duties_outdated = True
        self._followers: dict[str, followers.Follower] = {}
        self._subscribers: dict[tuple[ids.RouterId, str], _Subscriber] = {}
        self._subscribed_at: dict[tuple[ids.RouterId, str], float] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relays", daemon=True)

    def start(self) -> None:
        """Register the message handlers and start the thread."""
        self._links.subscribe(messages.RelayRequest, self._handle_request)
        self._links.subscribe(messages.RelayBatch, self._handle_batch)
        self._links.subscribe(messages.RelayHold, self._handle_hold)
        self._membership.subscribe(lambda _: self._mark_duties_outdated())
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return, by kind, readers, sources, and revision and age of the data."""
        now = time.monotonic()
        return {
            kind: {
                "readers": list(follower.relays.duties.readers),
                "sources": list(follower.relays.duties.sources),
                "era": follower.log.era,
                "revision": follower.log.at,
                "held": [change.object.name for change in follower.list_held()],
                "age": round(now - follower.last_answer_at(), 2),
                "is_away": follower.is_away,
            }
            for kind, follower in self._followers.items()
        }

    def add_follower(self, follower: followers.Follower) -> None:
        """Connect a follower to the followers of its kind on other routers."""
        self._followers[follower.kind] = follower

    def set_listed_routers(
        self, listed: Mapping[ids.RouterId, routers.RouterEntry]
    ) -> None:
        """Set the routers that the store lists; some may no longer exist."""
        for router, entry in listed.items():
            if self._membership.find(router) is None:
                self._links.set_address(router, entry.peer_address)
        self._listed = {router: entry.data_centre for router, entry in listed.items()}
        self._is_settled |= not self._has_seeds or len(listed) > 1
        self._mark_duties_outdated()

    def publish(self, kind: str) -> None:
        """Send subscribers new changes, or the news that the store has answered."""
        now = time.monotonic()
        follower = self._followers[kind]
        store_answered_at = follower.last_answer_at()
        with self._lock:
            for (router, subscribed), subscriber in self._subscribers.items():
                if subscribed != kind:
                    continue
                fresher_by = store_answered_at - subscriber.store_answered_at
                if (
                    fresher_by >= relays.FRESHNESS_STEP_SECONDS
                    or follower.log.has_changes_since(subscriber.position)
                ):
                    self._send_batch(router, kind, subscriber, now)

    def record_era(self, era: ids.Era) -> None:
        """Record the era of the store that another router has stated."""
        self._store.record_era(era)

    def send_held(self, kind: str) -> None:
        """Tell sources and subscribers what holds against a restored store.

        Routers that have started since the store made its copy know only the copy.
        """
        follower = self._followers[kind]
        with self._lock:
            receivers = {
                router for router, subscribed in self._subscribers if subscribed == kind
            }
        for router in receivers.union(follower.relays.duties.sources):
            self._send_held(router, follower)

    def _send_held(self, router: ids.RouterId, follower: followers.Follower) -> None:
        held = follower.list_held()
        if held:
            message = messages.RelayHold(
                follower.kind, follower.log.era, encode_changes(held)
            )
            self._links.send(router, message)

    def _send_batch(
        self, router: ids.RouterId, kind: str, subscriber: _Subscriber, now: float
    ) -> None:
        """Send missing changes, or a keepalive; the caller holds the lock."""
        follower = self._followers[kind]
        batch = follower.log.batch_since(subscriber.position)
        if batch is None:
            return
        subscriber.position = storedobjects.Position(batch.era, batch.at)
        subscriber.sent_at = now
        subscriber.store_answered_at = follower.last_answer_at()
        message = messages.RelayBatch(
            kind=kind,
            above=batch.above,
            at=batch.at,
            is_whole=batch.is_whole,
            age=now - subscriber.store_answered_at,
            is_away=follower.is_away,
            body=encode_changes(batch.changes) if batch.changes else b"",
            era=batch.era,
        )
        self._links.send(router, message)

    def _handle_request(
        self,
        peer: ids.RouterId,
        incarnation: ids.Incarnation,
        request: messages.RelayRequest,
    ) -> None:
        follower = self._followers.get(request.kind)
        if follower is None:
            return
        now = time.monotonic()
        # A subscriber of an earlier build gets its batches as before restorations.
        era = request.era or follower.log.era
        self.record_era(era)
        subscriber = _Subscriber(
            incarnation,
            storedobjects.Position(era, request.above),
            now + relays.SUBSCRIPTION_SECONDS,
        )
        with self._lock:
            known = self._subscribers.get((peer, request.kind))
            self._subscribers[peer, request.kind] = subscriber
        if known is None or known.incarnation != incarnation:
            # Before the list, so that the receiver does not act on the copy first.
            self._send_held(peer, follower)
        with self._lock:
            self._send_batch(peer, request.kind, subscriber, now)

    def _handle_batch(
        self, peer: ids.RouterId, _: ids.Incarnation, message: messages.RelayBatch
    ) -> None:
        follower = self._followers.get(message.kind)
        if follower is None:
            return
        era = follower.resolve_era(message.era)
        changes = decode_changes(message.body, era) if message.body else ()
        batch = storelog.Batch(
            message.above, message.at, changes, message.is_whole, era
        )
        has_gap = follower.receive_batch(
            peer, batch, message.age, is_away=message.is_away
        )
        if has_gap and peer in follower.relays.duties.sources:
            self._subscribe(peer, follower, time.monotonic())

    def _handle_hold(
        self, _: ids.RouterId, __: ids.Incarnation, message: messages.RelayHold
    ) -> None:
        follower = self._followers.get(message.kind)
        if follower is None:
            return
        held = decode_changes(message.body, message.era)
        if follower.receive_held(message.era, held):
            self.send_held(message.kind)

    def _subscribe(
        self, source: ids.RouterId, follower: followers.Follower, now: float
    ) -> None:
        self._subscribed_at[source, follower.kind] = now
        era, above = follower.log.position
        self._links.send(source, messages.RelayRequest(follower.kind, above, era))

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            try:
                self._tick(time.monotonic())
            except Exception as error:
                # If this thread ended, the subscribers of this router would all read
                # the store themselves.
                events.log(events.Event.TASK_FAILED, task="relays", error=repr(error))

    def _tick(self, now: float) -> None:
        if self._duties_outdated or self._listed:
            self._duties_outdated = False
            self._update_duties(now)
        for follower in self._followers.values():
            follower.relays.expire_reports(now)
            follower.expire_held(now)
            self._renew_subscriptions(follower, now)
        self._send_keepalives(now)

    def _mark_duties_outdated(self) -> None:
        self._duties_outdated = True

    def _update_duties(self, now: float) -> None:
        """Choose the readers of the store and the relays again."""
        if now >= self._listed_expire_at:
            self._listed = {}
        own = self._identity.router
        duties = relays.choose_duties(
            own, self._list_participants() | {own: self._data_centre}
        )
        for follower in self._followers.values():
            if follower.relays.duties != duties:
                events.log(
                    events.Event.STORE_READERS_CHANGED,
                    kind=follower.kind,
                    readers=list(duties.readers),
                    sources=list(duties.sources),
                )
            follower.relays.set_duties(duties, is_settled=self._is_settled)

    def _list_participants(self) -> dict[ids.RouterId, ids.DataCentreId]:
        """Return the data centres of all routers that are not leaving or dead."""
        participating = (states.MemberState.ALIVE, states.MemberState.SUSPECT)
        found = dict(self._listed)
        for member in self._membership.members():
            if member.state in participating:
                found[member.router] = member.data_centre
            else:
                found.pop(member.router, None)
        return found

    def _renew_subscriptions(self, follower: followers.Follower, now: float) -> None:
        for source in follower.relays.duties.sources:
            subscribed_at = self._subscribed_at.get(
                (source, follower.kind), float("-inf")
            )
            if follower.relays.must_subscribe(source, subscribed_at, now):
                self._subscribe(source, follower, now)

    def _send_keepalives(self, now: float) -> None:
        """Send keepalives to idle subscribers and drop expired subscriptions."""
        with self._lock:
            for key, subscriber in list(self._subscribers.items()):
                if subscriber.expires_at < now:
                    del self._subscribers[key]
                elif now - subscriber.sent_at >= relays.KEEPALIVE_SECONDS:
                    self._send_batch(*key, subscriber, now)


def encode_changes(changes: Iterable[storedobjects.Change]) -> bytes:
    """Encode changes as JSON; contents that can't be encoded become null."""
    encoded = [
        [
            change.object.name,
            change.object.revision,
            change.object.spec,
            change.object.status,
            change.object.is_terminating,
            change.is_deleted,
        ]
        for change in changes
    ]
    try:
        return json.dumps(encoded).encode()
    except untrusted.MALFORMED_ERRORS:
        return json.dumps([_drop_contents(entry) for entry in encoded]).encode()


def decode_changes(body: bytes, era: ids.Era) -> tuple[storedobjects.Change, ...]:
    """Decode changes of an era; raises errors.InputError if they are malformed."""
    with untrusted.decode("batch of changes"):
        return tuple(
            storedobjects.Change(
                storedobjects.StoredObject(
                    name, revision, spec, status, is_terminating, era
                ),
                is_deleted,
            )
            for (
                name,
                revision,
                spec,
                status,
                is_terminating,
                is_deleted,
            ) in untrusted.parse_json(body)
        )


def _drop_contents(encoded: list) -> list:
    """Return an encoded change, without contents that JSON can't hold."""
    try:
        json.dumps(encoded)
    except untrusted.MALFORMED_ERRORS as error:
        name, revision, _, _, *flags = encoded
        events.log(
            events.Event.STORE_OBJECT_IGNORED,
            name=name,
            error=untrusted.describe(error),
        )
        return [name, revision, None, None, *flags]
    return encoded
