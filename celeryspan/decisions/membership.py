"""Which routers take part, found out by random probes and told by gossip.

Failure answered: a router dies, pauses, is cut off or restarts, and nobody says so.
Without this module its share of the backend servers' slots idles and callers are sent
to a dead address. Heartbeats from all to all would cost 1,300 messages a period at
each router; here each router probes one other a period, so that its cost is the same
in a fleet of any size (the SWIM protocol of Das, Gupta and Motivala, 2002, with the
incarnation of each router taken from its clock and a separate count of refutations).

* A suspected router takes part until the suspicion is old. It hears of it on any
  datagram that it is sent, and refutes by raising its count of refutations.
* A router that was paused finds that its own clock jumped: it throws away the probes
  that were under way, since their answers were not read, and learns from the first
  answer that it was held dead; the refutation brings it back.
* Dead routers are probed at a slow rate. When a cut heals, the first datagram across
  it starts an exchange of all beliefs, and the refutations go through both halves.

Grounds of the figures stand beside them; measured by ``make bench NAME=fleet``.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from collections.abc import Iterable

from celeryspan import ids, states
from celeryspan.decisions import beliefs, gossip, probing
from celeryspan.wire import messages

SUSPECT_SECONDS = 1.5
"""Time to refute, beside the term for the spread of the suspicion."""

SUSPECT_SECONDS_PER_DOUBLING = 0.3
"""A fact reaches twice as many routers in about 0.15 s; there and back is twice."""

PAUSE_SECONDS = 1.0
"""A gap between two ticks from which this router holds itself for paused."""

RECONTACT_SECONDS = 2.0
"""Time between two probes of routers that are dead or were never heard."""

FORGET_SECONDS = 3_600.0
"""A dead router is forgotten after this long; regions lose each other for minutes, and
the register still names it."""

EXCHANGE_SECONDS = 1.25
"""Least time between two exchanges that this router asks for: 1,300 members are about
70 KB, and only a healed cut needs several in a row."""

DIFFERENCE_SECONDS = 10.0
"""Digests that differ this long are no change on its way but a lost one."""

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
    REFUTED = "refuted"
    OUTDONE = "outdone"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: ids.Address
    batch: tuple[messages.Message, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Exchange all beliefs with a peer over a link."""

    peer: ids.RouterId


Action = Send | Exchange


