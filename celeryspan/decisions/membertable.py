"""Member table of one router, and the precedence of statements about a member.

Statements about a router arrive late, duplicated and out of order. Without a total
order a suspicion from a minute ago would be applied again, or a dead router would
return. Statements are ordered by incarnation, then refutation count, then state; the
greatest one wins on every router, so that all member tables converge.
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
"""LEAVING outranks SUSPECT: a leaving router gets no new work, suspected or not."""

PRESENT = (states.MemberState.ALIVE, states.MemberState.SUSPECT)
"""States in which a router takes part; most suspected routers are healthy."""

REACHABLE = (*PRESENT, states.MemberState.LEAVING)
"""States in which a router answers; a leaving one still finishes its work."""


class MemberRecord(msgspec.Struct):
    """The winning statement about one router.

    Attributes
    ----------
    since : float
        Time of the last state change, in seconds.
    """

    member: messages.Member
    since: float


class MemberTable:
    """The winning statement about each known router."""

    def __init__(self) -> None:
        self.digest = 0
        self._records: dict[ids.RouterId, MemberRecord] = {}
        self._by_state: dict[states.MemberState, dict[ids.RouterId, MemberRecord]] = {
            state: {} for state in states.MemberState
        }

    def __len__(self) -> int:
        return len(self._records)

    def find(self, router: ids.RouterId) -> MemberRecord | None:
        """Return the record of a router, or None."""
        return self._records.get(router)

    def list_all(self) -> list[MemberRecord]:
        """Return a copy of each record."""
        return [msgspec.structs.replace(record) for record in self._records.values()]

    def select(self, *chosen: states.MemberState) -> list[messages.Member]:
        """Return the members in the given states; all if none is given."""
        return [
            record.member
            for state in chosen or tuple(states.MemberState)
            for record in self._by_state[state].values()
        ]

    def count(self, *chosen: states.MemberState) -> int:
        """Return the number of members in the given states."""
        return sum(len(self._by_state[state]) for state in chosen)

    def merge(self, member: messages.Member, now: float) -> bool:
        """Apply a statement if it wins; returns whether it is new.

        A statement that differs only by a later configuration is applied but does not
        count as new, because each router states its own on its own datagrams.
        """
        record = self._records.get(member.router)
        if record is None:
            self._set(member, now)
            return True
        if rank(member) > rank(record.member):
            self._set(member, now)
            return True
        if rank(member) == rank(record.member):
            if _order_configuration(member) > _order_configuration(record.member):
                record.member = msgspec.structs.replace(
                    record.member,
                    generation=member.generation,
                    era=member.era,
                    version=member.version,
                )
        return False

    def forget(self, router: ids.RouterId) -> None:
        """Remove the record of a router."""
        record = self._records.pop(router, None)
        if record is not None:
            del self._by_state[record.member.state][router]
            self.digest ^= hash_member(record.member)

    def _set(self, member: messages.Member, now: float) -> None:
        self.forget(member.router)
        record = MemberRecord(member, now)
        self._records[member.router] = record
        self._by_state[member.state][member.router] = record
        self.digest ^= hash_member(member)


def _order_configuration(member: messages.Member) -> tuple[int, int, int]:
    """Return the sort key of the configurations that one router states in turn."""
    return member.version, member.era, member.generation


def rank(member: messages.Member) -> tuple[int, int, int]:
    """Return the sort key by which one statement about a router overrides another."""
    return member.incarnation, member.refutations, RANK[member.state]


def hash_member(member: messages.Member) -> int:
    """Return a member's part of the digest; 0 if dead, as dead members are removed."""
    if member.state is states.MemberState.DEAD:
        return 0
    leaving = member.state is states.MemberState.LEAVING
    text = f"{member.router} {member.incarnation} {leaving}"
    return xxhash.xxh3_64_intdigest(text.encode())
