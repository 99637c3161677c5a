"""What routers say about backend servers that fail them, as a home counts it."""

from __future__ import annotations

import math

from celeryspan import ids, states
from celeryspan.wire import messages

VOTE_SECONDS = 30.0
"""A vote counts for so long; a router that goes on seeing failures votes again."""

QUORUM = 0.5
"""Part of the routers that must see failures before a server gets no work from any.

One router cut off from a server would otherwise take it from the whole fleet."""


class Votes:
    """Votes of routers to give a backend server no work."""

    def __init__(self) -> None:
        self._votes: dict[ids.ServerId, dict[ids.RouterId, float]] = {}

    def cast(self, router: ids.RouterId, fact: messages.ServerFact, now: float) -> None:
        """Take in a router's vote, or that it takes it back."""
        found = self._votes.setdefault(fact.server, {})
        if fact.state is states.ServerState.EJECTED:
            found[router] = now
        else:
            found.pop(router, None)

    def limit(self, server: ids.ServerId, window: int, routers: int, now: float) -> int:
        """Return the window that the votes leave: all of it, or one slot for a trial.

        One slot stays, so that a server that works again is found by real requests
        and the last server of a service is never taken away.
        """
        found = self._votes.get(server, {})
        for router in [item for item, at in found.items() if now - at > VOTE_SECONDS]:
            del found[router]
        if found and len(found) >= math.ceil(QUORUM * max(1, routers)):
            return min(1, window)
        return window
