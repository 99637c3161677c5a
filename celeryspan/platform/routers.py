"""The stored entry through which routers publish their peer address."""

from __future__ import annotations

from typing import NamedTuple

from celeryspan import errors, ids, storedobjects
from celeryspan.platform import names


class RouterEntry(NamedTuple):
    """Location of a router.

    Attributes
    ----------
    peer_address : Address
        Address at which it listens for other routers.
    """

    peer_address: ids.Address
    data_centre: ids.DataCentreId


def write(entry: RouterEntry) -> dict[str, object]:
    """Return the spec of an entry; it is the same after a router restarts."""
    return {
        "peer_address": str(entry.peer_address),
        "data_centre": entry.data_centre,
    }


def read(stored: storedobjects.StoredObject) -> RouterEntry:
    """Parse the stored entry of a router.

    Raises
    ------
    errors.InputError
        If the entry is malformed.
    """
    try:
        peer_address, data_centre = (
            stored.spec["peer_address"],
            stored.spec["data_centre"],
        )
        if not isinstance(peer_address, str) or not isinstance(data_centre, str):
            raise TypeError("expected two strings")
        address = ids.Address.parse(peer_address)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed router entry: {error!r}",
            key=f"{names.ROUTER_KIND}/{stored.name}",
        ) from error
    return RouterEntry(address, ids.DataCentreId(data_centre))
