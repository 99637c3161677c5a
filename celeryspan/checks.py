"""Checks between the entries of register, rules and settings.

The models check each value for itself; what needs two of them is checked here. A check
is a function that yields faults; a decorator puts it into the registry of its subject.

Checks read the values as they stand in the file, not the models, so that an operator
sees these faults together with those of single values. Values of a wrong type are
passed over: the models name them.
"""

from __future__ import annotations

import collections
import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from celeryspan import ids, register

PORT_MAX = 65535

NAMES_SHOWN = 8
"""So many of the known names are listed where an unknown one was found."""

TABLES = ("data_centres", "vms", "services", "servers", "accounts")

Data = dict[str, Any]
Place = tuple[str | int, ...]


class Fault(NamedTuple):
    """One fault: the path of keys and indexes to it, and what is wrong."""

    place: Place
    message: str


RegisterCheck = Callable[[Data], Iterator[Fault]]
RulesCheck = Callable[[Data, Data], Iterator[Fault]]

REGISTER_CHECKS: list[RegisterCheck] = []
RULES_CHECKS: list[RulesCheck] = []


def on_register(check: RegisterCheck) -> RegisterCheck:
    """Put a check into the registry of those that read the register."""
    REGISTER_CHECKS.append(check)
    return check


def on_rules(check: RulesCheck) -> RulesCheck:
    """Put a check into the registry of those that read register and rules."""
    RULES_CHECKS.append(check)
    return check


def check_register(data: Data) -> list[Fault]:
    """Return all faults between the entries of a register."""
    return [fault for check in REGISTER_CHECKS for fault in check(data)]


def check_rules(data: Data, added: Data) -> list[Fault]:
    """Return all faults between a register and its rules."""
    return [fault for check in RULES_CHECKS for fault in check(data, added)]


def check_settings(data: Data) -> list[Fault]:
    """Return all faults between the values of a router's settings."""
    own = [
        ((key,), get_text(data, key))
        for key in ("caller_address", "peer_address", "store_address")
    ]
    peers = list(read_texts(data, "peers"))
    return [*_find_repeated_addresses(own), *_find_bad_addresses([*own, *peers])]


def read_entries(data: Data, table: str) -> Iterator[tuple[int, Data]]:
    """Yield the entries of a list that have keys and values, with their indexes."""
    entries = data.get(table)
    for index, entry in enumerate(entries if isinstance(entries, list) else ()):
        if isinstance(entry, dict):
            yield index, entry


def read_texts(data: Data, key: str) -> Iterator[tuple[Place, str]]:
    """Yield the texts of a list, with their places."""
    texts = data.get(key)
    for index, text in enumerate(texts if isinstance(texts, list) else ()):
        if isinstance(text, str):
            yield (key, index), text


def get_text(entry: Data, key: str) -> str:
    """Return a text, or nothing where there is none."""
    value = entry.get(key)
    return value if isinstance(value, str) else ""


def get_names(data: Data, table: str) -> set[str]:
    """Return the names of the entries of a list."""
    names = {get_text(entry, "name") for _, entry in read_entries(data, table)}
    return names - {""}


@on_register
def _check_names(data: Data) -> Iterator[Fault]:
    for table in TABLES:
        first: dict[str, int] = {}
        for index, entry in read_entries(data, table):
            name = get_text(entry, "name")
            if name in first:
                yield Fault(
                    (table, index, "name"),
                    f"expected each name once, found {name!r} in entry "
                    f"{first[name]} too",
                )
            elif name:
                first[name] = index


@on_register
def _check_references(data: Data) -> Iterator[Fault]:
    references = (
        ("vms", "data_centre", "data_centres"),
        ("servers", "data_centre", "data_centres"),
        ("servers", "service", "services"),
    )
    for table, key, target in references:
        known = get_names(data, target)
        for index, entry in read_entries(data, table):
            name = get_text(entry, key)
            if name and name not in known:
                kind = key.replace("_", " ")
                yield Fault((table, index, key), _explain_unknown(kind, name, known))


@on_register
def _check_services_have_servers(data: Data) -> Iterator[Fault]:
    served = {get_text(entry, "service") for _, entry in read_entries(data, "servers")}
    for index, entry in read_entries(data, "services"):
        name = get_text(entry, "name")
        if name and name not in served:
            yield Fault(
                ("services", index),
                f"expected a server of service {name!r}, found none; "
                "add one or remove the service",
            )


