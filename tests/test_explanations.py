"""Explanations of requests from the stored logs of two routers.

The logs were recorded with stand-in servers. They hold a draft in time, one whose home
is the other router, one with a pause that is too long, one that is too large, a booking
without an answer, a call that one server failed, and a path without a route.
"""

from __future__ import annotations

import pathlib

import pytest
import syrupy

from celeryspan import errors, explanations, loglines
from celeryspan.daemons import command, registry

FOLDER = pathlib.Path(__file__).parent / "data" / "session"
LOGS = [str(path) for path in sorted(FOLDER.iterdir())]

REQUESTS = (
    "draft-in-time",
    "draft-2",
    "draft-with-pause",
    "draft-too-large",
    "booking-unknown",
    "call-repeated",
    "nowhere",
)


@pytest.mark.parametrize("request_id", REQUESTS)
def test_explanation_matches_snapshot(
    request_id: str, snapshot: syrupy.SnapshotAssertion
) -> None:
    log = loglines.read_files(LOGS)
    assert "\n".join(explanations.explain(request_id, log)) == snapshot


@pytest.mark.parametrize("cut", range(0, 400, 7))
def test_truncated_log_is_explained(cut: int, tmp_path: pathlib.Path) -> None:
    """A collector kept only the end of a log, so that its first line is incomplete."""
    text = pathlib.Path(LOGS[0]).read_text()
    path = tmp_path / "edge-1.log"
    path.write_text(text[cut:])
    log = loglines.read_files([str(path), LOGS[1]])
    assert explanations.explain("draft-2", log)[-1] == "conclusion: answered in time"


def make_line(number: int, at: float, **fields: object) -> loglines.Line:
    return loglines.Line("edge-1", at, number, {"request": "r", **fields})


LATE = {"outcome": "ran", "first": 1.2, "objective": 0.6, "gap": 0.0, "gap_max": 0.3}


@pytest.mark.parametrize(
    ("grant", "sends", "expected"),
    [
        ({"waited": 0.9, "pending": 0.0, "read": 0.1}, 1, "it waited 0.9 s"),
        (
            {"waited": 0.1, "pending": 0.5, "read": 0.4},
            1,
            "an estimated 0.9 s of prefill",
        ),
        ({"waited": 0.1, "pending": 0.0, "read": 0.1}, 2, "it was sent 2 times"),
        ({"waited": 0.1, "pending": 0.0, "read": 0.1}, 1, "the server took longer"),
    ],
)
def test_late_first_event_names_its_cause(
    grant: dict[str, object], sends: int, expected: str
) -> None:
    lines = [make_line(301, 0.0, **grant)]
    lines += [make_line(203, 0.1, server="i-1") for _ in range(sends)]
    lines += [make_line(204, 1.3, **LATE)]
    described = explanations.describe_outcome(lines)
    assert described.startswith("answered late, first event after its objective: ")
    assert expected in described


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (
            {"origin": "q-1", "version": "v1.2", "above": "3", "verdict": "goes-on"},
            "began as q-1 at software version v1.2 taken up after event '3': goes-on",
        ),
        (
            {"origin": "", "version": "", "above": "3", "verdict": "origin-unknown"},
            "began as an unnamed request taken up after event '3': origin-unknown",
        ),
    ],
)
def test_take_up_names_origin_version_and_verdict(
    fields: dict[str, object], expected: str
) -> None:
    line = make_line(213, 0.0, **fields)
    assert expected in explanations.EXPLANATIONS[line.number](line.fields)


def test_refusal_because_all_servers_reject_is_told_in_words() -> None:
    """Guards against operators who look for a full pool."""
    refused = make_line(202, 0.1, code="servers-rejecting", outcome="not-run")
    home = make_line(311, 0.0, reason="servers-rejecting", waited=0.0, retry_after=0.4)
    words = "all servers of the pool reject requests"
    assert words in explanations.describe_outcome([home, refused])
    assert words in explanations.EXPLANATIONS[home.number](home.fields)


def test_request_without_a_logged_end() -> None:
    sent = make_line(203, 0.0, server="i-1")
    assert "no end is logged" in explanations.describe_outcome([sent])
    assert "nothing was sent" in explanations.describe_outcome([make_line(301, 0.0)])


def test_unknown_request_reports_the_number_of_lines() -> None:
    log = loglines.read_files(LOGS)
    with pytest.raises(errors.InputError, match="found none among"):
        explanations.explain("somebody-elses", log)


def test_command_prints_the_explanation(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["explain", "nowhere", *LOGS]) is registry.Exit.DONE
    assert (
        "conclusion: refused (no-route) before anything was sent"
        in capsys.readouterr().out
    )
    assert command.main(["explain", "nowhere"]) is registry.Exit.USAGE
    assert command.main(["explain", "gone", *LOGS]) is registry.Exit.INVALID
