"""What a router takes from statements about routers, and what it answers to them.

Failure answered: statements contradict each other, some are about this router itself,
and some come from a router that is held dead or of an old life. Without this module a
router that is well stays dead for the fleet, and a cut that heals spreads deaths.
The reasons stand in :mod:`celeryspan.decisions.membership`, which probes.
"""

from __future__ import annotations

import enum
import math
import random

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import beliefs, gossip
from celeryspan.wire import messages

EXCHANGE_SECONDS = 1.25
"""Least time between two exchanges that this router asks for: 1,300 members are about
70 KB, and only a healed cut needs several in a row."""

HEAL_SECONDS = 30.0
"""After meeting a router across a healed cut, any difference of digests is worth an
exchange for this long: hundreds of refutations are more than gossip carries."""

URGENT_TARGETS = 3
"""Routers told at once of a fact that can't wait for the next probe."""


class Change(enum.Enum):
    """What has changed about a member."""

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
    """Exchange all beliefs with a peer over a link."""

    peer: ids.RouterId


Action = Send | Exchange


class Statements:
    """The statements that one router holds, its own among them.

    Parameters
    ----------
    own : Member
        This router, alive.
    generator : random.Random
        Draws whom to tell.

    Attributes
    ----------
    changes : list
        What has changed, for the caller to take out.
    """

    def __init__(self, own: messages.Member, generator: random.Random) -> None:
        self.own = own
        self.gossip = gossip.Gossip()
        self.beliefs = beliefs.Beliefs()
        self.changes: list[tuple[Change, messages.Member]] = []
        self._generator = generator
        self._exchange_at = -math.inf
        self._heals_until = -math.inf

    def set_generation(self, generation: ids.Generation) -> None:
        """Set the generation that this router has in force."""
        self.own = msgspec.structs.replace(self.own, generation=generation)

    def set_busy(self, is_busy: bool) -> list[Action]:
        """Say that this router's processor has no time left, or has some again."""
        self.own = msgspec.structs.replace(
            self.own, is_busy=is_busy, refutations=self.own.refutations + 1
        )
        self.changes.append((Change.LOAD, self.own))
        self.gossip.put(self.own.router, self.own)
        return self.spread_now()

    def alive(self) -> list[messages.Member]:
        """Return the routers that run, this one first; some may be leaving."""
        return [self.own, *self.beliefs.select(*beliefs.REACHABLE)]

    def statements(self) -> list[messages.Member]:
        """Return all beliefs, for an exchange."""
        return [self.own, *self.beliefs.select()]

    def leave(self, state: states.MemberState) -> list[Action]:
        """Say that this router is leaving, or is gone (``DEAD``)."""
        self.own = msgspec.structs.replace(
            self.own, state=state, refutations=self.own.refutations + 1
        )
        return self.spread_now()

    def spread_now(self) -> list[Action]:
        """Tell a few random routers the newest facts at once."""
        others = self._present()
        targets = self._generator.sample(others, min(URGENT_TARGETS, len(others)))
        return [self._send(target) for target in targets]

    def learn(
        self,
        member: messages.Member,
        now: float,
        sender: ids.RouterId,
        *,
        spread: bool = True,
    ) -> list[Action]:
        """Take one statement about a member.

        Parameters
        ----------
        spread : bool
            Whether to pass on what is new; not after an exchange, in which a router
            that joins hears of the whole fleet.
        """
        if member.router == self.own.router:
            return self._hear_of_self(member, now, sender)
        known = self.beliefs.find(member.router)
        before = known.member if known is not None else None
        member = self._doubt(before, member, sender)
        alone = not len(self.beliefs)
        if not self.beliefs.merge(member, now):
            return self._correct(before, member, now, sender)
        if spread:
            self.gossip.put(member.router, member)
        self._note_change(before, member)
        if alone:
            return self._exchange(now, sender)
        if spread and member.state is states.MemberState.LEAVING:
            return self.spread_now()
        return []

    def _present(self) -> list[messages.Member]:
        return self.beliefs.select(*beliefs.PRESENT)

    def _list_reachable(self) -> list[messages.Member]:
        return self.beliefs.select(*beliefs.REACHABLE)

    def _doubt(
        self,
        before: messages.Member | None,
        member: messages.Member,
        sender: ids.RouterId,
    ) -> messages.Member:
        """Take the death of a router that seems well for a suspicion only.

        When a cut heals, each half tells the other that its members are dead. Were
        that believed at once, a whole fleet that is well would hold itself dead until
        each refutation has arrived; a suspected router takes part meanwhile.
        """
        if before is None or member.state is not states.MemberState.DEAD:
            return member
        if before.state is not states.MemberState.ALIVE or sender == self.own.router:
            return member
        if beliefs.rank(member)[:2] != beliefs.rank(before)[:2]:
            return member
        return msgspec.structs.replace(member, state=states.MemberState.SUSPECT)

    def _hear_of_self(
        self, member: messages.Member, now: float, sender: ids.RouterId
    ) -> list[Action]:
        """Refute what others say of this router if it would win over its own word."""
        if beliefs.rank(member) <= beliefs.rank(self.own):
            return []
        if member.state is states.MemberState.DEAD:
            self._heals_until = now + HEAL_SECONDS
        if member.incarnation > self.own.incarnation:
            return self._hear_of_successor(member)
        refutations = member.refutations + 1
        self.own = msgspec.structs.replace(self.own, refutations=refutations)
        self.changes.append((Change.REFUTED, self.own))
        self.gossip.put(self.own.router, self.own)
        known = self.beliefs.find(sender)
        answers = [self._send(known.member)] if known is not None else []
        return answers + self.spread_now()

    def _hear_of_successor(self, member: messages.Member) -> list[Action]:
        """Outdo a later life of this router, or give way to it.

        At the same address there is no other: the clock was set back between two
        lives. Elsewhere another VM has taken the name while this one was paused or
        cut off; were it outdone, the two would outdo each other for ever.
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

    def _correct(
        self,
        known: messages.Member | None,
        member: messages.Member,
        now: float,
        sender: ids.RouterId,
    ) -> list[Action]:
        """Tell a router that speaks, but is held dead or of an old life, so."""
        if known is None or known.router != sender:
            return []
        if known.state is states.MemberState.DEAD:
            self._heals_until = now + HEAL_SECONDS
            return [self._send(known), *self._exchange(now, sender)]
        if known.incarnation > member.incarnation:
            return [self._send_to(member.peer_address, None, known)]
        return []

    def _exchange(self, now: float, peer: ids.RouterId) -> list[Action]:
        if now < self._exchange_at or peer == self.own.router:
            return []
        self._exchange_at = now + EXCHANGE_SECONDS * self._generator.uniform(1.0, 2.0)
        return [Exchange(peer)]

    def _note_change(
        self, before: messages.Member | None, member: messages.Member
    ) -> None:
        renewed = before is None or before.incarnation < member.incarnation
        was = None if renewed else before.state
        if member.state is states.MemberState.ALIVE:
            if was in (None, states.MemberState.DEAD, states.MemberState.LEAVING):
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
        """Make a datagram: this router, what is held of the receiver, and news."""
        batch: list[messages.Message] = [self.own]
        if member is not None and member.state is not states.MemberState.ALIVE:
            batch.append(member)
        batch += extra
        batch += self.gossip.take(len(self.beliefs) + 1)
        return Send(address, tuple(batch))
