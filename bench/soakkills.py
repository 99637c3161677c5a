"""Kills of all routers at once, for the soak.

They use a random generator of their own, so that the faults of a seed do not depend on
them. What no router remembers then must be proved by the store.
"""

from __future__ import annotations

import random
import signal
import time
from typing import TYPE_CHECKING

from bench import soakparts

if TYPE_CHECKING:
    from bench import soak

QUIET_SECONDS = (3.0, 12.0)
"""Range of the time between two kills."""

DOWN_SECONDS = (0.1, 1.5)

AGAIN_SECONDS = (0.3, 2.5)
"""Range of the time after the start at which all are killed again."""

AGAIN_SHARE = 0.3
"""Share of the kills that are followed by another one."""


class FleetKills(soakparts.RepeatedTask):
    """Kills all routers that no other fault has stopped, and restarts them."""

    def __init__(self, run: soak.Soak, seed: int) -> None:
        super().__init__()
        self._run = run
        self._random = random.Random(f"kills {seed}")

    def choose_pause(self) -> float:
        """Return the seconds until the next kill."""
        return self._random.uniform(*QUIET_SECONDS)

    def step(self) -> None:
        """Kill all routers, sometimes twice."""
        self._kill()
        if self._random.random() < AGAIN_SHARE:
            time.sleep(self._random.uniform(*AGAIN_SECONDS))
            self._kill()

    def _kill(self) -> None:
        with self._run.restarting:
            routers = [each for each in self._run.routers if not each.is_stopping]
            self._run.record_event(f"kill {[each.name for each in routers]}")
            for router in routers:
                self._run.restarted_at.append(time.monotonic())
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
            for router in routers:
                router.wait(5.0)
            time.sleep(self._random.uniform(*DOWN_SECONDS))
            for router in routers:
                router.start()
