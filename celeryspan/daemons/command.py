"""Entry point of the command line: parses the flags of a command and runs it."""

from __future__ import annotations

import sys

from absl import flags

from celeryspan import VERSION, errors, yamlfiles
from celeryspan.daemons import (  # noqa: F401 - importing a module registers its commands
    demo,
    evacuation,
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
    """Run the command line and exit the process."""
    sys.exit(int(main(sys.argv[1:])))


def main(arguments: list[str]) -> registry.Exit:
    """Run one command.

    Parameters
    ----------
    arguments : list of str
        The command and its arguments, without the program name.

    Returns
    -------
    Exit
        Exit code of the process.
    """
    if not arguments or arguments[0] in HELP_NAMES:
        print(render_help())
        return registry.Exit.DONE if arguments else registry.Exit.USAGE
    subcommand = registry.COMMANDS.get(arguments[0])
    if subcommand is None:
        names = ", ".join(sorted(registry.COMMANDS))
        return report_usage_error(
            f"expected a command ({names}), found {arguments[0]!r}"
        )
    if any(argument in HELP_NAMES[1:] for argument in arguments[1:]):
        print(render_command_help(subcommand))
        return registry.Exit.DONE
    return parse_and_run(subcommand, arguments[1:])


def parse_and_run(subcommand: registry.Command, arguments: list[str]) -> registry.Exit:
    """Parse the flags and arguments of a command and run it."""
    values = flags.FlagValues()
    subcommand.define(values)
    try:
        rest = values([PROGRAM, *arguments])[1:]
    except flags.Error as error:
        return report_usage_error(f"{subcommand.name}: {' '.join(str(error).split())}")
    if not subcommand.accepts(len(rest)):
        expected = " ".join(subcommand.arguments) or "no arguments"
        return report_usage_error(
            f"{subcommand.name}: expected {expected}, found {' '.join(rest) or 'none'}"
        )
    return run_command(subcommand, rest, values)


def run_command(
    subcommand: registry.Command, arguments: list[str], values: flags.FlagValues
) -> registry.Exit:
    """Run a command with parsed flags and arguments, and print its errors."""
    try:
        return subcommand.run(arguments, values)
    except registry.UsageError as error:
        return report_usage_error(f"{subcommand.name}: {error}")
    except errors.InputError as error:
        return report_errors([str(error)], registry.Exit.INVALID)
    except errors.Conflict as error:
        return report_errors([str(error)], registry.Exit.CONFLICT)
    except errors.CeleryspanError as error:
        return report_errors([str(error)], registry.Exit.FAILED)
    except ExceptionGroup as group:
        code = registry.Exit.FAILED
        if group.subgroup(errors.InputError):
            code = registry.Exit.INVALID
        return report_errors(yamlfiles.list_faults(group), code)
    except KeyboardInterrupt:
        return report_errors(["interrupted"], registry.Exit.FAILED)


def render_help() -> str:
    """Return the overview of commands and exit codes."""
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


def render_command_help(subcommand: registry.Command) -> str:
    """Return the description of a command, its flags and the exit codes."""
    values = flags.FlagValues()
    subcommand.define(values)
    usage = " ".join((PROGRAM, subcommand.name, *subcommand.arguments))
    lines = [
        f"usage: {usage}{' [FLAGS]' if len(values) else ''}",
        "",
        subcommand.summary,
    ]
    if subcommand.text:
        lines += ["", subcommand.text.rstrip()]
    if len(values):
        lines += ["", "flags:"]
    for name in values:
        flag = values[name]
        default = "" if flag.value in (None, False, "") else f" [{flag.value}]"
        lines.append(f"  --{name:<16} {flag.help}{default}")
    return "\n".join([*lines, "", *_render_exit_codes()])


def report_usage_error(message: str) -> registry.Exit:
    """Print one line about a usage error and return its exit code."""
    return report_errors([f"{message}; see '{PROGRAM} --help'"], registry.Exit.USAGE)


def report_errors(lines: list[str], code: registry.Exit) -> registry.Exit:
    """Print errors, one per line, and return the exit code."""
    for line in lines:
        print(f"{PROGRAM}: {line}", file=sys.stderr)
    return code


def _render_exit_codes() -> list[str]:
    texts = registry.EXIT_TEXTS.items()
    return ["exit codes:", *(f"  {int(code)}  {text}" for code, text in texts)]


if __name__ == "__main__":
    run()
