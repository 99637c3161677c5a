"""Objects of one kind and their recent changes, for replication to other routers.

A router receives the store's changes from another router. If a message is lost or two
sources overtake each other, a deleted server could stay in use, or one that has come
back could disappear. Each batch therefore states the revisions that it spans. A
receiver applies it only if it starts at or below the receiver's revision and ends above
it, and requests the missing changes otherwise. Replaying changes in order is harmless.

Revisions order the batches of one era of the store. Only a list of all objects leads
from one era to the next.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping

import msgspec

from celeryspan import ids, storedobjects

BATCHES_MAX = 200
"""Batches kept, each the answer to one watch: three minutes at one change per second.
A router that is further behind gets all objects."""


class Batch(msgspec.Struct, frozen=True):
    """Changes between two revisions, ``above`` exclusive and ``at`` inclusive.

    Attributes
    ----------
    is_whole : bool
        Whether the changes list all objects; ``above`` is then ignored.
    era : Era
        Era of the store to which both revisions belong.
    """

    above: int
    at: int
    changes: tuple[storedobjects.Change, ...]
    is_whole: bool = False
    era: ids.Era = ids.NO_ERA


class StoreLog:
    """The objects of one kind as known to one router, with recent batches.

    Parameters
    ----------
    depth : int
        Batches kept; 0 for kinds with few objects, which are always sent whole.

    Attributes
    ----------
    at : int or None
        Current revision; None before the first list.
    era : Era
        Era of the store to which the revision belongs.
    is_restored : bool
        Whether the store was restored since the first list.
    """

    def __init__(self, depth: int = BATCHES_MAX) -> None:
        self.at: int | None = None
        self.era = ids.NO_ERA
        self.is_restored = False
        self._objects: dict[str, storedobjects.StoredObject] = {}
        self._batches: collections.deque[Batch] = collections.deque(maxlen=depth)
        self._last_change_at = 0

    @property
    def objects(self) -> Mapping[str, storedobjects.StoredObject]:
        """The objects by name; a list of all objects replaces this mapping."""
        return self._objects

    @property
    def position(self) -> storedobjects.Position:
        """Era and revision up to which the objects are known; 0 if none are."""
        return storedobjects.Position(self.era, self.at or 0)

    def begins_era(self, batch: Batch) -> bool:
        """Whether a batch is the first list of a later era."""
        return batch.is_whole and (self.at is None or batch.era > self.era)

    def apply(self, batch: Batch) -> bool:
        """Apply a batch; returns False if it is old or would leave a gap."""
        if self.at is not None and (batch.era, batch.at) <= self.position:
            return False
        if batch.is_whole:
            self._objects = {}
            self._batches.clear()
            self.is_restored |= ids.NO_ERA < self.era < batch.era
            self.era = batch.era
        elif self.has_gap_before(batch):
            return False
        for change in batch.changes:
            if change.is_deleted:
                self._objects.pop(change.object.name, None)
            else:
                self._objects[change.object.name] = change.object
        if not batch.is_whole:
            self._append(batch)
        if batch.is_whole or batch.changes:
            self._last_change_at = batch.at
        self.at = batch.at
        return True

    def has_gap_before(self, batch: Batch) -> bool:
        """Whether changes before a batch are missing here."""
        if batch.is_whole or batch.era < self.era:
            return False
        return self.at is None or batch.era > self.era or batch.above > self.at

    def has_changes_since(self, position: storedobjects.Position) -> bool:
        """Whether any object has changed after a position."""
        return self.at is not None and position < (self.era, self._last_change_at)

    def batch_since(self, position: storedobjects.Position) -> Batch | None:
        """Return the changes since a position.

        None before the first list, and for a position in a later era.
        """
        if self.at is None or position.era > self.era:
            return None
        if position.era < self.era:
            return self._make_whole()
        above = position.revision
        if above >= self._last_change_at:
            return Batch(min(above, self.at), self.at, (), era=self.era)
        changes: list[storedobjects.Change] = []
        is_covered = False
        for batch in self._batches:
            if batch.at > above:
                is_covered = is_covered or batch.above <= above
                changes += batch.changes
        if is_covered:
            return Batch(above, self.at, tuple(changes), era=self.era)
        return self._make_whole()

    def _make_whole(self) -> Batch:
        whole = (storedobjects.Change(each, False) for each in self._objects.values())
        return Batch(0, self.at, tuple(whole), is_whole=True, era=self.era)

    def _append(self, batch: Batch) -> None:
        """Append a batch; one without changes extends the previous batch instead."""
        last = self._batches[-1] if self._batches else None
        if last is not None and not batch.changes and batch.above <= last.at:
            self._batches[-1] = msgspec.structs.replace(last, at=batch.at)
        else:
            self._batches.append(batch)
