"""Reads the entries by which backend servers describe themselves.

Failure answered: the store holds entries of other writers among those of servers, with
keys missing, values of another type, or states that mean nothing here. One that was
taken for a server would draw requests to an address where none listens; one that ended
the reader would hide all servers behind it. Each entry is checked on its own, and is a
server's only if every key of the protocol is there and holds what it should.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping

from celeryspan import catalog, errors, ids, storedobjects
from celeryspan.platform import names

STATES = {"ready": False, "draining": True}
"""Whether a server in a state is leaving."""

PORTS = range(1, 65_536)

SLOTS_MAX = 1_000_000
"""More places than any server has: a number like this is not a server's."""


def read(found: storedobjects.StoredObject) -> catalog.ServerEntry:
    """Return a backend server's entry.

    Raises
    ------
    errors.InputError
        If it lacks a key or holds a value of another kind.
    """
    try:
        return _read(found, found.spec)
    except (KeyError, TypeError, ValueError) as error:
        raise errors.InputError(
            f"malformed entry of a backend server: {error!r}",
            key=f"{names.SERVER_KIND}/{found.name}",
        ) from error


def _read(found: storedobjects.StoredObject, spec: object) -> catalog.ServerEntry:
    if not isinstance(spec, Mapping):
        raise TypeError(f"expected a mapping, found {type(spec).__name__}")
    _read_text(spec, "version")
    _read_whole(spec, "sequence")
    _read_seconds(spec, "cold_left_ms")
    slots = _read_whole(spec, "slots")
    if not 0 < slots <= SLOTS_MAX:
        raise ValueError(f"expected a number of slots, found {slots}")
    return catalog.ServerEntry(
        server=ids.ServerId(_check_text(found.name)),
        service=ids.ServiceId(_read_text(spec, "service")),
        address=_read_address(spec, "address"),
        data_centre=ids.DataCentreId(_read_text(spec, "zone")),
        slots=slots,
        is_leaving=STATES[_read_text(spec, "state")] or found.is_terminating,
        revision=found.revision,
        # Deployments whose servers always get a new id when they start don't say it.
        started_ms=_read_whole(spec, "born") if "born" in spec else None,
    )


def _read_text(spec: Mapping, key: str) -> str:
    value = spec[key]
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected text as {key}, found {value!r:.40}")
    return _check_text(value)


def _check_text(value: str) -> str:
    value.encode()  # Raises ValueError for halves of surrogate pairs.
    return value


def _read_whole(spec: Mapping, key: str) -> int:
    value = spec[key]
    if type(value) is not int or value < 0:
        raise TypeError(f"expected a whole number as {key}, found {value!r:.40}")
    return value


def _read_seconds(spec: Mapping, key: str) -> float:
    value = spec[key]
    if type(value) not in (int, float) or not value >= 0:
        raise TypeError(f"expected milliseconds as {key}, found {value!r:.40}")
    return value / 1000


def _read_address(spec: Mapping, key: str) -> ids.Address:
    address = ids.Address.parse(_read_text(spec, key))
    ipaddress.IPv4Address(address.host)
    if address.port not in PORTS:
        raise ValueError(f"expected a port as {key}, found {address.port}")
    return address
