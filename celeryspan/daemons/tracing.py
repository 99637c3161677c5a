"""The command ``explain``, which needs only the logs of routers."""

from __future__ import annotations

from absl import flags

from celeryspan import explanations, loglines
from celeryspan.daemons import registry


@registry.command("explain", "REQUEST", "LOG...")
def explain(arguments: list[str], _: flags.FlagValues) -> registry.Exit:
    """Explain the course of one request from the logs of routers.

    REQUEST is the id that the caller received. Each LOG is a file with the log of one
    router, or of several if each line is prefixed with the router's name. Truncated
    lines are skipped.
    """
    for line in explanations.explain(arguments[0], loglines.read_files(arguments[1:])):
        print(line)
    return registry.Exit.DONE
