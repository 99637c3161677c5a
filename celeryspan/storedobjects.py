"""Objects of the platform's store and their changes, as routers exchange them."""

from __future__ import annotations

import msgspec


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
    """

    name: str
    revision: int
    spec: object
    status: object
    is_terminating: bool


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind, and the revision of the store at which they were read."""

    objects: tuple[StoredObject, ...]
    revision: int


class Change(msgspec.Struct, frozen=True):
    """An object that was written or deleted."""

    object: StoredObject
    is_deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of objects, and the revision from which to continue the watch."""

    changes: tuple[Change, ...]
    revision: int
