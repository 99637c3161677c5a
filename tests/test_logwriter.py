"""Log lines reach their file whole and in order."""

from __future__ import annotations

import io
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


def test_lines_that_wait_are_bounded(monkeypatch) -> None:
    monkeypatch.setattr(logwriter, "LINES_MAX", 10)
    monkeypatch.setattr(logwriter, "FLUSH_SECONDS", 3600.0)
    file = io.StringIO()
    writer = logwriter.LogWriter(file)
    for _ in range(25):
        writer.write("line\n")
    assert len(file.getvalue().splitlines()) >= 15


def test_bytes_are_refused_as_by_a_text_file() -> None:
    with pytest.raises(TypeError):
        logwriter.LogWriter(io.StringIO()).write(b"line\n")
