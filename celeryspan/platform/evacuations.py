"""Parses and writes the operator's requests to evacuate data centres."""

from __future__ import annotations

from celeryspan import errors, ids, storedobjects
from celeryspan.platform import names


def read(stored: storedobjects.StoredObject) -> ids.DataCentreId | None:
    """Return the evacuated data centre; None if the evacuation is being taken back.

    Raises
    ------
    errors.InputError
        If the name is not that of a data centre.
    """
    if not stored.name or not stored.name.isprintable():
        raise errors.InputError(
            f"expected the name of a data centre, found {stored.name!r:.40}",
            key=names.EVACUATION_KIND,
        )
    return None if stored.is_terminating else ids.DataCentreId(stored.name)


def write() -> dict[str, object]:
    """Return the spec of an evacuation; its name says all."""
    return {}
