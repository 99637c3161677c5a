"""Objects of the platform's store and changes of them, as the routers pass them on."""

from __future__ import annotations

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """One object of the store.

    Attributes
    ----------
    revision : int
        Of its last change.
    spec, status : object
        What its writer put there, as decoded JSON.
    is_terminating : bool
        Whether it only waits for its finalizers.
    """

    name: str
    revision: int
    spec: object
    status: object
    is_terminating: bool


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind, and the revision at which they were read."""

    objects: tuple[StoredObject, ...]
    at: int


class Change(msgspec.Struct, frozen=True):
    """An object that was written or deleted."""

    object: StoredObject
    is_deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """What has changed, and the revision from which to watch on."""

    changes: tuple[Change, ...]
    at: int
