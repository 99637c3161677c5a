"""Patterns that input must match, and how error messages describe them."""

from __future__ import annotations

NAME = r"[a-z0-9][a-z0-9.-]{0,62}"
ADDRESS = r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}"
HASH = r"[0-9a-f]{64}"

EXPECTED = {
    NAME: "a name of a-z, 0-9, '.' and '-', at most 63 long",
    ADDRESS: "an IP number and a port, such as 10.0.0.1:8400",
    HASH: "a SHA-256 in hexadecimal (printf %s KEY | sha256sum)",
}
