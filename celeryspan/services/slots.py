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


Sums = tuple[float, float]


class Owner(Protocol):
    """Who gave the slot."""

    def give(self, slot: HeldSlot, units: float) -> None:
        """Count service given."""

    def note_cached(self, slot: HeldSlot, blocks: int) -> None:
        """Note how many blocks of a prompt were cached."""

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
    expected_blocks : int
        Blocks of the prompt that the server was believed to have cached.
    """

    def __init__(
        self,
        grant: messages.Grant,
        entry: queueing.QueuedRequest,
        now: float,
        owner: Owner,
    ) -> None:
        self.grant = grant
        self.entry = entry
        self.server = grant.server
        self.given_at = now
        self.expected_blocks = 0
        self._owner = owner
        self._units = 0.0
        self._first_at: float | None = None
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

    def measure(self, now: float) -> tuple[float, float]:
        """Return seconds since the first unit, and units given since; 0 before it."""
        if self._first_at is None:
            return 0.0, 0.0
        return now - self._first_at, self._units

    def note_cached(self, blocks: int) -> None:
        """Note how many blocks of the prompt the server had cached."""
        self._owner.note_cached(self, blocks)

    def progress(self, units: float) -> None:
        """Count service given since the last call, in cost units."""
        if self._first_at is None:
            self._first_at = time.monotonic()
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

    def measure(self, now: float) -> dict[tuple[ids.ServiceId, ids.ServerId], Sums]:
        """Return the sums of seconds and units of what runs at each server."""
        sums = {}
        for server, found in self._slots.items():
            measured = [slot.measure(now) for slot in found.values()]
            if found:
                service = next(iter(found.values())).grant.service
                seconds, units = (sum(column) for column in zip(*measured, strict=True))
                sums[service, server] = (seconds, units)
        return sums

    def list_grants(
        self, server: ids.ServerId
    ) -> tuple[tuple[ids.AccountId, float], ...]:
        """Return account and estimate of each slot held of a server."""
        return tuple(
            (slot.grant.account, slot.entry.cost_estimate)
            for slot in self._slots.get(server, {}).values()
        )