@on_register
def _check_addresses(data: Data) -> Iterator[Fault]:
    keys = (("vms", "caller_address"), ("vms", "peer_address"), ("servers", "address"))
    named = [
        ((table, index, key), get_text(entry, key))
        for table, key in keys
        for index, entry in read_entries(data, table)
    ]
    yield from _find_bad_addresses(named)
    yield from _find_repeated_addresses(named)


@on_register
def _check_key_hashes(data: Data) -> Iterator[Fault]:
    """Refuse a key of two accounts.

    A router can't tell whom such a key proves: one account's requests would count
    against the other's share.
    """
    owners: dict[str, str] = {}
    for index, entry in read_entries(data, "accounts"):
        for place, key_hash in read_texts(entry, "key_hashes"):
            if key_hash in owners:
                yield Fault(
                    ("accounts", index, *place),
                    f"expected a key of one account, found it at "
                    f"{owners[key_hash]!r} too",
                )
            owners.setdefault(key_hash, get_text(entry, "name"))


@on_register
def _check_idempotent_paths(data: Data) -> Iterator[Fault]:
    for index, entry in read_entries(data, "services"):
        for place, path in read_texts(entry, "idempotent_paths"):
            if not path.startswith("/"):
                yield Fault(
                    ("services", index, *place),
                    f"expected a path that begins with '/', found {path!r}",
                )


@on_rules
def _check_rule_names(data: Data, added: Data) -> Iterator[Fault]:
    accounts = get_names(data, "accounts")
    weights = added.get("weights")
    for name in weights if isinstance(weights, dict) else ():
        if name not in accounts:
            yield Fault(
                ("weights", name), _explain_unknown("client account", name, accounts)
            )
    lists = (("retirements", "server", "servers"), ("planned_stops", "VM", "vms"))
    for key, kind, table in lists:
        known = get_names(data, table)
        seen: set[str] = set()
        for place, name in read_texts(added, key):
            if name in seen:
                yield Fault(place, f"expected each name once, found {name!r} twice")
            elif name not in known:
                yield Fault(place, _explain_unknown(kind, name, known))
            seen.add(name)


@on_rules
def _check_something_remains(data: Data, added: Data) -> Iterator[Fault]:
    """Refuse rules that leave nothing to serve with.

    With the last server of a service retired, or the last VM stopped, every request
    would be refused; an operator who means it removes the entries from the register.
    """
    retired = {name for _, name in read_texts(added, "retirements")}
    remaining: collections.Counter[str] = collections.Counter()
    for _, entry in read_entries(data, "servers"):
        remaining[get_text(entry, "service")] += get_text(entry, "name") not in retired
    for service, count in sorted(remaining.items()):
        if service and not count:
            yield Fault(
                ("retirements",),
                f"expected a server of service {service!r} to remain, found all "
                "retired; keep one or remove the service from the register",
            )
    vms = get_names(data, "vms")
    if vms and vms <= {name for _, name in read_texts(added, "planned_stops")}:
        yield Fault(
            ("planned_stops",), "expected a VM to remain, found all of them here"
        )


def _find_bad_addresses(named: Iterable[tuple[Place, str]]) -> Iterator[Fault]:
    for place, text in named:
        if re.match(register.ADDRESS_PATTERN, text) and not _is_address(text):
            yield Fault(
                place,
                f"expected an IP number and a port of 1 to {PORT_MAX}, found {text!r}",
            )


def _is_address(text: str) -> bool:
    try:
        address = ids.Address.parse(text)
        ipaddress.ip_address(address.host.strip("[]"))
    except ValueError:
        return False
    return 0 < address.port <= PORT_MAX


def _find_repeated_addresses(named: Iterable[tuple[Place, str]]) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for place, text in named:
        if text in first:
            yield Fault(
                place, f"expected an address of its own, found that of {first[text]}"
            )
        elif text:
            first[text] = ".".join(str(part) for part in place)


def _explain_unknown(kind: str, name: str, known: set[str]) -> str:
    names = ", ".join(sorted(known)[:NAMES_SHOWN]) or "it has none"
    more = ", ..." if len(known) > NAMES_SHOWN else ""
    return f"expected a {kind} of the register ({names}{more}), found {name!r}"
