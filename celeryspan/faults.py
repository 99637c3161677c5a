"""Faults in the values of a file, and the address checks that all files share."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from celeryspan import ids, patterns

PORT_MAX = 65535

Data = dict[str, Any]
KeyPath = tuple[str | int, ...]


class Fault(NamedTuple):
    """An invalid value: the path of keys and indexes to it, and a message."""

    key_path: KeyPath
    message: str


def check_settings(data: Data) -> list[Fault]:
    """Return all faults between the values of a router's settings."""
    own = [
        ((key,), get_text(data, key))
        for key in ("caller_address", "peer_address", "store_address")
    ]
    peers = list(read_texts(data, "peers"))
    return [*find_repeated_addresses(own), *find_invalid_addresses([*own, *peers])]


def read_texts(data: Data, key: str) -> Iterator[tuple[KeyPath, str]]:
    """Yield the strings of a list with their key paths."""
    texts = data.get(key)
    for index, text in enumerate(texts if isinstance(texts, list) else ()):
        if isinstance(text, str):
            yield (key, index), text


def get_text(entry: Data, key: str) -> str:
    """Return the string under a key, or an empty one if there is none."""
    value = entry.get(key)
    return value if isinstance(value, str) else ""


def find_invalid_addresses(named: Iterable[tuple[KeyPath, str]]) -> Iterator[Fault]:
    """Yield a fault for each text that has the form of an address but is invalid."""
    for key_path, text in named:
        if re.match(f"^{patterns.ADDRESS}$", text) and not _is_address(text):
            yield Fault(
                key_path,
                f"expected an IP number and a port of 1 to {PORT_MAX}, found {text!r}",
            )


def _is_address(text: str) -> bool:
    try:
        address = ids.Address.parse(text)
        ipaddress.ip_address(address.host.strip("[]"))
    except ValueError:
        return False
    return 0 < address.port <= PORT_MAX


def find_repeated_addresses(named: Iterable[tuple[KeyPath, str]]) -> Iterator[Fault]:
    """Yield a fault for each repeated address."""
    first: dict[str, str] = {}
    for key_path, text in named:
        if text in first:
            yield Fault(
                key_path, f"expected an address of its own, found that of {first[text]}"
            )
        elif text:
            first[text] = ".".join(str(part) for part in key_path)
