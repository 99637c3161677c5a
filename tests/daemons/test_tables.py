"""The tables of the command ``status``, from reports of several routers."""

from __future__ import annotations

import io

import rich.console

from celeryspan.adapters import routers
from celeryspan.daemons import tables


def make_report(name: str, **services: dict) -> routers.Report:
    return routers.Report(
        f"10.0.0.1:{name[-1]}",
        {"router": name, "data_centre": "hala-a", "services": services},
    )


def render(*reports: routers.Report) -> list[str]:
    file = io.StringIO()
    tables.print_status(list(reports), rich.console.Console(file=file, width=120))
    return [" ".join(line.split()) for line in file.getvalue().splitlines()]


def test_router_row_has_generation_members_and_progress() -> None:
    members = {
        "entry-1": {"state": "alive", "generation": 7},
        "entry-2": {"state": "alive", "generation": 6},
        "entry-3": {"state": "suspect", "generation": 6},
    }
    lines = render(
        make_report(
            "entry-1",
            configuration={"generation": 7},
            membership={"members": members},
            caller={"in_progress": 4, "draining": True},
        )
    )
    assert "entry-1 hala-a 10.0.0.1:1 7 2 alive, 1 suspect, draining 4" in lines


def test_router_without_configuration_and_unreachable_router() -> None:
    silent = routers.Report("10.0.0.1:9", {"error": "refused"}, "refused")
    lines = render(make_report("entry-1"), silent)
    assert "entry-1 hala-a 10.0.0.1:1 none 0" in lines
    assert "- - 10.0.0.1:9 - does not answer -" in lines


def test_two_homes_of_one_server_are_both_shown() -> None:
    lines = render(
        make_report("entry-1", assignment={"homes": {"gate-1": "entry-1"}}),
        make_report("entry-2", assignment={"homes": {"gate-1": "entry-2"}}),
    )
    assert "gate-1 entry-1, entry-2" in lines


def test_backlog_is_summed_and_service_received_is_the_maximum() -> None:
    """Each router counts the service of the whole fleet, but only its own queue."""
    lines = render(
        make_report(
            "entry-1",
            dispatch={"waiting": {"gate-desk/tower": 2}},
            counters={"received": {"gate-desk/tower": 90.0}},
        ),
        make_report(
            "entry-2",
            dispatch={"waiting": {"gate-desk/tower": 3}},
            counters={"received": {"gate-desk/tower": 100.0}},
        ),
    )
    assert "gate-desk tower 5 100" in lines
