"""How a router proves to a peer that it knows a fleet key.

Two keys are valid while keys are rotated: the first signs, all are accepted.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from celeryspan import errors, ids

NONCE_BYTES = 16
TAG_BYTES = 16
"""Length of the tag before a datagram: guessing it takes 2**127 datagrams."""


def prove(
    key: str, role: str, sender: ids.RouterId, nonces: tuple[bytes, bytes]
) -> bytes:
    """Return the keyed hash by which one side of a link proves the key.

    Parameters
    ----------
    role : str
        ``"open"`` or ``"accept"``. Without it a stranger could open a second link
        and send a router's own proof back to it.
    nonces : tuple of bytes
        Of the opening and of the accepting side; never used twice, so that a proof
        heard before is worth nothing.
    """
    parts = (b"celeryspan link", role.encode(), sender.encode(), *nonces)
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key.encode(), text, hashlib.sha256)


def check_proof(
    keys: Sequence[str],
    digest: bytes,
    role: str,
    sender: ids.RouterId,
    nonces: tuple[bytes, bytes],
) -> None:
    """Check the other side's keyed hash.

    Raises
    ------
    errors.LinkError
        If no valid key gives this hash.
    """
    for key in keys:
        if hmac.compare_digest(prove(key, role, sender, nonces), digest):
            return
    raise errors.LinkError(
        "the peer does not prove a fleet key", step="prove", peer=sender
    )


def seal(key: str, data: bytes) -> bytes:
    """Return a datagram with its tag before it."""
    return _tag(key, data) + data


def unseal(keys: Sequence[str], datagram: bytes) -> bytes:
    """Return the content of a datagram.

    Raises
    ------
    errors.LinkError
        If no valid key gives its tag.
    """
    tag, data = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    for key in keys:
        if hmac.compare_digest(_tag(key, data), tag):
            return data
    raise errors.LinkError("the datagram has no valid tag", step="unseal")


def _tag(key: str, data: bytes) -> bytes:
    text = b"celeryspan datagram" + data
    return hmac.digest(key.encode(), text, hashlib.sha256)[:TAG_BYTES]
