"""Servers that answer with bytes without end, in addition to the faults of the soak.

They use a separate random generator, so that the faults of a seed do not depend on
them. The routers must stay within the memory that their settings name.
"""

from __future__ import annotations

import pathlib
import random
import re
from typing import TYPE_CHECKING

from bench import soakparts
from standins import endlessanswers

if TYPE_CHECKING:
    from bench import soak

QUIET_SECONDS = (1.0, 3.0)
"""Range of the time between two servers that answer so."""

ENDLESS_SECONDS = (0.3, 1.5)
"""Range of the time for which a server answers so."""

KINDS = sorted(endlessanswers.KINDS.keys() - endlessanswers.UNFRAMED_KINDS)
"""The proxies end connections in order, which would complete the others."""

KILOBYTES_PER_MEGABYTE = 1_000

PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


class EndlessServers(soakparts.RepeatedTask):
    """Lets servers answer with bytes without end, one at a time."""

    def __init__(self, run: soak.Soak, seed: int) -> None:
        super().__init__()
        self._run = run
        self._random = random.Random(f"endless {seed}")

    def choose_pause(self) -> float:
        """Return the seconds until the next server answers so."""
        return self._random.uniform(*QUIET_SECONDS)

    def step(self) -> None:
        """Let one server answer all requests so for a while."""
        server = self._random.choice(self._run.servers)
        kind = self._random.choice(KINDS)
        seconds = self._random.uniform(*ENDLESS_SECONDS)
        self._run.record_event(f"{server.name}: endless {kind} for {seconds:.1f} s")
        server.endless = kind
        self.stopped.wait(seconds)
        server.endless = ""


def count_excess(routers: list[soakparts.RouterProcess], megabytes: float) -> int:
    """Return how many running routers have used more memory than they may."""
    peaks = [read_peak(router) for router in routers if not router.is_stopping]
    return sum(peak > megabytes for peak in peaks)


def read_peak(router: soakparts.RouterProcess) -> float:
    """Return the peak memory of a router, in megabytes; 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{router.process}/status").read_text()
    except OSError:
        return 0.0
    found = PEAK_MEMORY.search(status)
    return int(found.group(1)) / KILOBYTES_PER_MEGABYTE if found else 0.0
