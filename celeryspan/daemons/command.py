"""The command ``celeryspan``: finds the command, reads its flags, runs it."""

from __future__ import annotations

import sys

from absl import flags

from celeryspan import VERSION, errors, yamlfiles
from celeryspan.daemons import (  # noqa: F401 - modules of commands register them
    demo,
    gateway,
    operations,
    platformdemo,
    quarantine,
    registry,
    router,
    tracing,
)

HELP_NAMES = ("help", "--help", "-h", "-help")

PROGRAM = "celeryspan"


def run() -> None:
    """Run the command line and exit."""
    sys.exit(int(main(sys.argv[1:])))


def main(arguments: list[str]) -> registry.Exit:
    """Run one command.

    Parameters
    ----------
    arguments : list of str
        What follows the program's name.

    Returns
    -------
    Exit
        The exit code of the process.
    """
    if not arguments or arguments[0] in HELP_NAMES:
        print(render_help())
        return registry.Exit.DONE if arguments else registry.Exit.USAGE
    found = registry.COMMANDS.get(arguments[0])
    if found is None:
        names = ", ".join(sorted(registry.COMMANDS))
        return refuse(f"expected a command ({names}), found {arguments[0]!r}")
    if any(argument in HELP_NAMES[1:] for argument in arguments[1:]):
        print(render_command_help(found))
        return registry.Exit.DONE
    return read_flags(found, arguments[1:])


def read_flags(found: registry.Command, arguments: list[str]) -> registry.Exit:
    """Read the flags and arguments of a command, and run it."""
    values = flags.FlagValues()
    found.define(values)
    try:
        rest = values([PROGRAM, *arguments])[1:]
    except flags.Error as error:
        return refuse(f"{found.name}: {' '.join(str(error).split())}")
    if not found.takes(len(rest)):
        expected = " ".join(found.arguments) or "no arguments"
        return refuse(
            f"{found.name}: expected {expected}, found {' '.join(rest) or 'none'}"
        )
    return run_command(found, rest, values)


def run_command(
    found: registry.Command, arguments: list[str], values: flags.FlagValues
) -> registry.Exit:
    """Run a command whose flags and arguments are read; print its errors."""
    try:
        return found.run(arguments, values)
    except registry.UsageError as error:
        return refuse(f"{found.name}: {error}")
    except errors.InputError as error:
        return fail([str(error)], registry.Exit.INVALID)
    except errors.Conflict as error:
        return fail([str(error)], registry.Exit.CONFLICT)
    except errors.CeleryspanError as error:
        return fail([str(error)], registry.Exit.FAILED)
    except ExceptionGroup as group:
        code = registry.Exit.FAILED
        if group.subgroup(errors.InputError):
            code = registry.Exit.INVALID
        return fail(yamlfiles.list_faults(group), code)
    except KeyboardInterrupt:
        return fail(["interrupted"], registry.Exit.FAILED)


def render_help() -> str:
    """Return the list of commands and exit codes."""
    lines = [
        f"{PROGRAM} {VERSION}: routers through which client accounts share capacity",
        "",
        f"usage: {PROGRAM} COMMAND [ARGUMENTS] [FLAGS]",
        "",
    ]
    for _, item in sorted(registry.COMMANDS.items()):
        usage = " ".join((item.name, *item.arguments))
        lines.append(f"  {usage:<24} {item.summary}")
    lines += ["", f"'{PROGRAM} COMMAND --help' shows a command's flags.", ""]
    return "\n".join([*lines, *_render_exit_codes()])


def render_command_help(found: registry.Command) -> str:
    """Return what a command does, its flags and the exit codes."""
    values = flags.FlagValues()
    found.define(values)
    usage = " ".join((PROGRAM, found.name, *found.arguments))
    lines = [f"usage: {usage}{' [FLAGS]' if len(values) else ''}", "", found.summary]
    if found.text:
        lines += ["", found.text.rstrip()]
    if len(values):
        lines += ["", "flags:"]
    for name in values:
        flag = values[name]
        default = "" if flag.value in (None, False, "") else f" [{flag.value}]"
        lines.append(f"  --{name:<16} {flag.help}{default}")
    return "\n".join([*lines, "", *_render_exit_codes()])


def refuse(message: str) -> registry.Exit:
    """Print one line about a wrong command line."""
    return fail([f"{message}; see '{PROGRAM} --help'"], registry.Exit.USAGE)


def fail(lines: list[str], code: registry.Exit) -> registry.Exit:
    """Print errors, one a line, and return the exit code."""
    for line in lines:
        print(f"{PROGRAM}: {line}", file=sys.stderr)
    return code


def _render_exit_codes() -> list[str]:
    texts = registry.EXIT_TEXTS.items()
    return ["exit codes:", *(f"  {int(code)}  {text}" for code, text in texts)]


if __name__ == "__main__":
    run()
