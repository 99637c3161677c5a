"""Slots of backend servers held by requests of this router."""

from __future__ import annotations

import threading
import time
from typing import Protocol

from celeryspan import dispatch, errors, ids
from celeryspan.decisions import queueing
from celeryspan.wire import messages

# Maximum age of a slot at the time of the first byte. Only a process that was suspended
# exceeds it; it has been declared dead meanwhile and its slots were granted to others.
MAX_UNUSED_SECONDS = 5.0

# Seconds since the first cost unit, and cost units delivered since.
RunningTotals = tuple[float, float]


class SlotOwner(Protocol):
    """Receives the events of a slot: service, cache hits and its end."""

    def record_service(self, slot: HeldSlot, units: float) -> None:
        """Record service delivered through a slot, in cost units."""

    def record_cached(self, slot: HeldSlot, blocks: int) -> None:
        """Record how many blocks of a prompt were cached."""

    def release(self, slot: HeldSlot, ending: dispatch.Ending, cost: float) -> None:
        """Release the slot."""


class HeldSlot:
    """Permission to send one request to one backend server.

    Attributes
    ----------
    server : ServerId
        The server that the request is sent to.
    granted_at : float
        Monotonic time at which the grant was bound to the request, in seconds.
    expected_blocks : int
        Blocks of the prompt that the server was expected to have cached.
    """

    def __init__(
        self,
        grant: messages.Grant,
        entry: queueing.QueuedRequest,
        now: float,
        owner: SlotOwner,
    ) -> None:
        self.grant = grant
        self.entry = entry
        self.server = grant.server
        self.granted_at = now
        self.expected_blocks = 0
        self._owner = owner
        self._units = 0.0
        self._first_unit_at: float | None = None
        self._ended = False
        self._lock = threading.Lock()

    def use(self) -> None:
        """Check that the slot is still valid, just before the first byte is sent.

        Raises
        ------
        errors.NotRun
            If the slot was granted too long ago.
        """
        if time.monotonic() - self.granted_at > MAX_UNUSED_SECONDS:
            raise errors.NotRun(
                "the slot was granted too long ago",
                code="grant-expired",
                status=503,
                retry_after=1.0,
                step="send",
                peer=self.server,
            )

    def measure(self, now: float) -> tuple[float, float]:
        """Return seconds and units since the first unit, or zeros before it."""
        if self._first_unit_at is None:
            return 0.0, 0.0
        return now - self._first_unit_at, self._units

    def note_cached(self, blocks: int) -> None:
        """Record how many blocks of the prompt the server had cached."""
        self._owner.record_cached(self, blocks)

    def progress(self, units: float) -> None:
        """Record service delivered since the last call, in cost units."""
        if self._first_unit_at is None:
            self._first_unit_at = time.monotonic()
        self._units += units
        self._owner.record_service(self, units)

    def end(self, ending: dispatch.Ending, cost: float) -> None:
        """Release the slot; later calls do nothing."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
        if cost > self._units:
            self._owner.record_service(self, cost - self._units)
        self._owner.release(self, ending, max(cost, self._units))


class HeldSlots:
    """All slots that this router holds, by server.

    A server is reported once more after its last slot has ended, so that its home
    learns that none is held.
    """

    def __init__(self) -> None:
        self._slots: dict[ids.ServerId, dict[ids.GrantId, HeldSlot]] = {}

    def add(self, slot: HeldSlot) -> None:
        """Add a slot."""
        self._slots.setdefault(slot.server, {})[slot.grant.grant] = slot

    def remove(self, slot: HeldSlot) -> None:
        """Remove a slot."""
        self._slots.get(slot.server, {}).pop(slot.grant.grant, None)

    def count(self) -> dict[ids.ServerId, int]:
        """Return the number of slots held at each server."""
        return {server: len(found) for server, found in self._slots.items() if found}

    def pop_servers_to_report(self) -> tuple[ids.ServerId, ...]:
        """Return the servers to report, and drop those without slots."""
        found = tuple(self._slots)
        self._slots = {server: slots for server, slots in self._slots.items() if slots}
        return found

    def measure(
        self, now: float
    ) -> dict[tuple[ids.ServiceId, ids.ServerId], RunningTotals]:
        """Return the total seconds and units of the running requests by server."""
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
        """Return account and cost estimate of each slot held at a server."""
        return tuple(
            (slot.grant.account, slot.entry.cost_estimate)
            for slot in self._slots.get(server, {}).values()
        )
