"""Starts the router daemon of the users' platform with its signals blocked.

Importing the daemon takes some tenths of a second, and a SIGHUP in that time would end
the process: a router would exit while its settings change. Signals are blocked before
anything else is imported and stay pending until the daemon handles them. Only the start
of the interpreter itself remains unprotected.

Imported objects live as long as the process. They are frozen, so that the garbage
collector does not traverse them during the imports and in each full collection, which
pauses all streams of the router.
"""

from __future__ import annotations

import gc
import importlib
import signal
import sys

SWITCH_INTERVAL_SECONDS = 0.0005
"""Time after which a thread yields to others that wait for the interpreter. With the
default of 5 ms the accepting thread waits for the turns of all others."""

COLLECTION_THRESHOLDS = (20_000, 10, 10)
"""Allocations before a collection of the youngest objects, and collections before one
of the next generation. A request makes few reference cycles, and with the default of
700 the collector traverses its live objects several times."""

BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)


def main() -> None:
    """Import the daemon with garbage collection disabled, then run it."""
    gc.disable()
    daemon = importlib.import_module("celeryspan.daemons.gateway")
    daemon.import_services()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    daemon.main()


if __name__ == "__main__":
    main()
