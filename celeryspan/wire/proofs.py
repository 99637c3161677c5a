"""Authentication between routers by shared fleet keys.

During a key rotation two keys are valid: the first one signs, both are accepted.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from celeryspan import errors, ids

NONCE_BYTES = 16
TAG_BYTES = 16
"""Length of the tag of a datagram; guessing one takes 2**127 datagrams on average."""


def compute_proof(
    key: str, role: str, sender: ids.RouterId, nonces: tuple[bytes, bytes]
) -> bytes:
    """Return the HMAC with which one side of a link proves that it knows the key.

    Parameters
    ----------
    role : str
        ``"open"`` or ``"accept"``. Without it an attacker could open a second link
        and reflect a router's own proof to it.
    nonces : tuple of bytes
        Nonces of the opening and the accepting side. They are never reused, which
        prevents replay of an earlier proof.
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
    """Verify the proof of the other side.

    Raises
    ------
    errors.LinkError
        If the proof matches no fleet key.
    """
    for key in keys:
        if hmac.compare_digest(compute_proof(key, role, sender, nonces), digest):
            return
    raise errors.LinkError(
        "the peer does not prove a fleet key", step="prove", peer=sender
    )


def sign_datagram(key: str, data: bytes) -> bytes:
    """Return a datagram: the data, prefixed with its tag."""
    return _tag(key, data) + data


def verify_datagram(keys: Sequence[str], datagram: bytes) -> bytes:
    """Verify a datagram and return its data.

    Raises
    ------
    errors.LinkError
        If the tag matches no fleet key.
    """
    tag, data = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
    for key in keys:
        if hmac.compare_digest(_tag(key, data), tag):
            return data
    raise errors.LinkError("the datagram has no valid tag", step="unseal")


def _tag(key: str, data: bytes) -> bytes:
    text = b"celeryspan datagram" + data
    return hmac.digest(key.encode(), text, hashlib.sha256)[:TAG_BYTES]
