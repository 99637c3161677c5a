"""What routers say about backend servers that fail them, as a home counts it."""

from __future__ import annotations

from celeryspan import ids
from celeryspan.wire import messages

VOTE_SECONDS = 30.0
"""A vote or a use counts for so long, in seconds: the first ejection of a router."""

QUORUM = 0.5
"""Part of the routers that use a server which must see failures before it gets one
request at a time. One router cut off from a server would otherwise take it from the
whole fleet."""


class Votes:
    """Votes of routers against backend servers."""

    def __init__(self) -> None:
        self._votes: dict[ids.ServerId, dict[ids.RouterId, float]] = {}
        self._uses: dict[ids.ServerId, dict[ids.RouterId, float]] = {}

    def note_use(self, router: ids.RouterId, server: ids.ServerId, now: float) -> None:
        """Note that a router has sent a request to a server."""
        self._uses.setdefault(server, {})[router] = now

    def cast(self, router: ids.RouterId, vote: messages.Vote, now: float) -> None:
        """Take in a router's vote, or that it takes it back."""
        found = self._votes.setdefault(vote.server, {})
        if vote.is_failing:
            found[router] = now
        else:
            found.pop(router, None)

    def limit(self, server: ids.ServerId, window: int, now: float) -> int:
        """Return the window that the votes leave: all of it, or one slot for a trial.

        One slot stays, so that a server that works again is found by real requests
        and the last server of a service is never taken away.
        """
        against = _drop_old(self._votes.get(server, {}), now)
        users = _drop_old(self._uses.get(server, {}), now) | against
        if against and len(against) >= QUORUM * len(users):
            return min(1, window)
        return window

    def forget(self, server: ids.ServerId) -> None:
        """Drop a server whose home is elsewhere now."""
        self._votes.pop(server, None)
        self._uses.pop(server, None)


def _drop_old(found: dict[ids.RouterId, float], now: float) -> set[ids.RouterId]:
    for router in [item for item, at in found.items() if now - at > VOTE_SECONDS]:
        del found[router]
    return set(found)
