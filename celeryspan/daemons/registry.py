"""The commands of the command line, and what their exit codes mean."""

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
    """The command line lacks something that the command needs."""


EXIT_TEXTS = {
    Exit.DONE: "done",
    Exit.FAILED: "it did not work: no answer, or not what was asked for",
    Exit.USAGE: "unknown command or flag, or a wrong number of arguments",
    Exit.INVALID: "a file is not valid; each fault is one line",
    Exit.CONFLICT: "another operator was faster; nothing was written",
}

Runner = Callable[[list[str], flags.FlagValues], Exit]
Definer = Callable[[flags.FlagValues], None]


class Command(msgspec.Struct, frozen=True):
    """One command of the command line.

    Attributes
    ----------
    arguments : tuple of str
        Names of the arguments, as the help shows them; one that ends with three dots
        stands for one or more.
    summary : str
        One line for the list of commands.
    text : str
        What the command does, for its own help.
    define : callable
        Defines the flags of the command.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    text: str
    run: Runner
    define: Definer

    def takes(self, count: int) -> bool:
        """Whether so many arguments fit."""
        if self.arguments and self.arguments[-1].endswith("..."):
            return count >= len(self.arguments)
        return count == len(self.arguments)


COMMANDS: dict[str, Command] = {}


def require(values: flags.FlagValues, name: str, kind: str) -> str:
    """Return the value of a flag.

    Raises
    ------
    UsageError
        If it was not given.
    """
    value = values[name].value
    if not value:
        raise UsageError(f"expected --{name} {kind}, found nothing")
    return value


def define_nothing(values: flags.FlagValues) -> None:
    """Define no flags."""


def command(
    name: str, *arguments: str, define: Definer = define_nothing
) -> Callable[[Runner], Runner]:
    """Put a function into the registry; its doc comment becomes the help."""

    def decorate(run: Runner) -> Runner:
        lines = (run.__doc__ or "").strip().splitlines()
        text = "\n".join(line.removeprefix("    ") for line in lines[2:])
        COMMANDS[name] = Command(name, arguments, lines[0], text, run, define)
        return run

    return decorate
