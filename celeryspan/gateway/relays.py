"""The kernel service ``relays``: what the store says, passed between routers.

A router asks its sources, again every few seconds; they tell it what changes, and how
old their knowledge is. Who is a source of whom is worked out anew when the membership
changes; a router that has just started goes by the store's list of routers until it
has met the others.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

import msgspec

from celeryspan import events, ids, kernel, states, storedobjects
from celeryspan.decisions import relays, storelog
from celeryspan.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from celeryspan.gateway import followers
    from celeryspan.platform import routers
    from celeryspan.services import identity, links, membership

TICK_SECONDS = 0.2

LISTED_SECONDS = 4.0
"""How long after its start a router also counts those that the store lists: by then it
has met those that live."""


class _Listener(msgspec.Struct):
    """A router that is told news of one kind.

    Attributes
    ----------
    above : int
        Revision up to which it was told.
    until, told_at : float
        When it is no longer told unless it asks again; the last word to it.
    answered_at : float
        The last answer of the store that it was told of.
    """

    above: int
    until: float
    told_at: float = float("-inf")
    answered_at: float = float("-inf")


@kernel.register("relays", needs=("identity", "links", "membership"))
class RelayService:
    """Tells and hears what the store says."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = box.find("identity")
        self._links: links.LinksService = box.find("links")
        self._membership: membership.MembershipService = box.find("membership")
        self._data_centre = ids.DataCentreId(box.settings.data_centre)
        own_address = box.settings.peer_address
        self._has_seeds = any(peer != own_address for peer in box.settings.peers)
        self._listed: dict[ids.RouterId, ids.DataCentreId] = {}
        self._is_settled = False
        self._listed_until = time.monotonic() + LISTED_SECONDS
        self._is_changed = True
        self._followers: dict[str, followers.Follower] = {}
        self._listeners: dict[tuple[ids.RouterId, str], _Listener] = {}
        self._asked_at: dict[tuple[ids.RouterId, str], float] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relays", daemon=True)

    def start(self) -> None:
        """Begin to ask and to tell."""
        self._links.subscribe(messages.RelayRequest, self._take_request)
        self._links.subscribe(messages.RelayBatch, self._take_batch)
        self._membership.subscribe(lambda _: self._note_change())
        self._thread.start()

    def stop(self) -> None:
        """Stop asking and telling."""
        self._stopped.set()
        self._thread.join()

    def report(self) -> dict[str, object]:
        """Return who reads the store for this router, and the age of what is known."""
        now = time.monotonic()
        return {
            kind: {
                "readers": list(follower.relays.duties.readers),
                "sources": list(follower.relays.duties.sources),
                "revision": follower.log.at,
                "age": round(now - follower.last_answer_at(), 2),
                "is_away": follower.is_away,
            }
            for kind, follower in self._followers.items()
        }

    def join(self, follower: followers.Follower) -> None:
        """Pass on what a follower takes in, and tell it what others know."""
        self._followers[follower.kind] = follower

    def note_listed(self, listed: Mapping[ids.RouterId, routers.RouterEntry]) -> None:
        """Take in the routers that the store lists, which may long be gone."""
        for router, entry in listed.items():
            if self._membership.find(router) is None:
                self._links.learn(router, entry.peer_address)
        self._listed = {router: entry.data_centre for router, entry in listed.items()}
        self._is_settled |= not self._has_seeds or len(listed) > 1
        self._note_change()

    def publish(self, kind: str) -> None:
        """Tell those who listen what is new, or that the store has answered."""
        now = time.monotonic()
        follower = self._followers[kind]
        answered_at = follower.last_answer_at()
        with self._lock:
            for (router, listened), listener in self._listeners.items():
                if listened != kind:
                    continue
                fresher = answered_at - listener.answered_at
                if (
                    fresher >= relays.FRESHNESS_STEP_SECONDS
                    or follower.log.has_changes_since(listener.above)
                ):
                    self._tell(router, kind, listener, now)

    def _tell(
        self, router: ids.RouterId, kind: str, listener: _Listener, now: float
    ) -> None:
        """Send what a listener lacks, or a word of life; the caller holds the lock."""
        follower = self._followers[kind]
        batch = follower.log.batch_since(listener.above)
        if batch is None:
            return
        listener.above, listener.told_at = batch.at, now
        listener.answered_at = follower.last_answer_at()
        message = messages.RelayBatch(
            kind=kind,
            above=batch.above,
            at=batch.at,
            is_whole=batch.is_whole,
            age=now - listener.answered_at,
            is_away=follower.is_away,
            body=pack(batch.changes) if batch.changes else b"",
        )
        self._links.send(router, message)

    def _take_request(
        self, peer: ids.RouterId, _: ids.Incarnation, request: messages.RelayRequest
    ) -> None:
        if request.kind not in self._followers:
            return
        now = time.monotonic()
        listener = _Listener(request.above, now + relays.SUBSCRIPTION_SECONDS)
        with self._lock:
            self._listeners[peer, request.kind] = listener
            self._tell(peer, request.kind, listener, now)

    def _take_batch(
        self, peer: ids.RouterId, _: ids.Incarnation, message: messages.RelayBatch
    ) -> None:
        follower = self._followers.get(message.kind)
        if follower is None:
            return
        changes = unpack(message.body) if message.body else ()
        batch = storelog.Batch(message.above, message.at, changes, message.is_whole)
        lacks = follower.receive_batch(
            peer, batch, message.age, is_away=message.is_away
        )
        if lacks and peer in follower.relays.duties.sources:
            self._ask(peer, follower, time.monotonic())

    def _ask(
        self, source: ids.RouterId, follower: followers.Follower, now: float
    ) -> None:
        self._asked_at[source, follower.kind] = now
        above = follower.log.at or 0
        self._links.send(source, messages.RelayRequest(follower.kind, above))

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            try:
                self._tick(time.monotonic())
            except Exception as error:
                # Without this task the others beside this router would all read the
                # store themselves.
                events.log(events.Event.TASK_FAILED, task="relays", error=repr(error))

    def _tick(self, now: float) -> None:
        if self._is_changed or self._listed:
            self._is_changed = False
            self._divide(now)
        for follower in self._followers.values():
            follower.relays.expire_reports(now)
            self._ask_again(follower, now)
        self._tell_again(now)

    def _note_change(self) -> None:
        self._is_changed = True

    def _divide(self, now: float) -> None:
        """Work out who reads the store and who relays."""
        if now >= self._listed_until:
            self._listed = {}
        own = self._identity.router
        duties = relays.choose_duties(
            own, self._list_staying() | {own: self._data_centre}
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

    def _list_staying(self) -> dict[ids.RouterId, ids.DataCentreId]:
        """Return the routers that take part and stay, or may, and where they are."""
        staying = (states.MemberState.ALIVE, states.MemberState.SUSPECT)
        found = dict(self._listed)
        for member in self._membership.members():
            if member.state in staying:
                found[member.router] = member.data_centre
            else:
                found.pop(member.router, None)
        return found

    def _ask_again(self, follower: followers.Follower, now: float) -> None:
        for source in follower.relays.duties.sources:
            asked_at = self._asked_at.get((source, follower.kind), float("-inf"))
            if follower.relays.must_subscribe(source, asked_at, now):
                self._ask(source, follower, now)

    def _tell_again(self, now: float) -> None:
        """Tell those who have heard nothing for a while; forget who does not ask."""
        with self._lock:
            for key, listener in list(self._listeners.items()):
                if listener.until < now:
                    del self._listeners[key]
                elif now - listener.told_at >= relays.KEEPALIVE_SECONDS:
                    self._tell(*key, listener, now)


def pack(changes: Iterable[storedobjects.Change]) -> bytes:
    """Return the bytes of changes."""
    return json.dumps(
        [
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
    ).encode()


def unpack(body: bytes) -> tuple[storedobjects.Change, ...]:
    """Return the changes out of bytes; raises ValueError."""
    return tuple(
        storedobjects.Change(
            storedobjects.StoredObject(name, revision, spec, status, is_terminating),
            is_deleted,
        )
        for name, revision, spec, status, is_terminating, is_deleted in json.loads(body)
    )
