"""Replica of the objects of one kind on one router, also across restorations.

The store may be restored from a copy. Then the list that it gives is not what a router
should act on: some of the objects look as they did, and others are missing. A replica
keeps both the objects as listed, which it passes on to other routers, and those in
force.
"""

from __future__ import annotations

import enum

from celeryspan import ids, storedobjects
from celeryspan.decisions import storelog, storeorder


class Outcome(enum.Enum):
    """What a batch changes."""

    IGNORED = "ignored"
    """Nothing: it is old, or would leave a gap."""

    CHANGED = "changed"
    """The objects that it names."""

    REPLACED = "replaced"
    """Any object: it lists all of them."""

    RESTORED = "restored"
    """Any object: it lists those of a later era."""


class Replica:
    """Objects of one kind as the store lists them, and as they are in force.

    Attributes
    ----------
    log : StoreLog
        Objects as listed, and recent changes.

    Parameters
    ----------
    depth : int
        Batches kept for other routers.
    policy : HoldPolicy or None
        How long known objects hold against a copy; None if the listed objects are in
        force at once.
    """

    def __init__(
        self,
        depth: int = storelog.BATCHES_MAX,
        policy: storeorder.HoldPolicy | None = None,
    ) -> None:
        self.log = storelog.StoreLog(depth)
        self._held = storeorder.HeldObjects(policy) if policy else None
        self._offered: tuple[ids.Era, tuple[storedobjects.Change, ...]] | None = None

    def resolve_era(self, stated: ids.Era) -> ids.Era:
        """Return the era of what another router states."""
        return storeorder.resolve_era(
            stated, self.log.era, is_restored=self.log.is_restored
        )

    def is_outdated(self, batch: storelog.Batch) -> bool:
        """Whether the source of a batch has not heard of a restoration."""
        return self.log.at is not None and batch.era < self.log.era

    def apply(self, batch: storelog.Batch, now: float) -> Outcome:
        """Apply a batch from the store or another router."""
        before, begins_era = self.log.objects, self.log.begins_era(batch)
        if not self.log.apply(batch):
            return Outcome.IGNORED
        if self._held is not None:
            if begins_era:
                self._begin_era(self._held, before, now)
            elif batch.is_whole:
                self._held.replace(before, self.log.objects, now)
            else:
                self._held.apply(batch.changes, now)
        if begins_era:
            return Outcome.RESTORED
        return Outcome.REPLACED if batch.is_whole else Outcome.CHANGED

    def receive_held(
        self, era: ids.Era, known: tuple[storedobjects.Change, ...], now: float
    ) -> bool:
        """Hold what another router holds against a copy; return whether it is news."""
        if self._held is None or era < self.log.era:
            return False
        if self.log.at is None or era > self.log.era:
            self._offered = era, known
            return False
        return self._held.receive(known, self.log.objects, now)

    def expire_held(self, answered_at: float, now: float) -> list[str]:
        """Return to what is listed where a hold has ended; return the names.

        Parameters
        ----------
        answered_at : float
            Time of the store's last answer.
        """
        if self._held is None:
            return []
        return self._held.expire(self.log.objects, answered_at, now)

    def list_held(self) -> list[storedobjects.Change]:
        """Return what holds against the copy."""
        if self._held is None:
            return []
        return [hold.known for hold in self._held.list_all()]

    def list_objects(self) -> tuple[storedobjects.StoredObject, ...]:
        """Return the objects in force."""
        if self._held is None:
            return tuple(self.log.objects.values())
        return tuple(self._held.overlay(self.log.objects))

    def _begin_era(
        self, held: storeorder.HeldObjects, before: storeorder.Objects, now: float
    ) -> None:
        held.begin_era(before, self.log.objects, now)
        if self._offered is not None:
            era, known = self._offered
            self._offered = None
            if era == self.log.era:
                held.receive(known, self.log.objects, now)
