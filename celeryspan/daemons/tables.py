"""Renders the tables of the command ``status``."""

from __future__ import annotations

import collections

import rich.console
import rich.table

from celeryspan.adapters import routers


def print_status(
    reports: list[routers.Report], console: rich.console.Console | None = None
) -> None:
    """Print the tables of routers, homes and client accounts."""
    console = console or rich.console.Console(highlight=False)
    console.print(make_router_table(reports))
    console.print(make_home_table(reports))
    console.print(make_account_table(reports))


def make_router_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one row for each router."""
    table = _make_table(
        "routers",
        ("router", "data centre", "address", "generation", "members", "in progress"),
        right=("generation", "in progress"),
    )
    for report in reports:
        if report.error:
            table.add_row("-", "-", report.address, "-", "does not answer", "-")
            continue
        table.add_row(
            report.router,
            report.data_centre,
            report.address,
            str(report.generation or "none"),
            _count_members(report) + (", draining" if report.draining else ""),
            str(report.in_progress),
        )
    return table


def make_home_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one row for each backend server.

    If routers report different homes of a server, all are shown. They then disagree
    about which routers are alive, either for a short time or because of a partition.
    """
    homes: dict[str, set[str]] = collections.defaultdict(set)
    for report in reports:
        for server, home in report.homes.items():
            homes[server].add(home)
    table = _make_table("homes", ("backend server", "home"))
    for server, found in sorted(homes.items()):
        table.add_row(server, ", ".join(sorted(found)))
    return table


def make_account_table(reports: list[routers.Report]) -> rich.table.Table:
    """Return a table with one row for each service and client account.

    The backlog is the sum over all routers. Each router counts the service received in
    the whole fleet, as far as it has been notified, so the maximum count is shown.
    """
    waiting: collections.Counter[str] = collections.Counter()
    received: dict[str, float] = {}
    for report in reports:
        waiting.update(report.waiting)
        for key, units in report.received.items():
            received[key] = max(received.get(key, 0.0), units)
    table = _make_table(
        "client accounts",
        ("service", "client account", "backlog", "service received"),
        right=("backlog", "service received"),
    )
    for key in sorted(waiting.keys() | received.keys()):
        service, _, account = key.partition("/")
        units = received.get(key, 0.0)
        table.add_row(service, account, str(waiting[key]), f"{units:.0f}")
    return table


def _make_table(
    title: str, columns: tuple[str, ...], right: tuple[str, ...] = ()
) -> rich.table.Table:
    table = rich.table.Table(title=title, title_justify="left", box=None)
    for column in columns:
        table.add_column(column, justify="right" if column in right else "left")
    return table


def _count_members(report: routers.Report) -> str:
    states = collections.Counter(member.state for member in report.members.values())
    return ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
