"""Tables of the command ``status``."""

from __future__ import annotations

import collections

import rich.console
import rich.table

from celeryspan.adapters import routers


def print_status(
    reports: list[routers.Report], console: rich.console.Console | None = None
) -> None:
    """Print routers, homes and client accounts."""
    console = console or rich.console.Console(highlight=False)
    console.print(make_router_table(reports))
    console.print(make_home_table(reports))
    console.print(make_account_table(reports))


def make_router_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one line for each router."""
    table = _make_table(
        "routers",
        ("router", "data centre", "address", "generation", "members", "in progress"),
        right=("generation", "members", "in progress"),
    )
    for report in reports:
        if report.error:
            table.add_row("-", "-", report.address, "-", "-", "does not answer")
            continue
        caller = report.get_service("caller")
        progress = str(caller.get("in_progress", "-"))
        if caller.get("draining"):
            progress += ", draining"
        table.add_row(
            str(report.fields.get("router", "-")),
            str(report.fields.get("data_centre", "-")),
            report.address,
            str(report.get_service("configuration").get("generation", "none")),
            _count_members(report),
            progress,
        )
    return table


def make_home_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one line for each backend server.

    Several homes of one server are all shown: then routers disagree about who is
    alive, which heals by itself or is a partition.
    """
    homes: dict[str, set[str]] = collections.defaultdict(set)
    for report in reports:
        for server, home in report.get_service("homes").get("homes", {}).items():
            homes[server].add(str(home))
    table = _make_table("homes", ("backend server", "home"))
    for server, found in sorted(homes.items()):
        table.add_row(server, ", ".join(sorted(found)))
    return table


def make_account_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one line for each service and client account."""
    waiting: collections.Counter[tuple[str, str]] = collections.Counter()
    received: collections.Counter[tuple[str, str]] = collections.Counter()
    for report in reports:
        for row in report.get_service("dispatch").get("accounts", []):
            key = (str(row["service"]), str(row["account"]))
            waiting[key] += row.get("waiting", 0)
            received[key] += row.get("received", 0.0)
    table = _make_table(
        "client accounts",
        ("service", "client account", "backlog", "service received"),
        right=("backlog", "service received"),
    )
    for key in sorted(waiting.keys() | received.keys()):
        table.add_row(*key, str(waiting[key]), f"{received[key]:.0f}")
    return table


def _make_table(
    title: str, columns: tuple[str, ...], right: tuple[str, ...] = ()
) -> rich.table.Table:
    table = rich.table.Table(title=title, title_justify="left", box=None)
    for column in columns:
        table.add_column(column, justify="right" if column in right else "left")
    return table


def _count_members(report: routers.Report) -> str:
    members = report.get_service("membership").get("members", [])
    states = collections.Counter(str(member.get("state", "?")) for member in members)
    return ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
