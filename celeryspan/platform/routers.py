"""The entry by which a router tells the others in the store where to reach it."""

from __future__ import annotations

from celeryspan import errors, ids, storedobjects
from celeryspan.platform import names


def write(peer_address: ids.Address, incarnation: ids.Incarnation) -> dict[str, object]:
    """Return the entry of one life of a router."""
    return {"peer_address": str(peer_address), "incarnation": incarnation}


def read(found: storedobjects.StoredObject) -> ids.Address:
    """Return where a router listens for its peers.

    Raises
    ------
    errors.InputError
        If the entry does not say it.
    """
    try:
        return ids.Address.parse(found.spec["peer_address"])
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed entry of a router: {error!r}",
            key=f"{names.ROUTER_KIND}/{found.name}",
        ) from error
