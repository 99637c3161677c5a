"""Which order a model engine needs, and how many loads the weight store bears.

Failure answered: a change of the register calls for a new version on a hundred
engines. Ordered all at once they read from the weight store together, which limits
its rate; each load then takes a hundred times as long, and the service has no engine
meanwhile. Loads are therefore begun one after the other, by the one holder of the
duty, which makes the limit hold over the whole fleet.

Orders are idempotent: each names the whole wanted state, and none is sent to an engine
that reports it already.
"""

from __future__ import annotations

import enum

import msgspec

LOAD_INTERVAL_SECONDS = 10.0
"""Least time between the beginnings of two loads."""

MAX_CONCURRENT_LOADS = 2
"""Loads under way at once over the fleet, as far as engines have reported them."""


class OrderKind(enum.Enum):
    """Kind of an order."""

    LOAD = "load"
    ROLE = "role"


class DesiredState(msgspec.Struct, frozen=True):
    """What an engine should have loaded and be; empty texts are no wish."""

    model: str
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class EngineState(msgspec.Struct, frozen=True):
    """What an engine reports of itself."""

    model: str
    adapters: tuple[str, ...]
    version: str
    role: str
    fence: int
    loading: bool


def choose_order(wanted: DesiredState, state: EngineState) -> OrderKind | None:
    """Return the order that brings an engine closer to what is wanted, or None."""
    if not wanted.model or state.loading:
        return None
    if state.model != wanted.model or set(state.adapters) != set(wanted.adapters):
        return OrderKind.LOAD
    if wanted.version and state.version != wanted.version:
        return OrderKind.LOAD
    if wanted.role and state.role != wanted.role:
        return OrderKind.ROLE
    return None


class LoadLimiter:
    """Admits loads at the rate that the weight store bears.

    Parameters
    ----------
    now : float
        When this router took the duty: an earlier holder may have begun a load just
        before, so that the first one waits too.
    """

    def __init__(self, now: float) -> None:
        self._next_at = now + LOAD_INTERVAL_SECONDS
        self._loading: set[str] = set()

    def update(self, server: str, *, loading: bool) -> None:
        """Note what an engine reports."""
        if loading:
            self._loading.add(server)
        else:
            self._loading.discard(server)

    def try_begin(self, server: str, now: float) -> bool:
        """Take leave to begin one load, if there is any."""
        if now < self._next_at or len(self._loading) >= MAX_CONCURRENT_LOADS:
            return False
        self._next_at = now + LOAD_INTERVAL_SECONDS
        self._loading.add(server)
        return True
