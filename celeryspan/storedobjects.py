"""Objects of the platform's store and their changes, as routers exchange them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from celeryspan import ids


class Position(NamedTuple):
    """A point in the history of the store; later ones compare as greater.

    Attributes
    ----------
    era : Era
        Rises by one each time the store is restored from a copy.
    revision : int
        Rises with each write of one era. A restored store gives revisions again.
    """

    era: ids.Era
    revision: int


class StoredObject(msgspec.Struct, frozen=True):
    """One object of the store.

    Attributes
    ----------
    revision : int
        Revision of its last change.
    spec, status : object
        Contents set by its writer, as decoded JSON.
    is_terminating : bool
        Whether it is deleted as soon as its finalizers have run.
    era : Era
        Era of the store in which it was read.
    """

    name: str
    revision: int
    spec: object
    status: object
    is_terminating: bool
    era: ids.Era = ids.NO_ERA

    @property
    def position(self) -> Position:
        """Where in the history of the store it was last changed."""
        return Position(self.era, self.revision)


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind, and the revision of the store at which they were read."""

    objects: tuple[StoredObject, ...]
    revision: int
    era: ids.Era = ids.NO_ERA


class Change(msgspec.Struct, frozen=True):
    """An object that was written or deleted."""

    object: StoredObject
    is_deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of objects, and the revision from which to continue the watch."""

    changes: tuple[Change, ...]
    revision: int
    era: ids.Era = ids.NO_ERA
