"""Commands of operators: check, apply, status, drain, addresses, version."""

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
"""Where the operator's key is read from: a flag would show it to all users of a VM."""

POLL_SECONDS = 0.2
"""Pause between two questions to the routers while 'apply' waits for them."""


def _define_router(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "router", None, "HOST:PORT at which any router serves.", flag_values=values
    )


def _define_apply(values: flags.FlagValues) -> None:
    for name, text in (
        ("store", "HOST:PORT of the platform's object API."),
        ("settings", "Settings of a router, to read the store's address from."),
        ("router", "HOST:PORT of any router, to wait for all of them."),
        ("author", "Who applies; the operating system's user by default."),
    ):
        flags.DEFINE_string(name, "", text, flag_values=values)
    flags.DEFINE_boolean(
        "dry_run", False, "Show what would change; write nothing.", flag_values=values
    )
    flags.DEFINE_float(
        "wait",
        0.0,
        "Seconds to wait until every router has it in force.",
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
    """Validate a register and its rules; write nothing.

    Each fault is one line with the file, its line, the path of the key, what was
    expected and what was found.
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

    Shows each entry that is added (+), removed (-) or changed (~). Files that change
    nothing are not written. If another operator was faster, nothing is written, and
    the generation that won is named. With --wait and --router it returns once every
    router that answers has the generation in force, and names those that have not;
    the operator's key is then read from CELERYSPAN_OPERATOR_KEY.
    """
    router = registry.require(values, "router", "HOST:PORT") if values.wait else ""
    entries, added = inputs.read_register_and_rules(*arguments)
    client = store.StoreClient(find_store(values))
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
    written = publishing.publish(client, stored, entries, added, author)
    print(f"generation {written.generation} written: {len(lines)} changes by {author}")
    if values.wait:
        return wait_in_force(router, written.generation, values.wait)
    return registry.Exit.DONE


def find_store(values: flags.FlagValues) -> str:
    """Return the address of the object API that the flags name.

    Raises
    ------
    UsageError
        If they name none.
    """
    if values.settings:
        return inputs.read_settings(values.settings).store_address
    return registry.require(values, "store", "HOST:PORT (or --settings FILE)")


def wait_in_force(address: str, generation: int, seconds: float) -> registry.Exit:
    """Wait until all routers have a generation in force, and print which have not."""
    client = routers.RouterClient(read_key())
    began = time.monotonic()
    while True:
        reports = client.get_reports(address)
        behind = [
            report.address for report in reports if report.generation < generation
        ]
        waited = time.monotonic() - began
        if not behind:
            print(f"in force on {len(reports)} routers after {waited:.1f} s")
            return registry.Exit.DONE
        if waited >= seconds:
            print(f"not in force after {waited:.1f} s: {', '.join(behind)}")
            return registry.Exit.FAILED
        time.sleep(POLL_SECONDS)


@registry.command("status", define=_define_status)
def status(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show what every router says of itself and of its client accounts.

    Asks one router for the others and each of them for its state: generation in force,
    members, home of each backend server, backlog and service received. The operator's
    key is read from CELERYSPAN_OPERATOR_KEY. Exits with 1 if a router does not answer.
    """
    client = routers.RouterClient(read_key())
    reports = client.get_reports(registry.require(values, "router", "HOST:PORT"))
    if values.json:
        print(json.dumps({item.address: item.fields for item in reports}))
    else:
        tables.print_status(reports)
    silent = any(item.error for item in reports)
    return registry.Exit.FAILED if silent else registry.Exit.DONE


@registry.command("drain", "ROUTER")
def drain(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Ask the router at HOST:PORT to finish its requests and stop.

    It leaves the answer of 'celeryspan addresses' at once, cuts no request in progress
    and exits. The operator's key is read from CELERYSPAN_OPERATOR_KEY.
    """
    routers.RouterClient(read_key()).drain(arguments[0])
    print(f"{arguments[0]} is draining")
    return registry.Exit.DONE


@registry.command("addresses", define=_define_router)
def addresses(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show which addresses a router tells callers to use, one a line."""
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


def read_key() -> str:
    """Return the operator's key.

    Raises
    ------
    UsageError
        If the environment holds none.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise registry.UsageError(
            f"expected the operator's key in the environment variable {KEY_VARIABLE}, "
            "found nothing"
        )
    return key
