"""Starts the router daemon of the users' platform with its signals held back first.

Importing the daemon takes some tenths of a second. A SIGHUP in that time ends a process
that has not blocked it yet, seen as a router that ends by itself while its settings
change. Blocked before anything else is imported, signals wait until the daemon takes
them; what is left is the start of the interpreter.
"""

from __future__ import annotations

import importlib
import signal

HELD = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def main() -> None:
    """Import the daemon and run it."""
    importlib.import_module("celeryspan.daemons.gateway").main()


if __name__ == "__main__":
    main()
