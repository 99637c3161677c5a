"""The command line: usage errors, help, exit codes and printed messages."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import pytest

from celeryspan import publishing
from celeryspan.adapters import store as store_adapter
from celeryspan.daemons import command, registry
from standins import store
from tests import test_inputs

EXIT = registry.Exit


@pytest.fixture
def files(tmp_path: pathlib.Path) -> list[str]:
    """Write a valid register and rules, and return their paths."""
    paths = [tmp_path / "register.yaml", tmp_path / "rules.yaml"]
    for path, text in zip(paths, (test_inputs.REGISTER, "{}"), strict=True):
        path.write_text(text)
    return [str(path) for path in paths]


@pytest.fixture
def platform() -> Iterator[store.Store]:
    standin = store.Store()
    standin.start()
    yield standin
    standin.stop()


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["nope"], "expected a command"),
        (["check", "--nope"], "check: Unknown command line flag 'nope'"),
        (["check", "one"], "check: expected REGISTER RULES, found one"),
        (["version", "now"], "version: expected no arguments, found now"),
        (["router"], "router: expected --settings FILE, found nothing"),
        (["apply", "a", "b", "--wait", "x"], "could not convert string to float"),
    ],
)
def test_usage_error_prints_one_line_and_exits_with_2(
    arguments: list[str], expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(arguments) is EXIT.USAGE
    printed = capsys.readouterr()
    assert expected in printed.err
    assert printed.err.count("\n") == 1
    assert printed.out == ""


def test_every_command_has_help(capsys: pytest.CaptureFixture[str]) -> None:
    for name in registry.COMMANDS:
        assert command.main([name, "--help"]) is EXIT.DONE
        assert f"usage: celeryspan {name}" in capsys.readouterr().out
    assert command.main(["--help"]) is EXIT.DONE
    printed = capsys.readouterr().out
    assert all(f"  {name}" in printed for name in registry.COMMANDS)
    assert all(f"  {int(code)}  " in printed for code in registry.Exit)


def test_check_prints_each_error_and_exits_with_3(
    files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(["check", *files]) is EXIT.DONE
    pathlib.Path(files[1]).write_text("weights: {tower: 0}\nretirements: [gate-9]")
    capsys.readouterr()
    assert command.main(["check", *files]) is EXIT.INVALID
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_apply_writes_a_generation_and_prints_changes(
    files: list[str], platform: store.Store, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = ["apply", *files, "--store", str(platform.address), "--author", "jana"]
    assert command.main(arguments) is EXIT.DONE
    assert "generation 1 written: 8 changes by jana" in capsys.readouterr().out
    assert command.main(arguments) is EXIT.DONE
    assert capsys.readouterr().out == "no changes; generation 1 stays\n"
    pathlib.Path(files[1]).write_text("weights: {tower: 4}")
    assert command.main([*arguments, "--dry_run"]) is EXIT.DONE
    assert "~ weight tower: 1 -> 4" in capsys.readouterr().out
    assert command.main(arguments) is EXIT.DONE
    client = store_adapter.StoreClient(str(platform.address))
    assert publishing.read_stored(client).generation == 2


def test_apply_reports_an_unavailable_store(
    files: list[str], platform: store.Store, capsys: pytest.CaptureFixture[str]
) -> None:
    platform.control(down=True)
    arguments = ["apply", *files, "--store", str(platform.address)]
    assert command.main(arguments) is EXIT.FAILED
    assert "answered 503" in capsys.readouterr().err
