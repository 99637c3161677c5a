"""Commands of on-call engineers, who have logs only: explain."""

from __future__ import annotations

from absl import flags

from celeryspan import explanations, loglines
from celeryspan.daemons import registry


@registry.command("explain", "REQUEST", "LOG...")
def explain(arguments: list[str], _: flags.FlagValues) -> registry.Exit:
    """Say in words what became of one request, from the logs of many routers.

    REQUEST is the id that the caller was told. Each LOG is a file with the log of one
    router, or of several with their names before the lines; cut lines are left out.
    """
    for line in explanations.explain(arguments[0], loglines.read_files(arguments[1:])):
        print(line)
    return registry.Exit.DONE
