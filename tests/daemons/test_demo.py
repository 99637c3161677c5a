"""The demo's list of violated guarantees, its gap measurement and its table."""

from __future__ import annotations

from celeryspan.daemons import demo
from standins import callers, fairness, fleet


def make_ask(mark: str, ending: callers.Ending) -> callers.Ask:
    return callers.Ask(
        "tower", fleet.GATE, mark, 1.0, first=1.5, ended=2.0, ending=ending
    )


def make_calls(*marks: str) -> list[dict]:
    return [{"path": f"/clearances/{mark}"} for mark in marks]


def test_complete_answers_violate_nothing() -> None:
    asks = [make_ask("ask-1", callers.Ending.ANSWERED)]
    assert demo.list_violations(asks, make_calls("ask-1")) == []


def test_violations_are_listed() -> None:
    asks = [
        make_ask("ask-1", callers.Ending.ANSWERED),
        make_ask("ask-2", callers.Ending.INCOMPLETE),
        make_ask("ask-3", callers.Ending.NOT_RUN),
        make_ask("ask-4", callers.Ending.UNKNOWN),
    ]
    violations = demo.list_violations(
        asks, make_calls("ask-1", "ask-1", "ask-3", "ask-4")
    )
    assert [line.split(":")[0] for line in violations] == [
        "incomplete",
        "reported not-run, but executed",
        "executed more than once",
    ]


def test_gap_is_the_divergence_of_two_backlogged_accounts() -> None:
    gap = fairness.Gap()
    both = {"a", "b"}
    gap.note({"a": 100.0, "b": 0.0}, both)
    gap.note({"a": 130.0, "b": 10.0}, both)
    gap.note({"a": 130.0, "b": 40.0}, both)
    assert gap.greatest == 30.0


def test_gap_is_reset_when_an_account_stops_waiting() -> None:
    gap = fairness.Gap()
    gap.note({"a": 0.0, "b": 0.0}, {"a", "b"})
    gap.note({"a": 500.0, "b": 0.0}, {"a"})
    gap.note({"a": 500.0, "b": 0.0}, {"a", "b"})
    assert gap.greatest == 0.0


def test_table_has_a_row_for_each_account() -> None:
    table = demo.make_table([make_ask("ask-1", callers.Ending.ANSWERED)])
    assert table.row_count == 1
