"""Chooses orders for model engines and limits concurrent loads from the weight store.

A change of the register can require a new version on a hundred engines. If all of them
load at once, they share the limited rate of the weight store, each load takes a hundred
times as long, and the service has no engine meanwhile. Loads are therefore started one
after another by the single router that holds the duty, so that the limit applies to the
whole fleet.

Orders are idempotent: each one specifies the complete desired state, and no order is
sent to an engine that already reports this state.
"""

from __future__ import annotations

import enum

import msgspec

LOAD_INTERVAL_SECONDS = 10.0
"""Minimum time between the starts of two loads."""

MAX_CONCURRENT_LOADS = 2
"""Maximum number of concurrent loads in the fleet, as reported by the engines."""


class OrderKind(enum.Enum):
    """Kind of an order."""

    LOAD = "load"
    ROLE = "role"


class DesiredState(msgspec.Struct, frozen=True):
    """Desired state of an engine; an empty field leaves that part unspecified."""

    model: str
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports."""

    model: str
    adapters: tuple[str, ...]
    version: str
    role: str
    fence: int
    loading: bool


def choose_order(desired: DesiredState, state: EngineState) -> OrderKind | None:
    """Return the order that brings an engine closer to the desired state, or None."""
    if not desired.model or state.loading:
        return None
    if state.model != desired.model or set(state.adapters) != set(desired.adapters):
        return OrderKind.LOAD
    if desired.version and state.version != desired.version:
        return OrderKind.LOAD
    if desired.role and state.role != desired.role:
        return OrderKind.ROLE
    return None


class LoadLimiter:
    """Limits the rate and the number of concurrent loads from the weight store.

    Parameters
    ----------
    now : float
        Time at which this router took the duty. The previous holder may have started a
        load just before, so the first load waits for a full interval too.
    """

    def __init__(self, now: float) -> None:
        self._next_at = now + LOAD_INTERVAL_SECONDS
        self._loading: set[str] = set()

    def update(self, server: str, *, loading: bool) -> None:
        """Record whether an engine reports that it is loading."""
        if loading:
            self._loading.add(server)
        else:
            self._loading.discard(server)

    def try_begin(self, server: str, now: float) -> bool:
        """Reserve the start of one load; False if the limits do not permit it now."""
        if now < self._next_at or len(self._loading) >= MAX_CONCURRENT_LOADS:
            return False
        self._next_at = now + LOAD_INTERVAL_SECONDS
        self._loading.add(server)
        return True
