"""The registry of commands, and the exit codes."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec
from absl import flags

from celeryspan import errors


class Exit(enum.IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4


class UsageError(errors.CeleryspanError):
    """The command line lacks a required value or has an invalid one."""


EXIT_TEXTS = {
    Exit.DONE: "done",
    Exit.FAILED: "the command failed: no answer, or an unexpected result",
    Exit.USAGE: "unknown command or flag, or a wrong number of arguments",
    Exit.INVALID: "a file is not valid; each error is one line",
    Exit.CONFLICT: "another change was written first; nothing was written",
}

Runner = Callable[[list[str], flags.FlagValues], Exit]
FlagDefiner = Callable[[flags.FlagValues], None]


class Command(msgspec.Struct, frozen=True):
    """One command of the command line.

    Attributes
    ----------
    arguments : tuple of str
        Names of the arguments as shown in the help. A last name that ends with three
        dots accepts one or more values.
    summary : str
        One-line description for the overview of commands.
    text : str
        Full description for the help of the command.
    define : callable
        Function that defines the flags of the command.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    text: str
    run: Runner
    define: FlagDefiner

    def accepts(self, count: int) -> bool:
        """Return whether the command accepts this number of arguments."""
        if self.arguments and self.arguments[-1].endswith("..."):
            return count >= len(self.arguments)
        return count == len(self.arguments)


COMMANDS: dict[str, Command] = {}


def require(values: flags.FlagValues, name: str, kind: str) -> str:
    """Return the value of a required flag.

    Raises
    ------
    UsageError
        If the flag was not given.
    """
    value = values[name].value
    if not value:
        raise UsageError(f"expected --{name} {kind}, found nothing")
    return value


def define_no_flags(values: flags.FlagValues) -> None:
    """Define no flags: the default for commands without any."""


def command(
    name: str, *arguments: str, define: FlagDefiner = define_no_flags
) -> Callable[[Runner], Runner]:
    """Register a function as a command; its docstring becomes the help text."""

    def decorate(run: Runner) -> Runner:
        lines = (run.__doc__ or "").strip().splitlines()
        text = "\n".join(line.removeprefix("    ") for line in lines[2:])
        COMMANDS[name] = Command(name, arguments, lines[0], text, run, define)
        return run

    return decorate
