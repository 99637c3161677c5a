"""What is said of requests, from the stored logs of two routers.

The logs are those of a session before stand-ins: a draft in time, one whose home is
the other router, one that pauses for too long, one that is too large, a booking whose
answer never came, a call that a server failed, and a path that no route has.
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
def test_session_reads_as_stored(
    request_id: str, snapshot: syrupy.SnapshotAssertion
) -> None:
    log = loglines.read_files(LOGS)
    assert "\n".join(explanations.explain(request_id, log)) == snapshot


@pytest.mark.parametrize("cut", range(0, 400, 7))
def test_cut_log_is_explained_as_far_as_it_goes(
    cut: int, tmp_path: pathlib.Path
) -> None:
    """A collector kept the end of a log only; its first line is torn."""
    text = pathlib.Path(LOGS[0]).read_text()
    path = tmp_path / "edge-1.log"
    path.write_text(text[cut:])
    log = loglines.read_files([str(path), LOGS[1]])
    assert explanations.explain("draft-2", log)[-1] == "so: answered in time"


def make_line(number: int, at: float, **fields: object) -> loglines.Line:
    return loglines.Line("edge-1", at, number, {"request": "r", **fields})


LATE = {"outcome": "ran", "first": 1.2, "objective": 0.6, "gap": 0.0, "gap_max": 0.3}


@pytest.mark.parametrize(
    ("grant", "sends", "expected"),
    [
        ({"waited": 0.9, "pending": 0.0, "read": 0.1}, 1, "it waited 0.9 s"),
        ({"waited": 0.1, "pending": 0.5, "read": 0.4}, 1, "reading of 0.9 s"),
        ({"waited": 0.1, "pending": 0.0, "read": 0.1}, 2, "it was sent 2 times"),
        ({"waited": 0.1, "pending": 0.0, "read": 0.1}, 1, "the server took longer"),
    ],
)
def test_late_answer_names_the_step_that_took_the_time(
    grant: dict[str, object], sends: int, expected: str
) -> None:
    lines = [make_line(301, 0.0, **grant)]
    lines += [make_line(203, 0.1, server="i-1") for _ in range(sends)]
    lines += [make_line(204, 1.3, **LATE)]
    told = explanations.conclude(lines)
    assert told.startswith("answered late by its first event")
    assert expected in told


def test_request_without_an_end_says_what_may_be_known() -> None:
    sent = make_line(203, 0.0, server="i-1")
    assert "no end is logged" in explanations.conclude([sent])
    assert "nothing was sent" in explanations.conclude([make_line(301, 0.0)])


def test_unknown_request_says_how_much_was_read() -> None:
    log = loglines.read_files(LOGS)
    with pytest.raises(errors.InputError, match="found none among"):
        explanations.explain("somebody-elses", log)


def test_command_prints_the_explanation(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["explain", "nowhere", *LOGS]) is registry.Exit.DONE
    assert "so: refused (no-route) before anything was sent" in capsys.readouterr().out
    assert command.main(["explain", "nowhere"]) is registry.Exit.USAGE
    assert command.main(["explain", "gone", *LOGS]) is registry.Exit.INVALID
