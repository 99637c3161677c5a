"""Handling of statements: the member states that routers report about each other.

Statements can contradict each other, concern this router itself, or come from a router
that is considered dead or has an old incarnation. Without these rules a healthy router
would stay dead for the fleet, and a healed network partition would spread false deaths.
:mod:`celeryspan.decisions.membership` describes the protocol and sends the probes.
"""

from __future__ import annotations

import enum
import math
import random

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import gossip, membertable
from celeryspan.wire import messages

EXCHANGE_SECONDS = 1.25
"""Minimum time between two exchanges that this router requests: 1,300 members are about
70 KB, and only a healed partition needs several in a row."""

RESYNC_SECONDS = 30.0
"""After contact across a healed partition, any digest mismatch triggers an exchange for
this long: gossip does not carry hundreds of refutations."""

URGENT_FANOUT = 3
"""Routers that receive an urgent fact at once instead of with the next probe."""


class Change(enum.Enum):
    """Kind of change of a member."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"
    LOAD = "load"
    REFUTED = "refuted"
    OUTDONE = "outdone"


class Send(msgspec.Struct, frozen=True):
    """Send a datagram."""

    address: ids.Address
    batch: tuple[messages.Message, ...]


class Exchange(msgspec.Struct, frozen=True):
    """Exchange the whole member table with a peer over a link."""

    peer: ids.RouterId


Action = Send | Exchange


class Statements:
    """The statements that one router holds, including the one about itself.

    Parameters
    ----------
    own : Member
        This router, alive.
    generator : random.Random
        Selects the routers that receive urgent facts.

    Attributes
    ----------
    changes : list
        Changes of members; the caller processes and clears them.
    """

    def __init__(self, own: messages.Member, generator: random.Random) -> None:
        self.own = own
        self.gossip = gossip.Gossip()
        self.members = membertable.MemberTable()
        self.changes: list[tuple[Change, messages.Member]] = []
        self._generator = generator
        self._exchange_at = -math.inf
        self._resync_until = -math.inf

    def set_generation(
        self,
        generation: ids.Generation,
        era: ids.Era = ids.NO_ERA,
        version: int = 0,
    ) -> None:
        """Set the configuration that this router applies."""
        self.own = msgspec.structs.replace(
            self.own, generation=generation, era=era, version=version
        )

    def set_busy(self, is_busy: bool) -> list[Action]:
        """Announce that this router's processor is saturated, or no longer is."""
        self.own = msgspec.structs.replace(
            self.own, is_busy=is_busy, refutations=self.own.refutations + 1
        )
        self.changes.append((Change.LOAD, self.own))
        self.gossip.put(self.own.router, self.own)
        return self.spread_now()

    def alive(self) -> list[messages.Member]:
        """Return the reachable routers, this one first; some may be leaving."""
        return [self.own, *self.members.select(*membertable.REACHABLE)]

    def list_members(self) -> list[messages.Member]:
        """Return all members in any state, for an exchange."""
        return [self.own, *self.members.select()]

    def leave(self, state: states.MemberState) -> list[Action]:
        """Announce that this router is leaving, or has stopped (``DEAD``)."""
        self.own = msgspec.structs.replace(
            self.own, state=state, refutations=self.own.refutations + 1
        )
        return self.spread_now()

    def spread_now(self) -> list[Action]:
        """Send the newest facts to a few random routers at once."""
        others = self._list_present()
        targets = self._generator.sample(others, min(URGENT_FANOUT, len(others)))
        return [self._send(target) for target in targets]

    def handle_statement(
        self,
        member: messages.Member,
        now: float,
        sender: ids.RouterId,
        *,
        spread: bool = True,
    ) -> list[Action]:
        """Process one statement about a member.

        Parameters
        ----------
        spread : bool
            Whether to gossip a statement that is new. False for exchanges, in which a
            joining router receives the whole fleet.
        """
        if member.router == self.own.router:
            return self._handle_own_statement(member, now, sender)
        known = self.members.find(member.router)
        before = known.member if known is not None else None
        member = self._downgrade_dead(before, member, sender)
        alone = not len(self.members)
        if not self.members.merge(member, now):
            return self._reply_to_stale_sender(before, member, now, sender)
        if spread:
            self.gossip.put(member.router, member)
        self._record_change(before, member)
        if alone:
            return self._exchange(now, sender)
        if spread and member.state is states.MemberState.LEAVING:
            return self.spread_now()
        return []

    def _list_present(self) -> list[messages.Member]:
        return self.members.select(*membertable.PRESENT)

    def _list_reachable(self) -> list[messages.Member]:
        return self.members.select(*membertable.REACHABLE)

    def _downgrade_dead(
        self,
        before: messages.Member | None,
        member: messages.Member,
        sender: ids.RouterId,
    ) -> messages.Member:
        """Treat a reported death of a router that is alive here as a suspicion.

        When a partition heals, each half reports the members of the other half as
        dead. Accepting that at once would make a healthy fleet consider itself dead
        until every refutation has arrived; a suspected router still takes part.
        """
        if before is None or member.state is not states.MemberState.DEAD:
            return member
        if before.state is not states.MemberState.ALIVE or sender == self.own.router:
            return member
        if membertable.rank(member)[:2] != membertable.rank(before)[:2]:
            return member
        return msgspec.structs.replace(member, state=states.MemberState.SUSPECT)

    def _handle_own_statement(
        self, member: messages.Member, now: float, sender: ids.RouterId
    ) -> list[Action]:
        """Refute a statement about this router that would override its own."""
        if membertable.rank(member) <= membertable.rank(self.own):
            return []
        if member.state is states.MemberState.DEAD:
            self._resync_until = now + RESYNC_SECONDS
        if member.incarnation > self.own.incarnation:
            return self._handle_newer_incarnation(member)
        refutations = member.refutations + 1
        self.own = msgspec.structs.replace(self.own, refutations=refutations)
        self.changes.append((Change.REFUTED, self.own))
        self.gossip.put(self.own.router, self.own)
        known = self.members.find(sender)
        answers = [self._send(known.member)] if known is not None else []
        return answers + self.spread_now()

    def _handle_newer_incarnation(self, member: messages.Member) -> list[Action]:
        """Exceed a newer incarnation of this router's name, or leave in its favour.

        At the same address it is this router itself, whose clock was set back before
        it restarted. At another address a VM has taken the name while this one was
        paused or partitioned; exceeding that one would make the two raise their
        incarnations in turn without end.
        """
        if member.peer_address == self.own.peer_address:
            incarnation = ids.Incarnation(member.incarnation + 1)
            self.own = msgspec.structs.replace(self.own, incarnation=incarnation)
            self.changes.append((Change.OUTDONE, self.own))
            self.gossip.put(self.own.router, self.own)
            return self.spread_now()
        if self.own.state is states.MemberState.ALIVE:
            self.own = msgspec.structs.replace(
                self.own, state=states.MemberState.LEAVING
            )
            self.changes.append((Change.LEAVING, self.own))
        return []

    def _reply_to_stale_sender(
        self,
        known: messages.Member | None,
        member: messages.Member,
        now: float,
        sender: ids.RouterId,
    ) -> list[Action]:
        """Notify a sender that is considered dead or has an old incarnation."""
        if known is None or known.router != sender:
            return []
        if known.state is states.MemberState.DEAD:
            self._resync_until = now + RESYNC_SECONDS
            return [self._send(known), *self._exchange(now, sender)]
        if known.incarnation > member.incarnation:
            return [self._send_to(member.peer_address, None, known)]
        return []

    def _exchange(self, now: float, peer: ids.RouterId) -> list[Action]:
        if now < self._exchange_at or peer == self.own.router:
            return []
        self._exchange_at = now + EXCHANGE_SECONDS * self._generator.uniform(1.0, 2.0)
        return [Exchange(peer)]

    def _record_change(
        self, before: messages.Member | None, member: messages.Member
    ) -> None:
        restarted = before is None or before.incarnation < member.incarnation
        previous = None if restarted else before.state
        if member.state is states.MemberState.ALIVE:
            if previous in (None, states.MemberState.DEAD, states.MemberState.LEAVING):
                self.changes.append((Change.JOINED, member))
            elif before is not None and before.is_busy is not member.is_busy:
                self.changes.append((Change.LOAD, member))
        elif member.state is states.MemberState.SUSPECT:
            self.changes.append((Change.SUSPECTED, member))
        elif member.state is states.MemberState.LEAVING:
            self.changes.append((Change.LEAVING, member))
        elif before is not None and before.state is not states.MemberState.DEAD:
            self.changes.append((Change.DEAD, member))

    def _send(self, member: messages.Member, *extra: messages.Message) -> Send:
        return self._send_to(member.peer_address, member, *extra)

    def _send_to(
        self,
        address: ids.Address,
        member: messages.Member | None,
        *extra: messages.Message,
    ) -> Send:
        """Build a datagram: own state, receiver's state unless alive, and gossip."""
        batch: list[messages.Message] = [self.own]
        if member is not None and member.state is not states.MemberState.ALIVE:
            batch.append(member)
        batch += extra
        batch += self.gossip.take(len(self.members) + 1)
        return Send(address, tuple(batch))
