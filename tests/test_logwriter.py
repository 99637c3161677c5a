"""Log lines reach their file whole and in order."""

from __future__ import annotations

import io
import json
import threading

import pytest

from celeryspan import logwriter


def test_lines_of_many_threads_come_whole_and_in_each_threads_order() -> None:
    file = io.StringIO()
    writer = logwriter.LogWriter(file)

    def log(name: str) -> None:
        for number in range(200):
            writer.write(f"{name} {number}\n")

    threads = [threading.Thread(target=log, args=(name,)) for name in "abc"]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    writer.write_out()
    lines = [line.split() for line in file.getvalue().splitlines()]
    for name in "abc":
        assert [int(number) for who, number in lines if who == name] == [*range(200)]


def test_lines_that_wait_are_bounded_and_those_dropped_are_counted(
    monkeypatch,
) -> None:
    """Whatever reads the log has stopped.

    A process that keeps all lines runs out of memory; one whose threads write them
    stops with the reader.
    """
    monkeypatch.setattr(logwriter, "LINES_MAX", 10)
    monkeypatch.setattr(logwriter, "FLUSH_SECONDS", 3600.0)
    file = io.StringIO()
    writer = logwriter.LogWriter(file)
    for _ in range(25):
        writer.write("line\n")
    assert file.getvalue() == ""
    writer.write_out()
    *lines, last = file.getvalue().splitlines()
    assert lines == ["line"] * 10
    assert json.loads(last)["count"] == 15


def test_bytes_are_refused_as_by_a_text_file() -> None:
    with pytest.raises(TypeError):
        logwriter.LogWriter(io.StringIO()).write(b"line\n")
