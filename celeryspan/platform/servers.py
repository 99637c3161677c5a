"""Parses the entries in which backend servers describe themselves.

Other systems write entries of the same kind, with missing keys, values of another type
or unknown states. Accepting such an entry as a server would send requests to an address
where nothing listens; stopping at it would hide all servers after it. Each entry is
therefore validated separately, and every key of the protocol must be present and valid.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping

from celeryspan import catalog, errors, ids, storedobjects, untrusted
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
    key = f"{names.SERVER_KIND}/{stored.name}"
    with untrusted.decode("backend server entry", key=key):
        return _parse(stored, stored.spec)


def is_leaving(stored: storedobjects.StoredObject) -> bool:
    """Whether a stored object is the entry of a server that is leaving."""
    try:
        return read(stored).is_leaving
    except errors.InputError:
        return False


def _parse(stored: storedobjects.StoredObject, spec: object) -> catalog.ServerEntry:
    if not isinstance(spec, Mapping):
        raise TypeError(f"expected a mapping, found {type(spec).__name__}")
    untrusted.parse_count(spec["sequence"], "sequence")
    slots = untrusted.parse_count(spec["slots"], "slots")
    if not 0 < slots <= SLOTS_MAX:
        raise ValueError(f"expected 1 to {SLOTS_MAX} slots, found {slots}")
    return catalog.ServerEntry(
        server=ids.ServerId(untrusted.parse_text(stored.name, "name")),
        service=ids.ServiceId(_parse_text(spec, "service")),
        address=_parse_address(spec, "address"),
        data_centre=ids.DataCentreId(_parse_text(spec, "zone")),
        slots=slots,
        is_leaving=STATES[_parse_text(spec, "state")] or stored.is_terminating,
        revision=stored.revision,
        started_ms=_parse_start(spec),
        cold_seconds=_parse_milliseconds(spec, "cold_left_ms"),
        version=ids.SoftwareVersion(_parse_text(spec, "version")),
        era=stored.era,
    )


def _parse_text(spec: Mapping, key: str) -> str:
    return untrusted.parse_text(spec[key], key)


def _parse_milliseconds(spec: Mapping, key: str) -> float:
    return untrusted.parse_number(spec[key], key) / 1000


def _parse_start(spec: Mapping) -> int | None:
    """Return the start time; absent where a server gets a new id at each start."""
    return untrusted.parse_unsigned(spec["born"], "born") if "born" in spec else None


def _parse_address(spec: Mapping, key: str) -> ids.Address:
    address = ids.Address.parse(_parse_text(spec, key))
    ipaddress.IPv4Address(address.host)
    if address.port not in PORTS:
        raise ValueError(
            f"expected a port from 1 to 65535 in {key}, found {address.port}"
        )
    return address
