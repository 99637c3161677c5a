"""Failure detection and membership of the router fleet, based on SWIM.

Guards against routers that crash, pause, lose the network or restart without notice.
Undetected, their share of the backend servers' slots stays unused and callers are sent
to dead addresses. All-to-all heartbeats would cost each router 1,300 messages a period.
Here each router probes one other per period, so the cost per router does not depend on
the size of the fleet. The protocol is SWIM (Das, Gupta and Motivala, 2002), except that
incarnations are taken from the clock and refutations are counted separately.

* A suspected router still takes part until the suspicion times out. Every datagram
  sent to it carries the suspicion; it refutes by incrementing its refutation count.
* A router that was paused detects a jump of its own clock. It discards the probes in
  flight, because their acks were not read, and learns from the first reply that it was
  declared dead; its refutation makes it a member again.
* Dead routers are probed at a low rate. After a network partition heals, the first
  datagram across it starts an exchange of the whole member table, and the refutations
  spread through both halves.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import msgspec

from celeryspan import ids, states
from celeryspan.decisions import membertable, probing, statements
from celeryspan.wire import messages

SUSPECT_SECONDS = 1.5
"""Time to refute a suspicion, without the time that the suspicion takes to spread."""

SUSPECT_SECONDS_PER_DOUBLING = 0.3
"""Gossip doubles the routers that know a fact in about 0.15 s; twice that covers the
suspicion and its refutation."""

PAUSE_THRESHOLD_SECONDS = 1.0
"""A longer gap between two ticks means that this router itself was paused."""

RECONTACT_SECONDS = 2.0
"""Period of the probes to routers that are dead or have never answered."""

JOIN_SECONDS = 0.5
JOIN_PROBES = 3
"""Period and number of the probes while no other router is reachable. Some addresses
are those of routers that no longer exist; a router that joins late acts on what it has
read itself."""

FORGET_SECONDS = 3_600.0
"""Dead routers are removed after this time. Regions can lose each other for minutes,
and the register still lists the routers that are removed."""

DIGEST_MISMATCH_SECONDS = 10.0
"""Digests that differ for longer indicate a lost update rather than one in flight."""


class Membership(statements.Statements):
    """The membership of the fleet as seen by one router.

    Call :meth:`tick` about ten times a second and :meth:`receive` for each datagram,
    and execute the actions that they return.

    Parameters
    ----------
    own : Member
        This router, alive.
    generator : random.Random
        Selects the routers to probe.
    """

    def __init__(self, own: messages.Member, generator: random.Random) -> None:
        super().__init__(own, generator)
        self._probing = probing.Probing(generator)
        self._seeds: tuple[ids.Address, ...] = ()
        self._ticked_at = self._probe_at = self._recontact_at = -math.inf
        self._mismatch_since = math.inf

    def set_seeds(self, seeds: Iterable[ids.Address]) -> None:
        """Set the addresses at which routers should exist."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.peer_address)

    def tick(self, now: float) -> list[statements.Action]:
        """Check the timeouts of probes and suspicions and return the probes to send."""
        gap = now - self._ticked_at
        self._ticked_at = now
        if PAUSE_THRESHOLD_SECONDS < gap < math.inf:
            self._recover_from_pause(gap)
        actions = self._check_probes(now)
        self._expire_suspects(now)
        if now >= self._probe_at:
            self._probe_at = now + probing.PERIOD_SECONDS
            actions += self._probe_next(now)
        if now >= self._recontact_at:
            is_alone = not self._list_reachable()
            self._recontact_at = now + (JOIN_SECONDS if is_alone else RECONTACT_SECONDS)
            actions += self._recontact(now, JOIN_PROBES if is_alone else 1)
        return actions

    def receive(
        self,
        now: float,
        sender: ids.RouterId,
        address: ids.Address,
        batch: Iterable[messages.Message],
    ) -> list[statements.Action]:
        """Process a datagram from a peer and return the replies.

        Parameters
        ----------
        address : Address
            Source address of the datagram.
        """
        actions: list[statements.Action] = []
        for message in batch:
            match message:
                case messages.Member():
                    actions += self.handle_statement(message, now, sender)
                case messages.Probe():
                    actions += self._handle_probe(message, now, sender, address)
                case messages.ProbeRequest():
                    actions += self._handle_probe_request(message, now, address)
                case messages.Ack():
                    actions += self._handle_ack(message)
        return actions

    def _recover_from_pause(self, gap: float) -> None:
        """Discard probes and extend suspicions after a pause of this router itself.

        During the pause it read no acks and no refutations; without this it would
        suspect healthy routers or declare them dead.
        """
        self._probing.clear()
        for member in self.members.select(states.MemberState.SUSPECT):
            self.members.find(member.router).since += gap

    def _check_probes(self, now: float) -> list[statements.Action]:
        actions: list[statements.Action] = []
        overdue = self._probing.collect(now)
        for sequence, target in overdue.unanswered:
            actions += self._probe_indirectly(sequence, target)
        for target in overdue.failed:
            actions += self._suspect(target, now)
        return actions

    def _probe_indirectly(
        self, sequence: int, target: messages.Member
    ) -> list[statements.Action]:
        """Repeat a probe directly and through randomly selected peers."""
        actions = [self._send(target, self._make_probe(sequence))]
        others = [
            other for other in self._list_present() if other.router != target.router
        ]
        request = messages.ProbeRequest(sequence, target.router)
        peers = self._generator.sample(
            others, min(probing.INDIRECT_PROBES, len(others))
        )
        return actions + [self._send(peer, request) for peer in peers]

    def _suspect(self, target: messages.Member, now: float) -> list[statements.Action]:
        """Suspect a member that failed its probe, and notify it.

        Does nothing if a newer statement has arrived since the probe. A member that
        was leaving is declared dead at once, because it will not return.
        """
        known = self.members.find(target.router)
        if known is None or membertable.rank(known.member) != membertable.rank(target):
            return []
        if target.state is states.MemberState.SUSPECT:
            return []
        leaving = target.state is states.MemberState.LEAVING
        state = states.MemberState.DEAD if leaving else states.MemberState.SUSPECT
        suspected = msgspec.structs.replace(target, state=state)
        self.handle_statement(suspected, now, self.own.router)
        return [self._send(suspected)]

    def _expire_suspects(self, now: float) -> None:
        """Declare expired suspects dead and remove members that died long ago."""
        limit = suspicion_seconds(len(self.members))
        for member in self.members.select(states.MemberState.SUSPECT):
            if now - self.members.find(member.router).since >= limit:
                dead = msgspec.structs.replace(member, state=states.MemberState.DEAD)
                self.handle_statement(dead, now, self.own.router)
        for member in self.members.select(states.MemberState.DEAD):
            if now - self.members.find(member.router).since >= FORGET_SECONDS:
                self.members.forget(member.router)

    def _probe_next(self, now: float) -> list[statements.Action]:
        for _ in range(len(self.members)):
            router = self._probing.choose(self._list_reachable)
            record = self.members.find(router) if router is not None else None
            if record is not None and record.member.state in membertable.REACHABLE:
                sequence = self._probing.begin(record.member, now)
                return [self._send(record.member, self._make_probe(sequence))]
        return []

    def _recontact(self, now: float, count: int) -> list[statements.Action]:
        """Probe some dead routers, or seed addresses without a known router."""
        known = {member.peer_address for member in self._list_reachable()}
        lost = [
            member.peer_address
            for member in self.members.select(states.MemberState.DEAD)
            if member.peer_address not in known
        ]
        lost += [seed for seed in self._seeds if seed not in known]
        lost = list(dict.fromkeys(lost))
        return [
            self._send_to(
                address, None, self._make_probe(self._probing.begin(None, now))
            )
            for address in self._generator.sample(lost, min(count, len(lost)))
        ]

    def _make_probe(self, sequence: int) -> messages.Probe:
        return messages.Probe(sequence, self._digest())

    def _digest(self) -> int:
        return self.members.digest ^ membertable.hash_member(self.own)

    def _handle_probe(
        self,
        probe: messages.Probe,
        now: float,
        sender: ids.RouterId,
        address: ids.Address,
    ) -> list[statements.Action]:
        known = self.members.find(sender)
        ack = messages.Ack(probe.sequence, self.own.router)
        answer = self._send_to(address, known and known.member, ack)
        return [answer, *self._check_digest(probe.digest, now, sender)]

    def _check_digest(
        self, digest: int, now: float, sender: ids.RouterId
    ) -> list[statements.Action]:
        """Request an exchange if digests differ for longer than gossip takes."""
        if digest == self._digest():
            self._mismatch_since = math.inf
            return []
        self._mismatch_since = min(self._mismatch_since, now)
        persists = now - self._mismatch_since >= DIGEST_MISMATCH_SECONDS
        if not persists and now >= self._resync_until:
            return []
        return self._exchange(now, sender)

    def _handle_probe_request(
        self, request: messages.ProbeRequest, now: float, requester: ids.Address
    ) -> list[statements.Action]:
        known = self.members.find(request.target)
        if known is None:
            return []
        sequence = self._probing.begin_indirect(
            requester, request.sequence, request.target, now
        )
        return [self._send(known.member, self._make_probe(sequence))]

    def _handle_ack(self, ack: messages.Ack) -> list[statements.Action]:
        probe = self._probing.finish(ack.sequence)
        if probe is None:
            return []
        forwarded = messages.Ack(probe.sequence, probe.subject)
        return [self._send_to(probe.requester, None, forwarded)]


def suspicion_seconds(members: int) -> float:
    """Return how long a router may be suspected before it is declared dead."""
    return SUSPECT_SECONDS + SUSPECT_SECONDS_PER_DOUBLING * math.log2(members + 2)
