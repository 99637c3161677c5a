"""The platform's router holds its signals back from the first moment."""

from __future__ import annotations

import signal
import subprocess
import sys

PROGRAM = """
import signal, sys
import celeryspan.daemons.launch as launch
held = signal.pthread_sigmask(signal.SIG_BLOCK, [])
assert set(launch.HELD) <= held, held
assert "celeryspan.daemons.gateway" not in sys.modules
signal.raise_signal(signal.SIGHUP)
print("alive")
"""


def test_signal_during_the_imports_waits() -> None:
    """Settings change while a router starts, and the platform sends SIGHUP.

    The daemon's imports were still under way; the signal ended the process, and callers
    near it had no router until the platform started it again.
    """
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60
    )
    assert (done.returncode, done.stdout) == (0, "alive\n"), done.stderr
    assert signal.SIGHUP not in signal.pthread_sigmask(signal.SIG_BLOCK, [])


FROZEN = """
import gc
import celeryspan.daemons.launch as launch
from celeryspan.daemons import gateway
gateway.main = lambda: print(gc.isenabled(), gc.get_freeze_count() > 10_000)
launch.main()
"""


def test_collector_leaves_out_what_was_imported() -> None:
    """A router passes on streams, and all of them pause at the same moment.

    The collector of cyclic garbage looked through all that the imports had made, each
    time that it went through everything: on a weak VM a pause that callers see.
    """
    done = subprocess.run(
        [sys.executable, "-c", FROZEN], capture_output=True, text=True, timeout=60
    )
    assert (done.returncode, done.stdout) == (0, "True True\n"), done.stderr
