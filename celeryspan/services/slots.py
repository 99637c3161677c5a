"""Slots of backend servers that requests of this router hold."""

from __future__ import annotations

import threading
import time
from typing import Protocol

from celeryspan import dispatch, errors, ids
from celeryspan.decisions import queueing
from celeryspan.wire import messages

PAUSE_SECONDS = 5.0
"""A slot that was given this long ago and is not yet used is not used any more, in
seconds. Only a process that was stopped for a while gets there; it has been declared
dead meanwhile and its slots belong to others."""


class Owner(Protocol):
    """Who gave the slot."""

    def give(self, slot: HeldSlot, units: float) -> None:
        """Count service given."""

    def end(self, slot: HeldSlot, ending: dispatch.Ending, cost: float) -> None:
        """Take the slot back."""


class HeldSlot:
    """Leave to send one request to one backend server.

    Attributes
    ----------
    server : ServerId
        Where the request goes.
    given_at : float
        Monotonic seconds.
    """

    def __init__(
        self, grant: messages.Grant, entry: queueing.Entry, now: float, owner: Owner
    ) -> None:
        self.grant = grant
        self.entry = entry
        self.server = grant.server
        self.given_at = now
        self._owner = owner
        self._units = 0.0
        self._ended = False
        self._lock = threading.Lock()

    def use(self) -> None:
        """Say that the first byte is about to leave; raises errors.NotRun if late."""
        if time.monotonic() - self.given_at > PAUSE_SECONDS:
            raise errors.NotRun(
                "the slot was given too long ago",
                code="grant-expired",
                status=503,
                retry_after=1.0,
                step="send",
                peer=self.server,
            )

    def progress(self, units: float) -> None:
        """Count service given since the last call, in cost units."""
        self._units += units
        self._owner.give(self, units)

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        """Give the slot back; a second call does nothing."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
        if cost > self._units:
            self._owner.give(self, cost - self._units)
        self._owner.end(self, ending, max(cost, self._units))


class HeldSlots:
    """All slots that this router holds, by server.

    A server stays listed once when its last slot has ended, so that its home is told
    of none.
    """

    def __init__(self) -> None:
        self._slots: dict[ids.ServerId, dict[ids.GrantId, HeldSlot]] = {}

    def add(self, slot: HeldSlot) -> None:
        """Note a slot."""
        self._slots.setdefault(slot.server, {})[slot.grant.grant] = slot

    def remove(self, slot: HeldSlot) -> None:
        """Forget a slot."""
        self._slots.get(slot.server, {}).pop(slot.grant.grant, None)

    def count(self) -> dict[ids.ServerId, int]:
        """Return the number of slots held of each server."""
        return {server: len(found) for server, found in self._slots.items() if found}

    def servers(self) -> tuple[ids.ServerId, ...]:
        """Return the servers of which a home must be told; once more with none."""
        found = tuple(self._slots)
        self._slots = {server: slots for server, slots in self._slots.items() if slots}
        return found

    def list_grants(
        self, server: ids.ServerId
    ) -> tuple[tuple[ids.AccountId, float], ...]:
        """Return account and estimate of each slot held of a server."""
        return tuple(
            (slot.grant.account, slot.entry.cost_estimate)
            for slot in self._slots.get(server, {}).values()
        )
