"""Reads the entries by which backend servers describe themselves."""

from __future__ import annotations

from celeryspan import catalog, errors, ids, storedobjects
from celeryspan.platform import names

DRAINING = "draining"


def read(found: storedobjects.StoredObject) -> catalog.ServerEntry:
    """Return a backend server's entry.

    Raises
    ------
    errors.InputError
        If it lacks a key or holds a value of another kind.
    """
    try:
        return catalog.ServerEntry(
            server=ids.ServerId(found.name),
            service=ids.ServiceId(found.spec["service"]),
            address=ids.Address.parse(found.spec["address"]),
            data_centre=ids.DataCentreId(found.spec["zone"]),
            slots=int(found.spec["slots"]),
            is_leaving=found.spec.get("state") == DRAINING or found.is_deleting,
            revision=found.revision,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise errors.InputError(
            f"malformed entry of a backend server: {error!r}",
            key=f"{names.SERVER_KIND}/{found.name}",
        ) from error
