"""The objects of one kind and their last changes, to be passed on to other routers.

Failure answered: a router hears the store's changes from another one, and one message
is lost or two sources overtake each other. A deleted server would stay in use, or one
that has come back would vanish. Each batch says from which revision to which it leads:
a receiver takes it only if it begins at or below what the receiver has and ends above,
and else asks for what it lacks; repeating changes in their order is harmless.
"""

from __future__ import annotations

import collections

import msgspec

from celeryspan import storedobjects

BATCHES_MAX = 200
"""Batches kept: each is one answer of a watch; those of three minutes of one change a
second. A router that is further behind gets all objects."""


class Batch(msgspec.Struct, frozen=True):
    """Changes that lead from one revision to another.

    Attributes
    ----------
    is_whole : bool
        The changes are all objects there are; ``above`` means nothing.
    """

    above: int
    at: int
    changes: tuple[storedobjects.Change, ...]
    is_whole: bool = False


class StoreLog:
    """What one router knows of one kind of objects.

    Parameters
    ----------
    depth : int
        Batches kept; 0 for kinds of few objects, which are told whole.

    Attributes
    ----------
    at : int or None
        Revision of what is known; None before the first list.
    """

    def __init__(self, depth: int = BATCHES_MAX) -> None:
        self.at: int | None = None
        self._objects: dict[str, storedobjects.StoredObject] = {}
        self._batches: collections.deque[Batch] = collections.deque(maxlen=depth)
        self._last_change_at = 0

    def apply(self, batch: Batch) -> bool:
        """Take in a batch; returns False if it brings nothing or leaves a gap."""
        if self.at is not None and batch.at <= self.at:
            return False
        if batch.is_whole:
            self._objects.clear()
            self._batches.clear()
        elif self.at is None or batch.above > self.at:
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
        """Whether a batch shows that changes are missing here."""
        return not batch.is_whole and (self.at is None or batch.above > self.at)

    def has_changes_since(self, above: int) -> bool:
        """Whether anything has changed above a revision."""
        return self.at is not None and above < self._last_change_at

    def batch_since(self, above: int) -> Batch | None:
        """Return what leads from a revision to the present; None without a list."""
        if self.at is None:
            return None
        if above >= self._last_change_at:
            return Batch(min(above, self.at), self.at, ())
        changes: list[storedobjects.Change] = []
        reached = False
        for batch in self._batches:
            if batch.at > above:
                reached = reached or batch.above <= above
                changes += batch.changes
        if reached:
            return Batch(above, self.at, tuple(changes))
        every = (storedobjects.Change(each, False) for each in self._objects.values())
        return Batch(0, self.at, tuple(every), is_whole=True)

    def _append(self, batch: Batch) -> None:
        """Add a batch; one without changes makes the one before it reach further."""
        last = self._batches[-1] if self._batches else None
        if last is not None and not batch.changes and batch.above <= last.at:
            self._batches[-1] = msgspec.structs.replace(last, at=batch.at)
        else:
            self._batches.append(batch)
