"""The launcher of the platform's router: blocked signals and garbage collection."""

from __future__ import annotations

import signal
import subprocess
import sys

SIGNAL_PROGRAM = """
import signal, sys
import celeryspan.daemons.launch as launch
blocked = signal.pthread_sigmask(signal.SIG_BLOCK, [])
assert set(launch.BLOCKED_SIGNALS) <= blocked, blocked
assert "celeryspan.daemons.gateway" not in sys.modules
signal.raise_signal(signal.SIGHUP)
print("alive")
"""


def test_signal_during_imports_stays_pending() -> None:
    """Guards against a SIGHUP that ends the process while it imports the daemon.

    The platform sends SIGHUP when settings change; without the block, callers had no
    router on this VM until the platform restarted it.
    """
    done = subprocess.run(
        [sys.executable, "-c", SIGNAL_PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (done.returncode, done.stdout) == (0, "alive\n"), done.stderr
    assert signal.SIGHUP not in signal.pthread_sigmask(signal.SIG_BLOCK, [])


FREEZE_PROGRAM = """
import gc
import celeryspan.daemons.launch as launch
from celeryspan.daemons import gateway
gateway.main = lambda: print(gc.isenabled(), gc.get_freeze_count() > 10_000)
launch.main()
"""


def test_garbage_collector_ignores_imported_objects() -> None:
    """Guards against pauses of all streams at the same time.

    Each full collection traversed all imported objects; on a slow VM callers noticed
    the pause.
    """
    done = subprocess.run(
        [sys.executable, "-c", FREEZE_PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (done.returncode, done.stdout) == (0, "True True\n"), done.stderr
