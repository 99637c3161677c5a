"""Starts the router daemon of the users' platform with its signals held back first.

Importing the daemon takes some tenths of a second. A SIGHUP in that time ends a process
that has not blocked it yet, seen as a router that ends by itself while its settings
change. Blocked before anything else is imported, signals wait until the daemon takes
them; what is left is the start of the interpreter.

What is imported lives as long as the process. The collector of cyclic garbage would
look through it again and again, first while it grows, then with each full collection,
in which all streams of the router pause.
"""

from __future__ import annotations

import gc
import importlib
import signal

HELD = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def main() -> None:
    """Import the daemon and run it."""
    gc.disable()
    daemon = importlib.import_module("celeryspan.daemons.gateway")
    daemon.import_services()
    gc.freeze()
    gc.enable()
    daemon.main()


if __name__ == "__main__":
    main()
