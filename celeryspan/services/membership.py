"""The kernel service ``membership``: the routers that currently form the fleet."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Hashable, Iterable

from celeryspan import events, ids, kernel, states
from celeryspan.decisions import membership, membertable, statements
from celeryspan.services import datagrams, identity, links
from celeryspan.wire import messages

TICK_SECONDS = 0.1

DEAD_ANNOUNCEMENTS = 3
"""Times that a stopping router announces its state DEAD: one datagram in a hundred is
lost."""

Handler = Callable[[list[messages.Member]], None]

EVENTS = {
    statements.Change.JOINED: events.Event.MEMBER_JOINED,
    statements.Change.SUSPECTED: events.Event.MEMBER_SUSPECTED,
    statements.Change.LEAVING: events.Event.MEMBER_LEAVING,
    statements.Change.DEAD: events.Event.MEMBER_DEAD,
    statements.Change.LOAD: events.Event.MEMBER_LOAD_CHANGED,
    statements.Change.REFUTED: events.Event.SELF_REFUTED,
    statements.Change.OUTDONE: events.Event.SELF_REFUTED,
}


@kernel.register("membership", needs=("identity", "datagrams", "links"))
class MembershipService:
    """Runs the membership protocol over datagrams, and full exchanges over links."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._identity: identity.IdentityService = container.find("identity")
        self._datagrams: datagrams.DatagramsService = container.find("datagrams")
        self._links: links.LinksService = container.find("links")
        self._settings_seeds = [
            ids.Address.parse(peer) for peer in container.settings.peers
        ]
        self._decision = membership.Membership(
            self._make_own_member(container.settings),
            random.Random(self._identity.incarnation),
        )
        self._decision.set_seeds(self._settings_seeds)
        self._lock = threading.Lock()
        self._alive = self._decision.alive()
        self._changed = False
        self._handlers: list[Handler] = []
        self._generation_handlers: list[Callable[[messages.Member], None]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )

    def start(self) -> None:
        """Start probing, beginning with the seeds."""
        self._datagrams.subscribe(self._handle_frame)
        self._links.subscribe(messages.Member, self._handle_statement)
        self._links.subscribe(messages.MembersRequest, self._answer_request)
        self._thread.start()

    def stop(self) -> None:
        """Stop probing and announce that this router has stopped."""
        self._stopped.set()
        self._thread.join()
        for _ in range(DEAD_ANNOUNCEMENTS):
            with self._lock:
                actions = self._decision.leave(states.MemberState.DEAD)
            self._execute(actions)

    @property
    def incarnation(self) -> ids.Incarnation:
        """The incarnation of this router."""
        return self._identity.incarnation

    def alive(self) -> list[messages.Member]:
        """Return the reachable routers, this one first; some may be leaving."""
        return self._alive

    def find(self, router: ids.RouterId) -> messages.Member | None:
        """Return the member of this name in any state, or None."""
        with self._lock:
            if router == self._identity.router:
                return self._decision.own
            record = self._decision.members.find(router)
            return record.member if record is not None else None

    def members(self) -> list[messages.Member]:
        """Return all members, including those that are leaving or dead."""
        with self._lock:
            return self._decision.list_members()

    def own(self) -> messages.Member:
        """Return the member that describes this router."""
        with self._lock:
            return self._decision.own

    def list_records(self) -> list[membertable.MemberRecord]:
        """Return the records of all other routers, with the times of their changes."""
        with self._lock:
            return self._decision.members.list_all()

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with the reachable routers whenever they change.

        All calls come from one thread, in the order of the changes.
        """
        self._handlers.append(handler)

    def leave(self) -> None:
        """Announce that this router is leaving and takes no new work."""
        with self._lock:
            actions = self._decision.leave(states.MemberState.LEAVING)
            self._alive = self._decision.alive()
            self._changed = True
        self._execute(actions)

    def set_seeds(self, seeds: Iterable[ids.Address]) -> None:
        """Set the seeds from the register, besides those in the settings."""
        with self._lock:
            self._decision.set_seeds([*self._settings_seeds, *seeds])

    def set_generation(
        self,
        generation: ids.Generation,
        era: ids.Era = ids.NO_ERA,
        version: int = 0,
    ) -> None:
        """Set the configuration in force, which each datagram states.

        Parameters
        ----------
        era, version : int
            Era of the platform's store to which the generation belongs, and the version
            that operators gave it; 0 if the store has no eras.
        """
        with self._lock:
            self._decision.set_generation(generation, era, version)

    def set_busy(self, is_busy: bool) -> None:
        """Announce that this router's processor is saturated, or no longer is."""
        with self._lock:
            actions = self._decision.set_busy(is_busy)
            self._process_changes()
        self._execute(actions)

    def announce(self) -> None:
        """Send this router's generation to a few random routers at once."""
        with self._lock:
            actions = self._decision.spread_now()
        self._execute(actions)

    def on_other_generation(self, handler: Callable[[messages.Member], None]) -> None:
        """Call a handler with each router that states another generation in force."""
        self._generation_handlers.append(handler)

    def report(self) -> dict[str, object]:
        """Return each router's state, incarnation and generation, for ``status``."""
        return {
            "incarnation": self._identity.incarnation,
            "members": {
                member.router: {
                    "state": member.state.value,
                    "incarnation": member.incarnation,
                    "generation": member.generation,
                    "caller_address": str(member.caller_address),
                }
                for member in self.members()
            },
        }

    def spread(self, key: Hashable, fact: messages.Message) -> None:
        """Gossip a fact; the first few datagrams are sent at once."""
        with self._lock:
            self._decision.gossip.put(key, fact)
            actions = self._decision.spread_now()
        self._execute(actions)

    def _make_own_member(self, settings: object) -> messages.Member:
        return messages.Member(
            router=self._identity.router,
            incarnation=self._identity.incarnation,
            state=states.MemberState.ALIVE,
            data_centre=ids.DataCentreId(settings.data_centre),
            caller_address=ids.Address.parse(settings.caller_address),
            peer_address=ids.Address.parse(settings.peer_address),
            generation=ids.Generation(0),
            refutations=0,
            cores=getattr(settings, "cores", 1.0),
        )

    def _run(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            with self._lock:
                actions = self._decision.tick(time.monotonic())
                self._process_changes()
            self._execute(actions)
            self._call_handlers()

    def _handle_frame(self, frame: messages.Frame, source: ids.Address) -> None:
        with self._lock:
            actions = self._decision.receive(
                time.monotonic(), frame.sender, source, frame.messages
            )
            self._process_changes()
            own = self._decision.own
        self._execute(actions)
        for message in frame.messages:
            if isinstance(message, messages.Member) and message.router == frame.sender:
                if (message.era, message.generation) != (own.era, own.generation):
                    for handler in self._generation_handlers:
                        handler(message)

    def _handle_statement(
        self, peer: ids.RouterId, _: ids.Incarnation, message: messages.Member
    ) -> None:
        with self._lock:
            actions = self._decision.handle_statement(
                message, time.monotonic(), peer, spread=False
            )
            self._process_changes()
        self._execute(actions)

    def _answer_request(
        self, peer: ids.RouterId, _: ids.Incarnation, __: messages.MembersRequest
    ) -> None:
        for member in self.members():
            self._links.send(peer, member)

    def _execute(self, actions: list[statements.Action]) -> None:
        for action in actions:
            if isinstance(action, statements.Send):
                self._datagrams.send(action.address, action.batch)
                continue
            self._links.send(action.peer, messages.MembersRequest())
            for member in self.members():
                self._links.send(action.peer, member)

    def _process_changes(self) -> None:
        """Process the recorded changes; the caller holds the lock."""
        if not self._decision.changes:
            return
        for change, member in self._decision.changes:
            self._record_change(change, member)
        self._decision.changes.clear()
        self._alive = self._decision.alive()
        self._changed = True

    def _record_change(
        self, change: statements.Change, member: messages.Member
    ) -> None:
        if change is statements.Change.OUTDONE:
            self._identity.raise_incarnation(ids.Incarnation(member.incarnation - 1))
        elif change is statements.Change.DEAD:
            self._links.forget(member.router)
        elif member.router != self._identity.router:
            self._links.set_address(member.router, member.peer_address)
        events.log(
            EVENTS[change],
            router=member.router,
            incarnation=member.incarnation,
            is_busy=member.is_busy,
        )

    def _call_handlers(self) -> None:
        if not self._changed:
            return
        self._changed = False
        for handler in self._handlers:
            try:
                handler(self._alive)
            except Exception as error:
                events.log(
                    events.Event.TASK_FAILED,
                    task="membership handler",
                    error=repr(error),
                )
