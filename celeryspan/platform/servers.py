"""Parses the entries in which backend servers describe themselves.

Other systems write entries of the same kind, with missing keys, values of another type
or unknown states. Accepting such an entry as a server would send requests to an address
where nothing listens; stopping at it would hide all servers after it. Each entry is
therefore validated separately, and every key of the protocol must be present and valid.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping

from celeryspan import catalog, errors, ids, storedobjects
from celeryspan.platform import names

STATES = {"ready": False, "draining": True}
"""Whether a server in this state is leaving."""

PORTS = range(1, 65_536)

SLOTS_MAX = 1_000_000
"""No server has more slots; a larger number marks an invalid entry."""


def read(stored: storedobjects.StoredObject) -> catalog.ServerEntry:
    """Parse a backend server's entry.

    Raises
    ------
    errors.InputError
        If a key is missing or a value has the wrong type.
    """
    try:
        return _parse(stored, stored.spec)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed backend server entry: {error!r}",
            key=f"{names.SERVER_KIND}/{stored.name}",
        ) from error


def is_leaving(stored: storedobjects.StoredObject) -> bool:
    """Whether a stored object is the entry of a server that is leaving."""
    try:
        return read(stored).is_leaving
    except errors.InputError:
        return False


def _parse(stored: storedobjects.StoredObject, spec: object) -> catalog.ServerEntry:
    if not isinstance(spec, Mapping):
        raise TypeError(f"expected a mapping, found {type(spec).__name__}")
    _parse_unsigned(spec, "sequence")
    slots = _parse_unsigned(spec, "slots")
    if not 0 < slots <= SLOTS_MAX:
        raise ValueError(f"expected 1 to {SLOTS_MAX} slots, found {slots}")
    return catalog.ServerEntry(
        server=ids.ServerId(_check_text(stored.name)),
        service=ids.ServiceId(_parse_text(spec, "service")),
        address=_parse_address(spec, "address"),
        data_centre=ids.DataCentreId(_parse_text(spec, "zone")),
        slots=slots,
        is_leaving=STATES[_parse_text(spec, "state")] or stored.is_terminating,
        revision=stored.revision,
        # Absent in deployments where a server gets a new id at each start.
        started_ms=_parse_unsigned(spec, "born") if "born" in spec else None,
        cold_seconds=_parse_milliseconds(spec, "cold_left_ms"),
        version=ids.SoftwareVersion(_parse_text(spec, "version")),
        era=stored.era,
    )


def _parse_text(spec: Mapping, key: str) -> str:
    value = spec[key]
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string as {key}, found {value!r:.40}")
    return _check_text(value)


def _check_text(value: str) -> str:
    value.encode()  # Raises ValueError for unpaired surrogates.
    return value


def _parse_unsigned(spec: Mapping, key: str) -> int:
    value = spec[key]
    if type(value) is not int or value < 0:
        raise TypeError(
            f"expected a non-negative integer as {key}, found {value!r:.40}"
        )
    return value


def _parse_milliseconds(spec: Mapping, key: str) -> float:
    value = spec[key]
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"expected milliseconds as {key}, found {value!r:.40}")
    return value / 1000


def _parse_address(spec: Mapping, key: str) -> ids.Address:
    address = ids.Address.parse(_parse_text(spec, key))
    ipaddress.IPv4Address(address.host)
    if address.port not in PORTS:
        raise ValueError(
            f"expected a port from 1 to 65535 in {key}, found {address.port}"
        )
    return address
