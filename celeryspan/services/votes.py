"""Votes of routers on failing backend servers, as counted by the home of a server."""

from __future__ import annotations

from celeryspan import ids
from celeryspan.wire import messages

VOTE_LIFETIME_SECONDS = 30.0
"""Lifetime of a vote or a use: as long as a router's first ejection of a server."""

QUORUM_FRACTION = 0.5
"""Fraction of the routers using a server that must see it fail before it is limited to
one request at a time. Otherwise a single router that can't reach the server would take
it from the whole fleet."""


class Votes:
    """Votes of routers against backend servers, and which routers use each server."""

    def __init__(self) -> None:
        self._votes: dict[ids.ServerId, dict[ids.RouterId, float]] = {}
        self._uses: dict[ids.ServerId, dict[ids.RouterId, float]] = {}

    def record_use(
        self, router: ids.RouterId, server: ids.ServerId, now: float
    ) -> None:
        """Record that a router has sent a request to a server."""
        self._uses.setdefault(server, {})[router] = now

    def record(self, router: ids.RouterId, vote: messages.Vote, now: float) -> None:
        """Record a router's vote, or its withdrawal."""
        found = self._votes.setdefault(vote.server, {})
        if vote.is_failing:
            found[router] = now
        else:
            found.pop(router, None)

    def limit(self, server: ids.ServerId, window: int, now: float) -> int:
        """Return the window that the votes allow: all of it, or one slot.

        One slot remains, so that real requests detect when the server works again,
        and a service never loses its last server.
        """
        against = _drop_expired(self._votes.get(server, {}), now)
        users = _drop_expired(self._uses.get(server, {}), now) | against
        if against and len(against) >= QUORUM_FRACTION * len(users):
            return min(1, window)
        return window

    def forget(self, server: ids.ServerId) -> None:
        """Remove a server whose home has moved to another router."""
        self._votes.pop(server, None)
        self._uses.pop(server, None)


def _drop_expired(found: dict[ids.RouterId, float], now: float) -> set[ids.RouterId]:
    for router in [
        item for item, at in found.items() if now - at > VOTE_LIFETIME_SECONDS
    ]:
        del found[router]
    return set(found)
