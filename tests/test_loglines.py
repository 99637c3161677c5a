"""Logs from collectors: truncated, duplicated, interleaved and prefixed lines."""

from __future__ import annotations

import json
import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import errors, loglines


def make_line(number: int, at: float, **fields: object) -> str:
    return json.dumps({"number": number, **fields, "timestamp": at})


def test_lines_of_several_files_are_sorted_by_time(tmp_path: pathlib.Path) -> None:
    for name, times in (("edge-1", (3.0, 1.0)), ("edge-2", (2.0,))):
        text = "\n".join(make_line(203, at, request="r") for at in times)
        (tmp_path / f"{name}.log").write_text(text)
    log = loglines.read_files(str(path) for path in tmp_path.iterdir())
    assert [(line.router, line.at) for line in log.lines] == [
        ("edge-1", 1.0),
        ("edge-2", 2.0),
        ("edge-1", 3.0),
    ]
    assert log.unreadable == 0


def test_prefix_of_a_line_names_the_router() -> None:
    log = loglines.Log()
    text = f"  24.787 edge-7 {make_line(202, 5.0)}\nedge-8 {make_line(202, 6.0)}"
    loglines.read_text(text, "file", log)
    assert [line.router for line in log.lines] == ["edge-7", "edge-8"]


def test_lines_joined_without_a_newline_are_both_read() -> None:
    """A process that ends during a make_line leaves a line without its newline."""
    log = loglines.Log()
    loglines.read_text(
        make_line(203, 1.0) + "  9.1 edge-2 " + make_line(204, 2.0), "a", log
    )
    assert [line.number for line in log.lines] == [203, 204]


def test_truncated_line_is_counted_and_others_are_read() -> None:
    log = loglines.Log()
    whole = make_line(203, 1.0, request="r")
    loglines.read_text(f"{whole[:30]}\n{whole}\n{whole[30:]}", "edge-1", log)
    assert (len(log.lines), log.unreadable) == (1, 2)


def test_duplicated_line_is_read_once(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "edge-1.log"
    path.write_text(f"{make_line(203, 1.0)}\n{make_line(203, 1.0)}\n")
    assert len(loglines.read_files([str(path)]).lines) == 1


def test_missing_file_is_named_in_the_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.InputError, match=r"nope.log: expected a log file"):
        loglines.read_files([str(tmp_path / "nope.log")])


@hypothesis.given(strategies.text(max_size=300))
def test_arbitrary_text_raises_no_error(text: str) -> None:
    log = loglines.Log()
    loglines.read_text(text + "\n" + make_line(101, 1.0), "edge-1", log)
    assert log.lines[-1].number == 101
