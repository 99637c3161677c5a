"""Commands for operators: check, apply, status, drain, addresses, version."""

from __future__ import annotations

import getpass
import json
import os
import socket
import time

from absl import flags

from celeryspan import VERSION, changes, inputs, publishing
from celeryspan.adapters import routers, store
from celeryspan.daemons import registry, tables

KEY_VARIABLE = "CELERYSPAN_OPERATOR_KEY"
"""Environment variable of the operator's key; a flag would be visible to all users of
the VM."""

POLL_SECONDS = 0.2
"""Interval at which 'apply --wait' polls the routers."""


def _define_router(values: flags.FlagValues) -> None:
    flags.DEFINE_string("router", None, "HOST:PORT of any router.", flag_values=values)


def _define_apply(values: flags.FlagValues) -> None:
    for name, text in (
        ("store", "HOST:PORT of the platform's object API."),
        ("settings", "Settings of a router that contain the store's address."),
        ("router", "HOST:PORT of any router; --wait waits for all of them."),
        ("author", "Author of the change; the current user by default."),
    ):
        flags.DEFINE_string(name, "", text, flag_values=values)
    flags.DEFINE_boolean(
        "dry_run", False, "Show the changes without writing them.", flag_values=values
    )
    flags.DEFINE_float(
        "wait",
        0.0,
        "Seconds to wait until the generation is in force on every router.",
        lower_bound=0.0,
        flag_values=values,
    )


def _define_status(values: flags.FlagValues) -> None:
    _define_router(values)
    flags.DEFINE_boolean(
        "json", False, "Print JSON instead of tables.", flag_values=values
    )


@registry.command("check", "REGISTER", "RULES")
def check(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Validate a register and its rules without writing anything.

    Each error is one line with the file, its line, the path of the key, the expected
    value and the value found.
    """
    entries, added = inputs.read_register_and_rules(*arguments)
    print(
        f"valid: {entries.firm}, {len(entries.vms)} VMs, "
        f"{len(entries.services)} services, {len(entries.servers)} servers, "
        f"{len(entries.accounts)} client accounts, {len(added.weights)} weights, "
        f"{len(added.retirements)} retirements, "
        f"{len(added.planned_stops)} planned stops"
    )
    return registry.Exit.DONE


@registry.command("apply", "REGISTER", "RULES", define=_define_apply)
def apply(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Validate a register and its rules and write them as one new generation.

    Shows each entry that is added (+), removed (-) or changed (~). Files without
    changes are not written. If another operator has written a generation meanwhile,
    nothing is written and that generation is reported. With --wait and --router the
    command returns once the generation is in force on every router that answers, or
    lists the routers on which it is not. The operator's key is then read from
    CELERYSPAN_OPERATOR_KEY.
    """
    router = registry.require(values, "router", "HOST:PORT") if values.wait else ""
    entries, added = inputs.read_register_and_rules(*arguments)
    client = store.StoreClient(find_store_address(values))
    stored = publishing.read_stored(client)
    lines = changes.describe_changes(stored.value, entries, added)
    if not lines:
        print(f"no changes; generation {stored.generation} stays")
        return registry.Exit.DONE
    print("\n".join(lines))
    if values.dry_run:
        print(f"{len(lines)} changes to generation {stored.generation}; not written")
        return registry.Exit.DONE
    author = values.author or f"{getpass.getuser()}@{socket.gethostname()}"
    published = publishing.publish(client, stored, entries, added, author)
    print(
        f"generation {published.generation} written: {len(lines)} changes by {author}"
    )
    if values.wait:
        return wait_until_in_force(router, published.generation, values.wait)
    return registry.Exit.DONE


def find_store_address(values: flags.FlagValues) -> str:
    """Return the address of the object API from the flags.

    Raises
    ------
    UsageError
        If neither flag was given.
    """
    if values.settings:
        return inputs.read_settings(values.settings).store_address
    return registry.require(values, "store", "HOST:PORT (or --settings FILE)")


def wait_until_in_force(address: str, generation: int, seconds: float) -> registry.Exit:
    """Wait until a generation is in force on all routers; print those that lag."""
    client = routers.RouterClient(read_operator_key())
    started_at = time.monotonic()
    while True:
        reports = client.get_reports(address)
        lagging = [
            report.address for report in reports if report.generation < generation
        ]
        waited = time.monotonic() - started_at
        if not lagging:
            print(f"in force on {len(reports)} routers after {waited:.1f} s")
            return registry.Exit.DONE
        if waited >= seconds:
            print(f"not in force after {waited:.1f} s: {', '.join(lagging)}")
            return registry.Exit.FAILED
        time.sleep(POLL_SECONDS)


@registry.command("status", define=_define_status)
def status(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show the state of every router and its client accounts.

    Gets the list of routers from one of them and queries each: generation in force,
    members, home of each backend server, backlog and service received. The operator's
    key is read from CELERYSPAN_OPERATOR_KEY. Exits with 1 if a router does not answer.
    """
    client = routers.RouterClient(read_operator_key())
    reports = client.get_reports(registry.require(values, "router", "HOST:PORT"))
    if values.json:
        print(json.dumps({item.address: item.fields for item in reports}))
    else:
        tables.print_status(reports)
    has_errors = any(item.error for item in reports)
    return registry.Exit.FAILED if has_errors else registry.Exit.DONE


@registry.command("drain", "ROUTER")
def drain(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Make the router at HOST:PORT finish its requests and exit.

    The router is removed from the output of 'celeryspan addresses' at once, completes
    the requests in progress and exits. The operator's key is read from
    CELERYSPAN_OPERATOR_KEY.
    """
    routers.RouterClient(read_operator_key()).drain(arguments[0])
    print(f"{arguments[0]} is draining")
    return registry.Exit.DONE


@registry.command("addresses", define=_define_router)
def addresses(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show the addresses that a router gives to callers, one per line."""
    router = registry.require(values, "router", "HOST:PORT")
    found = routers.RouterClient("").get_addresses(router)
    for address in found.addresses:
        print(address)
    return registry.Exit.DONE


@registry.command("version")
def version(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show the version."""
    print(f"celeryspan {VERSION}")
    return registry.Exit.DONE


def read_operator_key() -> str:
    """Return the operator's key from the environment.

    Raises
    ------
    UsageError
        If the variable is not set.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise registry.UsageError(
            f"expected the operator's key in the environment variable {KEY_VARIABLE}, "
            "found nothing"
        )
    return key
