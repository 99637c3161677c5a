"""Commands for requests that crash servers: quarantine, release."""

from __future__ import annotations

import datetime
from collections.abc import Iterable

import rich.console
import rich.table
from absl import flags

from celeryspan import errors
from celeryspan.daemons import registry
from celeryspan.decisions import blame, fingerprints, quarantine, suspectfeatures
from celeryspan.platform import names, objects, quarantine as records
from celeryspan.wire import messages


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "store", None, "HOST:PORT of the platform's store.", flag_values=values
    )


def _define_list(values: flags.FlagValues) -> None:
    _define(values)
    flags.DEFINE_boolean(
        "all",
        False,
        "Also show requests that are only suspected.",
        flag_values=values,
    )


@registry.command("quarantine", define=_define_list)
def list_requests(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show the requests that crash servers and are quarantined or isolated.

    Each line shows the fingerprint of a request or of a feature that requests share,
    which kind it is, how it is treated and since when, how long it ran before each
    crash, and the servers that crashed. Event 210 in the routers' logs contains the
    fingerprint, the features and the id of a request. With --all it also shows requests
    with too few crashes for a decision.
    """
    client = objects.ObjectClient(registry.require(values, "store", "HOST:PORT"))
    known = quarantine.Quarantine()
    known.merge(read_suspects(client)[0], 0)
    shown = [
        suspect
        for suspect in known.list_suspects()
        if known.find_standing(suspect.whole)
        in (tuple(quarantine.Standing) if values.all else DEFAULT_STANDINGS)
    ]
    if not shown:
        print("no request is in quarantine")
        return registry.Exit.DONE
    rich.console.Console(highlight=False).print(make_table(known, shown))
    return registry.Exit.DONE


DEFAULT_STANDINGS = (quarantine.Standing.QUARANTINED, quarantine.Standing.ISOLATED)
"""Standings that are shown without ``--all``."""


@registry.command("release", "FINGERPRINT", define=_define)
def release(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Release a request from quarantine, so that it is sent to servers again.

    The crashes that are known so far no longer count against it. Routers apply the
    release within about ten seconds. After three more crashes the request is
    quarantined again.
    """
    client = objects.ObjectClient(registry.require(values, "store", "HOST:PORT"))
    suspects, revision = read_suspects(client)
    known = quarantine.Quarantine()
    known.merge(suspects, 0)
    acquittal = known.acquit(parse_fingerprint(arguments[0]))
    if acquittal is None:
        print(f"no crash counts against {arguments[0]}")
        return registry.Exit.FAILED
    known.merge([acquittal], 0)
    spec = records.write(known.list_suspects())
    kind, name = names.QUARANTINE_KIND, names.QUARANTINE_NAME
    try:
        client.replace(kind, name, spec, revision)
    except errors.Conflict:
        print("a router updated the record meanwhile; nothing was written, try again")
        return registry.Exit.CONFLICT
    print(f"{arguments[0]} is released")
    return registry.Exit.DONE


def read_suspects(client: objects.ObjectClient) -> tuple[list[messages.Suspect], int]:
    """Return the stored suspects and their revision; ``([], 0)`` without a record."""
    try:
        found = client.get(names.QUARANTINE_KIND, names.QUARANTINE_NAME)
    except errors.NotFound:
        return [], 0
    return records.read(found), found.revision


def parse_fingerprint(text: str) -> int:
    """Parse a fingerprint in the format of the logs.

    Raises
    ------
    UsageError
        If the text is not a fingerprint.
    """
    digits = 2 * fingerprints.FINGERPRINT_BYTES
    try:
        if len(text) != digits:
            raise ValueError
        return int(text, 16)
    except ValueError:
        raise registry.UsageError(
            f"expected a fingerprint of {digits} hexadecimal digits, found {text!r}"
        ) from None


def make_table(
    known: quarantine.Quarantine, shown: Iterable[messages.Suspect]
) -> rich.table.Table:
    """Return a table with one row for each request."""
    table = rich.table.Table(title="requests that crash servers", title_justify="left")
    for column in ("fingerprint", "kind", "treated as", "since", "ran for ms"):
        table.add_column(column, no_wrap=column != "since")
    table.add_column("servers")
    for suspect in shown:
        strikes = blame.list_strikes(suspect) or suspect.strikes
        since = datetime.datetime.fromtimestamp(
            max(strike.at_ms for strike in strikes) / 1000, datetime.UTC
        )
        table.add_row(
            fingerprints.format_fingerprint(suspect.whole),
            suspectfeatures.name_kind(suspect.kind),
            known.find_standing(suspect.whole).value,
            f"{since:%Y-%m-%d %H:%M:%S} UTC",
            ", ".join(str(strike.run_ms) for strike in strikes),
            ", ".join(strike.crash.partition("@")[0] for strike in strikes),
        )
    return table