class Membership:
    """The membership as one router sees it.

    Call :meth:`tick` about ten times a second and :meth:`receive` for each datagram;
    carry out the actions that they return.

    Parameters
    ----------
    own : Member
        This router, alive.
    generator : random.Random
        Draws whom to probe.

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
        self._probing = probing.Probing(generator)
        self._seeds: tuple[ids.Address, ...] = ()
        self._ticked_at = self._probe_at = -math.inf
        self._recontact_at = self._exchange_at = -math.inf
        self._differs_since = math.inf
        self._heals_until = -math.inf

    def set_seeds(self, seeds: Iterable[ids.Address]) -> None:
        """Set the addresses at which routers should exist."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.peer_address)

    def set_generation(self, generation: ids.Generation) -> None:
        """Set the generation that this router has in force."""
        self.own = dataclasses.replace(self.own, generation=generation)

    def alive(self) -> list[messages.Member]:
        """Return the routers that run, this one first; some may be leaving."""
        return [self.own, *self.beliefs.select(*beliefs.REACHABLE)]

    def statements(self) -> list[messages.Member]:
        """Return all beliefs, for an exchange."""
        return [self.own, *self.beliefs.select()]

    def leave(self, state: states.MemberState) -> list[Action]:
        """Say that this router is leaving, or is gone (``DEAD``)."""
        self.own = dataclasses.replace(
            self.own, state=state, refutations=self.own.refutations + 1
        )
        return self.spread_now()

    def spread_now(self) -> list[Action]:
        """Tell a few random routers the newest facts at once."""
        others = self._present()
        targets = self._generator.sample(others, min(URGENT_TARGETS, len(others)))
        return [self._send(target) for target in targets]

    def tick(self, now: float) -> list[Action]:
        """Return what is due: probes, help for them, suspicions that are old."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if PAUSE_SECONDS < gap < math.inf:
            self._wake(gap)
        actions = self._follow_probes(now)
        self._end_suspicions(now)
        if now >= self._probe_at:
            self._probe_at = now + probing.PERIOD_SECONDS
            actions += self._probe_next(now)
        if now >= self._recontact_at:
            self._recontact_at = now + RECONTACT_SECONDS
            actions += self._recontact(now)
        return actions

    def receive(
        self,
        now: float,
        sender: ids.RouterId,
        address: ids.Address,
        batch: Iterable[messages.Message],
    ) -> list[Action]:
        """Take a datagram of a peer and return the answers.

        Parameters
        ----------
        address : Address
            Where the datagram came from.
        """
        actions: list[Action] = []
        for message in batch:
            match message:
                case messages.Member():
                    actions += self.learn(message, now, sender)
                case messages.Probe():
                    actions += self._answer(message, now, sender, address)
                case messages.ProbeRequest():
                    actions += self._help(message, now, address)
                case messages.Ack():
                    actions += self._take_ack(message)
        return actions

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
        return dataclasses.replace(member, state=states.MemberState.SUSPECT)

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
        self.own = dataclasses.replace(self.own, refutations=refutations)
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
            self.own = dataclasses.replace(self.own, incarnation=incarnation)
            self.changes.append((Change.OUTDONE, self.own))
            self.gossip.put(self.own.router, self.own)
            return self.spread_now()
        if self.own.state is states.MemberState.ALIVE:
            self.own = dataclasses.replace(self.own, state=states.MemberState.LEAVING)
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
        elif member.state is states.MemberState.SUSPECT:
            self.changes.append((Change.SUSPECTED, member))
        elif member.state is states.MemberState.LEAVING:
            self.changes.append((Change.LEAVING, member))
        elif before is not None and before.state is not states.MemberState.DEAD:
            self.changes.append((Change.DEAD, member))

    def _wake(self, gap: float) -> None:
        """Allow for a pause of this router itself.

        While it was paused, answers to its probes were not read and refutations were
        not heard. Without this it would suspect, or bury, routers that are well.
        """
        self._probing.clear()
        for member in self.beliefs.select(states.MemberState.SUSPECT):
            self.beliefs.find(member.router).since += gap

    def _follow_probes(self, now: float) -> list[Action]:
        actions: list[Action] = []
        overdue = self._probing.collect(now)
        for sequence, target in overdue.unanswered:
            actions += self._ask_help(sequence, target)
        for target in overdue.failed:
            actions += self._suspect(target, now)
        return actions

    def _ask_help(self, sequence: int, target: messages.Member) -> list[Action]:
        actions = [self._send(target, self._make_probe(sequence))]
        others = [other for other in self._present() if other.router != target.router]
        request = messages.ProbeRequest(sequence, target.router)
        helpers = self._generator.sample(others, min(probing.HELPERS, len(others)))
        return actions + [self._send(helper, request) for helper in helpers]

    def _suspect(self, target: messages.Member, now: float) -> list[Action]:
        """Suspect a member, unless something newer is known of it, and tell it so.

        One that was leaving is held dead at once: nobody waits for its return.
        """
        known = self.beliefs.find(target.router)
        if known is None or beliefs.rank(known.member) != beliefs.rank(target):
            return []
        if target.state is states.MemberState.SUSPECT:
            return []
        leaving = target.state is states.MemberState.LEAVING
        state = states.MemberState.DEAD if leaving else states.MemberState.SUSPECT
        doubted = dataclasses.replace(target, state=state)
        self.learn(doubted, now, self.own.router)
        return [self._send(doubted)]

    def _end_suspicions(self, now: float) -> None:
        """Declare dead whom nobody has heard; forget those gone for long."""
        limit = suspicion_seconds(len(self.beliefs))
        for member in self.beliefs.select(states.MemberState.SUSPECT):
            if now - self.beliefs.find(member.router).since >= limit:
                dead = dataclasses.replace(member, state=states.MemberState.DEAD)
                self.learn(dead, now, self.own.router)
        for member in self.beliefs.select(states.MemberState.DEAD):
            if now - self.beliefs.find(member.router).since >= FORGET_SECONDS:
                self.beliefs.forget(member.router)

    def _probe_next(self, now: float) -> list[Action]:
        for _ in range(len(self.beliefs)):
            router = self._probing.choose(self._list_reachable)
            belief = self.beliefs.find(router) if router is not None else None
            if belief is not None and belief.member.state in beliefs.REACHABLE:
                sequence = self._probing.begin(belief.member, now)
                return [self._send(belief.member, self._make_probe(sequence))]
        return []

    def _recontact(self, now: float) -> list[Action]:
        """Probe one router that is dead, or an address where none is known."""
        known = {member.peer_address for member in self._list_reachable()}
        lost = [
            member.peer_address
            for member in self.beliefs.select(states.MemberState.DEAD)
            if member.peer_address not in known
        ]
        lost += [seed for seed in self._seeds if seed not in known]
        if not lost:
            return []
        address = self._generator.choice(lost)
        probe = self._make_probe(self._probing.begin(None, now))
        return [self._send_to(address, None, probe)]

    def _make_probe(self, sequence: int) -> messages.Probe:
        return messages.Probe(sequence, self._digest())

    def _digest(self) -> int:
        return self.beliefs.digest ^ beliefs.hash_member(self.own)

    def _answer(
        self,
        probe: messages.Probe,
        now: float,
        sender: ids.RouterId,
        address: ids.Address,
    ) -> list[Action]:
        known = self.beliefs.find(sender)
        ack = messages.Ack(probe.sequence, self.own.router)
        answer = self._send_to(address, known and known.member, ack)
        return [answer, *self._compare(probe.digest, now, sender)]

    def _compare(self, digest: int, now: float, sender: ids.RouterId) -> list[Action]:
        """Ask for an exchange when beliefs differ for longer than news travel."""
        if digest == self._digest():
            self._differs_since = math.inf
            return []
        self._differs_since = min(self._differs_since, now)
        lasts = now - self._differs_since >= DIFFERENCE_SECONDS
        if not lasts and now >= self._heals_until:
            return []
        return self._exchange(now, sender)

    def _help(
        self, request: messages.ProbeRequest, now: float, asker: ids.Address
    ) -> list[Action]:
        known = self.beliefs.find(request.target)
        if known is None:
            return []
        sequence = self._probing.begin_relay(
            asker, request.sequence, request.target, now
        )
        return [self._send(known.member, self._make_probe(sequence))]

    def _take_ack(self, ack: messages.Ack) -> list[Action]:
        relay = self._probing.finish(ack.sequence)
        if relay is None:
            return []
        passed_on = messages.Ack(relay.sequence, relay.subject)
        return [self._send_to(relay.asker, None, passed_on)]

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


def suspicion_seconds(members: int) -> float:
    """Return how long a router may be suspected before it counts as dead."""
    return SUSPECT_SECONDS + SUSPECT_SECONDS_PER_DOUBLING * math.log2(members + 2)
