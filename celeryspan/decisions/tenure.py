"""Decides whether a router's view of its role as a home is established.

Routers may briefly disagree about the home of a pool: after a failure, while gossip
spreads, or for as long as a network partition lasts. A decision that must not be made
twice is therefore left to a home whose own view has been the same for some seconds and
that reaches most of the fleet. Two disjoint parts of the fleet can't both do so.
"""

from __future__ import annotations

from collections.abc import Collection

from celeryspan import states
from celeryspan.decisions import membertable

ESTABLISHED_SECONDS = 3.0
"""Time after which other routers agree on the home: they suspect a silent router within
1.5 s, and exclude a silent home for 3 s."""

DEAD_MEMBER_SECONDS = 600.0
"""Time for which a dead router counts as part of the fleet: it may be on the other side
of a partition."""


class Tenure:
    """How long this router has been the home of a pool, in its own view."""

    def __init__(self) -> None:
        self._since: float | None = None

    def update(self, *, is_home: bool, has_majority: bool, now: float) -> None:
        """Record this router's current view."""
        if not (is_home and has_majority):
            self._since = None
        elif self._since is None:
            self._since = now

    def is_established(self, now: float) -> bool:
        """Whether no other router considers itself the home any more."""
        return self._since is not None and now - self._since >= ESTABLISHED_SECONDS


def has_majority(
    reachable: int,
    others: Collection[membertable.MemberRecord],
    listed: int,
    now: float,
) -> bool:
    """Whether a router reaches more than half of the fleet, itself included.

    Parameters
    ----------
    reachable : int
        Routers that this one reaches, itself included.
    others : collection of MemberRecord
        All other routers that this one knows of.
    listed : int
        Routers that the store lists, of which this one may not know yet; 0 if unknown.
    """
    counted = 1 + sum(
        record.member.state is not states.MemberState.DEAD
        or now - record.since < DEAD_MEMBER_SECONDS
        for record in others
    )
    return 2 * reachable > max(counted, listed)
