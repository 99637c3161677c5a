"""The entry by which a router tells the others in the store where to reach it."""

from __future__ import annotations

from typing import NamedTuple

from celeryspan import errors, ids, storedobjects
from celeryspan.platform import names


class RouterEntry(NamedTuple):
    """Where a router is.

    Attributes
    ----------
    peer_address : Address
        Where it listens for its peers.
    """

    peer_address: ids.Address
    data_centre: ids.DataCentreId


def write(entry: RouterEntry) -> dict[str, object]:
    """Return an entry as it is stored: the same for each life of a router."""
    return {
        "peer_address": str(entry.peer_address),
        "data_centre": entry.data_centre,
    }


def read(found: storedobjects.StoredObject) -> RouterEntry:
    """Return where a router is.

    Raises
    ------
    errors.InputError
        If the entry does not say it.
    """
    try:
        written, data_centre = found.spec["peer_address"], found.spec["data_centre"]
        if not isinstance(written, str) or not isinstance(data_centre, str):
            raise TypeError("expected two texts")
        address = ids.Address.parse(written)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed entry of a router: {error!r}",
            key=f"{names.ROUTER_KIND}/{found.name}",
        ) from error
    return RouterEntry(address, ids.DataCentreId(data_centre))
