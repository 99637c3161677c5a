"""What one router believes about the others, and which of two statements wins.

Failure answered: statements about a router arrive late, doubled and out of order.
Without an order among them a router that was suspected a minute ago is suspected
again, or a dead one comes back. Statements are ordered by incarnation, then by the
number of refutations, then by state; the greatest wins wherever it arrives, so that
all routers come to hold the same one.
"""

from __future__ import annotations

import msgspec
import xxhash

from celeryspan import ids, states
from celeryspan.wire import messages

RANK = {
    states.MemberState.ALIVE: 0,
    states.MemberState.SUSPECT: 1,
    states.MemberState.LEAVING: 2,
    states.MemberState.DEAD: 3,
}
"""Leaving outranks suspect: a router on its way out gets no new work either way."""

PRESENT = (states.MemberState.ALIVE, states.MemberState.SUSPECT)
"""States in which a router takes part: one that is only suspected mostly is well."""

REACHABLE = (*PRESENT, states.MemberState.LEAVING)
"""States in which a router answers: one that is leaving still finishes its work."""


class Belief(msgspec.Struct):
    """The winning statement about one router.

    Attributes
    ----------
    since : float
        When its state was last changed, in seconds.
    """

    member: messages.Member
    since: float


class Beliefs:
    """The winning statement about each router known."""

    def __init__(self) -> None:
        self.digest = 0
        self._beliefs: dict[ids.RouterId, Belief] = {}
        self._by_state: dict[states.MemberState, dict[ids.RouterId, Belief]] = {
            state: {} for state in states.MemberState
        }

    def __len__(self) -> int:
        return len(self._beliefs)

    def find(self, router: ids.RouterId) -> Belief | None:
        """Return what is believed about a router, or None."""
        return self._beliefs.get(router)

    def list_all(self) -> list[Belief]:
        """Return a copy of each belief."""
        return [msgspec.structs.replace(belief) for belief in self._beliefs.values()]

    def select(self, *chosen: states.MemberState) -> list[messages.Member]:
        """Return the members in the given states; all if none is given."""
        return [
            belief.member
            for state in chosen or tuple(states.MemberState)
            for belief in self._by_state[state].values()
        ]

    def count(self, *chosen: states.MemberState) -> int:
        """Return the number of members in the given states."""
        return sum(len(self._by_state[state]) for state in chosen)

    def merge(self, member: messages.Member, now: float) -> bool:
        """Take a statement if it wins; returns whether it says something new.

        A statement that is equal but for a higher generation is taken without being
        news: each router's generation rides on its own datagrams.
        """
        belief = self._beliefs.get(member.router)
        if belief is None:
            self._set(member, now)
            return True
        if rank(member) > rank(belief.member):
            self._set(member, now)
            return True
        if rank(member) == rank(belief.member):
            generation = max(member.generation, belief.member.generation)
            if generation != belief.member.generation:
                belief.member = msgspec.structs.replace(
                    belief.member, generation=generation
                )
        return False

    def forget(self, router: ids.RouterId) -> None:
        """Hold no belief about a router any more."""
        belief = self._beliefs.pop(router, None)
        if belief is not None:
            del self._by_state[belief.member.state][router]
            self.digest ^= hash_member(belief.member)

    def _set(self, member: messages.Member, now: float) -> None:
        self.forget(member.router)
        belief = Belief(member, now)
        self._beliefs[member.router] = belief
        self._by_state[member.state][member.router] = belief
        self.digest ^= hash_member(member)


def rank(member: messages.Member) -> tuple[int, int, int]:
    """Return what decides which of two statements about a router wins."""
    return member.incarnation, member.refutations, RANK[member.state]


def hash_member(member: messages.Member) -> int:
    """Return a member's part of the digest: 0 for the dead, which are forgotten."""
    if member.state is states.MemberState.DEAD:
        return 0
    leaving = member.state is states.MemberState.LEAVING
    text = f"{member.router} {member.incarnation} {leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
