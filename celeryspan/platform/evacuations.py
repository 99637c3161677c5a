"""Parses and writes the operator's requests to evacuate data centres."""

from __future__ import annotations

from celeryspan import ids, storedobjects, untrusted
from celeryspan.platform import names


def read(stored: storedobjects.StoredObject) -> ids.DataCentreId | None:
    """Return the evacuated data centre; None if the evacuation is being taken back.

    Raises
    ------
    errors.InputError
        If the name is not that of a data centre.
    """
    with untrusted.decode("evacuation", key=names.EVACUATION_KIND):
        untrusted.parse_text(stored.name, "name of a data centre")
    return None if stored.is_terminating else ids.DataCentreId(stored.name)


def write() -> dict[str, object]:
    """Return the spec of an evacuation; its name says all."""
    return {}
