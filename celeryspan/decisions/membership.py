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
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import beliefs, probing, statements
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

DIFFERENCE_SECONDS = 10.0
"""Digests that differ this long are no change on its way but a lost one."""


class Membership(statements.Statements):
    """The membership as one router sees it.

    Call :meth:`tick` about ten times a second and :meth:`receive` for each datagram;
    carry out the actions that they return.

    Parameters
    ----------
    own : Member
        This router, alive.
    generator : random.Random
        Draws whom to probe.
    """

    def __init__(self, own: messages.Member, generator: random.Random) -> None:
        super().__init__(own, generator)
        self._probing = probing.Probing(generator)
        self._seeds: tuple[ids.Address, ...] = ()
        self._ticked_at = self._probe_at = self._recontact_at = -math.inf
        self._differs_since = math.inf

    def set_seeds(self, seeds: Iterable[ids.Address]) -> None:
        """Set the addresses at which routers should exist."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.peer_address)

    def tick(self, now: float) -> list[statements.Action]:
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
    ) -> list[statements.Action]:
        """Take a datagram of a peer and return the answers.

        Parameters
        ----------
        address : Address
            Where the datagram came from.
        """
        actions: list[statements.Action] = []
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

    def _wake(self, gap: float) -> None:
        """Allow for a pause of this router itself.

        While it was paused, answers to its probes were not read and refutations were
        not heard. Without this it would suspect, or bury, routers that are well.
        """
        self._probing.clear()
        for member in self.beliefs.select(states.MemberState.SUSPECT):
            self.beliefs.find(member.router).since += gap

    def _follow_probes(self, now: float) -> list[statements.Action]:
        actions: list[statements.Action] = []
        overdue = self._probing.collect(now)
        for sequence, target in overdue.unanswered:
            actions += self._ask_help(sequence, target)
        for target in overdue.failed:
            actions += self._suspect(target, now)
        return actions

    def _ask_help(
        self, sequence: int, target: messages.Member
    ) -> list[statements.Action]:
        actions = [self._send(target, self._make_probe(sequence))]
        others = [other for other in self._present() if other.router != target.router]
        request = messages.ProbeRequest(sequence, target.router)
        helpers = self._generator.sample(others, min(probing.HELPERS, len(others)))
        return actions + [self._send(helper, request) for helper in helpers]

    def _suspect(self, target: messages.Member, now: float) -> list[statements.Action]:
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
        doubted = msgspec.structs.replace(target, state=state)
        self.learn(doubted, now, self.own.router)
        return [self._send(doubted)]

    def _end_suspicions(self, now: float) -> None:
        """Declare dead whom nobody has heard; forget those gone for long."""
        limit = suspicion_seconds(len(self.beliefs))
        for member in self.beliefs.select(states.MemberState.SUSPECT):
            if now - self.beliefs.find(member.router).since >= limit:
                dead = msgspec.structs.replace(member, state=states.MemberState.DEAD)
                self.learn(dead, now, self.own.router)
        for member in self.beliefs.select(states.MemberState.DEAD):
            if now - self.beliefs.find(member.router).since >= FORGET_SECONDS:
                self.beliefs.forget(member.router)

    def _probe_next(self, now: float) -> list[statements.Action]:
        for _ in range(len(self.beliefs)):
            router = self._probing.choose(self._list_reachable)
            belief = self.beliefs.find(router) if router is not None else None
            if belief is not None and belief.member.state in beliefs.REACHABLE:
                sequence = self._probing.begin(belief.member, now)
                return [self._send(belief.member, self._make_probe(sequence))]
        return []

    def _recontact(self, now: float) -> list[statements.Action]:
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
    ) -> list[statements.Action]:
        known = self.beliefs.find(sender)
        ack = messages.Ack(probe.sequence, self.own.router)
        answer = self._send_to(address, known and known.member, ack)
        return [answer, *self._compare(probe.digest, now, sender)]

    def _compare(
        self, digest: int, now: float, sender: ids.RouterId
    ) -> list[statements.Action]:
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
    ) -> list[statements.Action]:
        known = self.beliefs.find(request.target)
        if known is None:
            return []
        sequence = self._probing.begin_relay(
            asker, request.sequence, request.target, now
        )
        return [self._send(known.member, self._make_probe(sequence))]

    def _take_ack(self, ack: messages.Ack) -> list[statements.Action]:
        relay = self._probing.finish(ack.sequence)
        if relay is None:
            return []
        passed_on = messages.Ack(relay.sequence, relay.subject)
        return [self._send_to(relay.asker, None, passed_on)]


def suspicion_seconds(members: int) -> float:
    """Return how long a router may be suspected before it counts as dead."""
    return SUSPECT_SECONDS + SUSPECT_SECONDS_PER_DOUBLING * math.log2(members + 2)
