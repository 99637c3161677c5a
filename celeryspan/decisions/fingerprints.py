"""Recognizes requests that ask the same, whatever ids they have.

Copies of one request come in by any router, each under an id of its own. Bodies are
neither kept nor told to other routers; a keyed hash stands for them, so that nobody
without the fleet's key can look for a request that shares a fingerprint with another.
"""

from __future__ import annotations

import hashlib

import msgspec

FINGERPRINT_BYTES = 8

KEY_BYTES_MAX = 64
"""Greatest key of BLAKE2b."""


class Fingerprint(msgspec.Struct, frozen=True):
    """What identifies a request beside its id.

    Attributes
    ----------
    scope : int
        Hash of host, target and client account: tells without the body that a request
        is not another one's copy.
    whole : int
        Hash of scope, method and body.
    """

    scope: int
    whole: int

    def __str__(self) -> str:
        return format_fingerprint(self.whole)


class Fingerprinter:
    """Computes fingerprints.

    Parameters
    ----------
    key : str
        Secret of the fleet; routers with other keys find other fingerprints.
    """

    def __init__(self, key: str) -> None:
        self._key = hashlib.sha512(key.encode()).digest()[:KEY_BYTES_MAX]

    def compute_scope(self, host: str, target: bytes, account: str) -> int:
        """Return the hash of what stands before the body."""
        return self._hash(host.encode(), target, account.encode())

    def compute(
        self, host: str, target: bytes, account: str, method: str, body: bytes
    ) -> Fingerprint:
        """Return the fingerprint of a request.

        Parameters
        ----------
        target : bytes
            Path and query, as the caller wrote them.
        """
        scope = self.compute_scope(host, target, account)
        text = scope.to_bytes(FINGERPRINT_BYTES, "big")
        return Fingerprint(scope, self._hash(text, method.encode(), body))

    def _hash(self, *fields: bytes) -> int:
        found = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        for field in fields:
            # The length keeps the fields apart: "ab", "c" is not "a", "bc".
            found.update(len(field).to_bytes(8, "big"))
            found.update(field)
        return int.from_bytes(found.digest(), "big")


def format_fingerprint(whole: int) -> str:
    """Return a fingerprint as logs and operators write it."""
    return f"{whole:0{2 * FINGERPRINT_BYTES}x}"
