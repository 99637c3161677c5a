"""The stored entry through which routers publish their peer address."""

from __future__ import annotations

from typing import NamedTuple

from celeryspan import ids, storedobjects, untrusted
from celeryspan.platform import names

BUILD = 1
"""Routers of this build record in the store at which versions streams may begin; those
whose entry states none do not."""


class RouterEntry(NamedTuple):
    """Location of a router.

    Attributes
    ----------
    peer_address : Address
        Address at which it listens for other routers.
    build : int
        Which records of the store it maintains.
    """

    peer_address: ids.Address
    data_centre: ids.DataCentreId
    build: int = BUILD


def write(entry: RouterEntry) -> dict[str, object]:
    """Return the spec of an entry; it is the same after a router restarts."""
    return {
        "peer_address": str(entry.peer_address),
        "data_centre": entry.data_centre,
        "build": entry.build,
    }


def read(stored: storedobjects.StoredObject) -> RouterEntry:
    """Parse the stored entry of a router.

    Raises
    ------
    errors.InputError
        If the entry is malformed.
    """
    key = f"{names.ROUTER_KIND}/{stored.name}"
    with untrusted.decode("router entry", key=key):
        untrusted.parse_text(stored.name, "name")
        peer_address, data_centre = (
            untrusted.parse_text(stored.spec[key], key)
            for key in ("peer_address", "data_centre")
        )
        return RouterEntry(
            ids.Address.parse(peer_address),
            ids.DataCentreId(data_centre),
            untrusted.parse_count(stored.spec.get("build", 0), "build"),
        )
