"""Checks that compare several entries of the register and the rules.

The models validate single values; constraints between values are checked here. A check
is a function that yields faults and is registered by a decorator.

Checks read the parsed file, not the models, so that an operator sees these faults
together with those of single values. They skip values of a wrong type, which the models
report.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator

from celeryspan import faults

NAMES_LISTED_MAX = 8
"""Maximum number of known names that a fault about an unknown name lists."""

TABLES = ("data_centres", "vms", "services", "servers", "accounts")

RegisterCheck = Callable[[faults.Data], Iterator[faults.Fault]]
RulesCheck = Callable[[faults.Data, faults.Data], Iterator[faults.Fault]]

REGISTER_CHECKS: list[RegisterCheck] = []
RULES_CHECKS: list[RulesCheck] = []


def on_register(check: RegisterCheck) -> RegisterCheck:
    """Register a check of the register."""
    REGISTER_CHECKS.append(check)
    return check


def on_rules(check: RulesCheck) -> RulesCheck:
    """Register a check of the rules against the register."""
    RULES_CHECKS.append(check)
    return check


def check_register(data: faults.Data) -> list[faults.Fault]:
    """Return all faults between the entries of a register."""
    return [fault for check in REGISTER_CHECKS for fault in check(data)]


def check_rules(data: faults.Data, rules_data: faults.Data) -> list[faults.Fault]:
    """Return all faults between a register and its rules."""
    return [fault for check in RULES_CHECKS for fault in check(data, rules_data)]


def read_entries(data: faults.Data, table: str) -> Iterator[tuple[int, faults.Data]]:
    """Yield the entries of a list that are mappings, with their indexes."""
    entries = data.get(table)
    for index, entry in enumerate(entries if isinstance(entries, list) else ()):
        if isinstance(entry, dict):
            yield index, entry


def get_names(data: faults.Data, table: str) -> set[str]:
    """Return the names of the entries of a list."""
    names = {faults.get_text(entry, "name") for _, entry in read_entries(data, table)}
    return names - {""}


@on_register
def _check_names(data: faults.Data) -> Iterator[faults.Fault]:
    for table in TABLES:
        first: dict[str, int] = {}
        for index, entry in read_entries(data, table):
            name = faults.get_text(entry, "name")
            if name in first:
                yield faults.Fault(
                    (table, index, "name"),
                    f"expected each name once, found {name!r} in entry "
                    f"{first[name]} too",
                )
            elif name:
                first[name] = index


@on_register
def _check_references(data: faults.Data) -> Iterator[faults.Fault]:
    references = (
        ("vms", "data_centre", "data_centres"),
        ("servers", "data_centre", "data_centres"),
        ("servers", "service", "services"),
    )
    for table, key, target in references:
        known = get_names(data, target)
        for index, entry in read_entries(data, table):
            name = faults.get_text(entry, key)
            if name and name not in known:
                kind = key.replace("_", " ")
                yield faults.Fault(
                    (table, index, key), _explain_unknown(kind, name, known)
                )


@on_register
def _check_services_have_servers(data: faults.Data) -> Iterator[faults.Fault]:
    served = {
        faults.get_text(entry, "service") for _, entry in read_entries(data, "servers")
    }
    for index, entry in read_entries(data, "services"):
        name = faults.get_text(entry, "name")
        if name and name not in served:
            yield faults.Fault(
                ("services", index),
                f"expected a server of service {name!r}, found none; "
                "add one or remove the service",
            )


@on_register
def _check_addresses(data: faults.Data) -> Iterator[faults.Fault]:
    keys = (("vms", "caller_address"), ("vms", "peer_address"), ("servers", "address"))
    named = [
        ((table, index, key), faults.get_text(entry, key))
        for table, key in keys
        for index, entry in read_entries(data, table)
    ]
    yield from faults.find_invalid_addresses(named)
    yield from faults.find_repeated_addresses(named)


@on_register
def _check_key_hashes(data: faults.Data) -> Iterator[faults.Fault]:
    """Reject a key that two accounts share.

    A router couldn't tell which account such a key authenticates; requests of one
    account would count against the share of the other.
    """
    owners: dict[str, str] = {}
    for index, entry in read_entries(data, "accounts"):
        for key_path, key_hash in faults.read_texts(entry, "key_hashes"):
            if key_hash in owners:
                yield faults.Fault(
                    ("accounts", index, *key_path),
                    f"expected a key of one account, found it at "
                    f"{owners[key_hash]!r} too",
                )
            owners.setdefault(key_hash, faults.get_text(entry, "name"))


@on_register
def _check_idempotent_paths(data: faults.Data) -> Iterator[faults.Fault]:
    for index, entry in read_entries(data, "services"):
        for key_path, path in faults.read_texts(entry, "idempotent_paths"):
            if not path.startswith("/"):
                yield faults.Fault(
                    ("services", index, *key_path),
                    f"expected a path that begins with '/', found {path!r}",
                )


@on_rules
def _check_rule_names(
    data: faults.Data, rules_data: faults.Data
) -> Iterator[faults.Fault]:
    accounts = get_names(data, "accounts")
    weights = rules_data.get("weights")
    for name in weights if isinstance(weights, dict) else ():
        if name not in accounts:
            yield faults.Fault(
                ("weights", name), _explain_unknown("client account", name, accounts)
            )
    lists = (("retirements", "server", "servers"), ("planned_stops", "VM", "vms"))
    for key, kind, table in lists:
        known = get_names(data, table)
        seen: set[str] = set()
        for key_path, name in faults.read_texts(rules_data, key):
            if name in seen:
                yield faults.Fault(
                    key_path, f"expected each name once, found {name!r} twice"
                )
            elif name not in known:
                yield faults.Fault(key_path, _explain_unknown(kind, name, known))
            seen.add(name)


@on_rules
def _check_servers_and_vms_remain(
    data: faults.Data, rules_data: faults.Data
) -> Iterator[faults.Fault]:
    """Reject rules that retire all servers of a service or stop all VMs.

    All requests of the service, or of the whole fleet, would then be refused. Whoever
    wants that removes the entries from the register.
    """
    retired = {name for _, name in faults.read_texts(rules_data, "retirements")}
    remaining: collections.Counter[str] = collections.Counter()
    for _, entry in read_entries(data, "servers"):
        remaining[faults.get_text(entry, "service")] += (
            faults.get_text(entry, "name") not in retired
        )
    for service, count in sorted(remaining.items()):
        if service and not count:
            yield faults.Fault(
                ("retirements",),
                f"expected a server of service {service!r} to remain, found all "
                "retired; keep one or remove the service from the register",
            )
    vms = get_names(data, "vms")
    if vms and vms <= {
        name for _, name in faults.read_texts(rules_data, "planned_stops")
    }:
        yield faults.Fault(
            ("planned_stops",), "expected a VM to remain, found all of them here"
        )


def _explain_unknown(kind: str, name: str, known: set[str]) -> str:
    names = ", ".join(sorted(known)[:NAMES_LISTED_MAX]) or "it has none"
    more = ", ..." if len(known) > NAMES_LISTED_MAX else ""
    return f"expected a {kind} of the register ({names}{more}), found {name!r}"
