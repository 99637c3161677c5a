"""Candidates for one request, and costs common to plain servers and engines."""

from __future__ import annotations

import math
from typing import NamedTuple

from celeryspan import ids
from celeryspan.decisions import poolservers
from celeryspan.wire import messages

REMOTE_COST_SECONDS = 0.002
"""Cost of a server in another data centre: one round trip."""

FAILURE_COST_SECONDS = 2.0
"""Cost of a server that fails all requests, relative to its peers."""

RESTING_COST_SECONDS = 0.05
"""Cost of a server that rests for another router."""


class Candidate(NamedTuple):
    """A server that could take a request; lower costs are better.

    Attributes
    ----------
    cost : float
        Weighted waiting time, in seconds, at the expected pace of the server.
    is_ready : bool
        Whether the server can take the request now.
    usual_cost : float
        The same cost if the server's VM had its usual pace.
    """

    cost: float
    server: ids.ServerId
    is_ready: bool
    usual_cost: float


NO_CANDIDATE = Candidate(math.inf, ids.ServerId(""), False, math.inf)


class Choice(NamedTuple):
    """The server that takes a request now.

    Attributes
    ----------
    regret : float
        How much lower the cost of the best server is, if that one can't take the
        request yet, in seconds.
    """

    server: ids.ServerId
    regret: float


def estimate_remote_cost(
    server: poolservers.PoolServer, ask: messages.SlotRequest
) -> float:
    """Return the cost of a server for a request from a data centre, in seconds."""
    return 0.0 if server.entry.data_centre == ask.data_centre else REMOTE_COST_SECONDS


def estimate_resting_cost(server: poolservers.PoolServer) -> float:
    """Return the cost of a server that rests for any router, in seconds."""
    return RESTING_COST_SECONDS if server.rests else 0.0
