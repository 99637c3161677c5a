"""The demo's list of violated guarantees, its gap measurement and its table."""

from __future__ import annotations

from celeryspan.daemons import demo
from standins import callers, fairness, fleet


def make_ask(mark: str, outcome: callers.Outcome) -> callers.CallerRequest:
    return callers.CallerRequest(
        "tower", fleet.GATE, mark, 1.0, first_byte_at=1.5, ended_at=2.0, outcome=outcome
    )


def make_calls(*marks: str) -> list[dict]:
    return [{"path": f"/clearances/{mark}"} for mark in marks]


def test_complete_answers_violate_nothing() -> None:
    asks = [make_ask("ask-1", callers.Outcome.ANSWERED)]
    assert demo.list_violations(asks, make_calls("ask-1")) == []


def test_violations_are_listed() -> None:
    asks = [
        make_ask("ask-1", callers.Outcome.ANSWERED),
        make_ask("ask-2", callers.Outcome.INCOMPLETE),
        make_ask("ask-3", callers.Outcome.NOT_RUN),
        make_ask("ask-4", callers.Outcome.UNKNOWN),
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
    gap = fairness.FairnessGap()
    both = {"a", "b"}
    gap.add_sample({"a": 100.0, "b": 0.0}, both)
    gap.add_sample({"a": 130.0, "b": 10.0}, both)
    gap.add_sample({"a": 130.0, "b": 40.0}, both)
    assert gap.greatest == 30.0


def test_gap_is_reset_when_an_account_stops_waiting() -> None:
    gap = fairness.FairnessGap()
    gap.add_sample({"a": 0.0, "b": 0.0}, {"a", "b"})
    gap.add_sample({"a": 500.0, "b": 0.0}, {"a"})
    gap.add_sample({"a": 500.0, "b": 0.0}, {"a", "b"})
    assert gap.greatest == 0.0


def test_table_has_a_row_for_each_account() -> None:
    table = demo.make_table([make_ask("ask-1", callers.Outcome.ANSWERED)])
    assert table.row_count == 1
