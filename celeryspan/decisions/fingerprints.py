"""Fingerprints that identify identical requests regardless of their ids.

Copies of one request arrive at any router, each under its own id. Routers neither keep
bodies nor send them to each other but use a keyed hash, so that nobody without the
fleet's key can search for a request that collides with another one.
"""

from __future__ import annotations

import hashlib

import msgspec

from celeryspan.decisions import suspectfeatures

FEATURES_MAX = 4_096
"""Number of features whose hashes are kept."""

KEPT_CHARACTERS_MAX = 256
"""Longest content whose hash is kept: callers choose paths of any length."""

FINGERPRINT_BYTES = 8

KEY_BYTES_MAX = 64
"""Maximum key size of BLAKE2b."""


class Fingerprint(msgspec.Struct, frozen=True):
    """Content hashes of a request.

    Attributes
    ----------
    scope : int
        Hash of host, target and client account. Requests with different scopes are
        known to differ before their bodies are hashed.
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
        Secret of the fleet. Routers with different keys compute different fingerprints.
    """

    def __init__(self, key: str) -> None:
        self._key = hashlib.sha512(key.encode()).digest()[:KEY_BYTES_MAX]
        self._features: dict[tuple[suspectfeatures.Kind, str], int] = {}

    def compute_scope(self, host: str, target: bytes, account: str) -> int:
        """Return the hash of host, target and client account."""
        return self._hash(host.encode(), target, account.encode())

    def compute(
        self, host: str, target: bytes, account: str, method: str, body: bytes
    ) -> Fingerprint:
        """Return the fingerprint of a request.

        Parameters
        ----------
        target : bytes
            Path and query exactly as the caller sent them.
        """
        scope = self.compute_scope(host, target, account)
        scope_bytes = scope.to_bytes(FINGERPRINT_BYTES, "big")
        return Fingerprint(scope, self._hash(scope_bytes, method.encode(), body))

    def compute_feature(self, kind: suspectfeatures.Kind, content: str) -> int:
        """Return the hash of a feature that requests share."""
        value = self._features.get((kind, content))
        if value is None:
            value = self._hash(b"feature", bytes([kind]), content.encode())
            if len(content) > KEPT_CHARACTERS_MAX:
                return value
            if len(self._features) >= FEATURES_MAX:
                self._features.clear()
            self._features[kind, content] = value
        return value

    def _hash(self, *fields: bytes) -> int:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, key=self._key)
        for field in fields:
            # Length prefixes keep ("ab", "c") and ("a", "bc") distinct.
            digest.update(len(field).to_bytes(8, "big"))
            digest.update(field)
        return int.from_bytes(digest.digest(), "big")


def format_fingerprint(whole: int) -> str:
    """Return a fingerprint in the hexadecimal form used in logs and commands."""
    return f"{whole:0{2 * FINGERPRINT_BYTES}x}"
