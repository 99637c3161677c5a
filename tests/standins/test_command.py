"""Tests of the command that runs a single stand-in."""

from __future__ import annotations

import subprocess
import sys

import pytest
import urllib3

from standins import command

EXIT_TIMEOUT_SECONDS = 20


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ([], "expected one of store, engine, service, found nothing"),
        (["oracle"], "expected one of store, engine, service, found oracle"),
        (["store", "--nope"], "Unknown command line flag 'nope'"),
    ],
)
def test_usage_error_prints_one_line_and_exits_with_2(
    arguments: list[str], expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(["celeryspan-standin", *arguments]) == 2
    printed = capsys.readouterr().err
    assert expected in printed
    assert printed.count("\n") == 1


def test_help_lists_every_flag(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["celeryspan-standin", "--help"]) == 0
    printed = capsys.readouterr().out
    assert all(f"--{name} " in printed for name in command.FLAGS)


@pytest.mark.parametrize(
    ("kind", "path"),
    [("store", "/_calls"), ("engine", "/load"), ("service", "/load")],
)
def test_serves_until_sigterm(kind: str, path: str) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.command", kind, "--port=0"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        address = process.stdout.readline().split()[-1]
        assert urllib3.request("GET", f"http://{address}{path}").status == 200
        process.terminate()
        assert process.wait(EXIT_TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
        process.communicate()
