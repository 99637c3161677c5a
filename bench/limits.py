"""The window against a server that reports its load late, in a closed loop.

``python -m bench limits`` prints utilisation, waiting inside the engine and swings of
the window for lags from 0 to 8 seconds and four ways to set it.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import statistics
from collections.abc import Callable

from celeryspan.decisions import limits

CEILING = 64
LAGS = (0.0, 1.0, 3.0, 8.0)
SECONDS = 300.0
STEP = 0.1
RUN_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class Result:
    """What one run shows.

    Attributes
    ----------
    utilisation : float
        Batch slots in use over batch slots that the engine has.
    inside : float
        Mean number of requests that wait inside the engine.
    swing : float
        Standard deviation of the window in the second half of each phase.
    """

    utilisation: float
    inside: float
    swing: float


Control = Callable[[limits.Window, limits.LoadReport, int, float], None]
CONTROLS: dict[str, Control] = {}


def register_control(name: str) -> Callable[[Control], Control]:
    """Make a way to set the window known by name."""

    def add(function: Control) -> Control:
        CONTROLS[name] = function
        return function

    return add


@register_control("fixed")
def keep(window: limits.Window, load: limits.LoadReport, used: int, now: float) -> None:
    """Keep the register's number."""


@register_control("follow")
def follow(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Change by what each report says, however old."""
    change = -load.waiting if load.waiting else 8
    window.size = max(1, min(CEILING, window.size + change))


@register_control("halve and add")
def halve(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Halve on a report of waiting requests, else add one."""
    size = window.size // 2 if load.waiting else window.size + 1
    window.size = max(1, min(CEILING, size))


@register_control("celeryspan")
def learn(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Change as the package does."""
    window.record_load(load, used, now)


class Engine:
    """A batch of changing size, fed up to a window by an endless backlog."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.batch = 48
        self.running: list[float] = []
        self.inside = 0

    def step(self, now: float, window: int) -> None:
        """End what is done, take in up to the window, start what fits the batch."""
        self.running = [end for end in self.running if end > now]
        self.inside += max(0, window - len(self.running) - self.inside)
        while self.inside and len(self.running) < self.batch:
            self.inside -= 1
            self.running.append(now + self.rng.expovariate(1 / RUN_SECONDS))


def play(control: str, lag: float, seed: int = 1) -> Result:
    """Return what a window does while the batch size falls and rises again."""
    engine = Engine(seed)
    window = limits.Window(CEILING, 0.0)
    reports: collections.deque[limits.LoadReport] = collections.deque()
    used, inside, sizes = [], [], collections.defaultdict(list)
    for index in range(int(SECONDS / STEP)):
        now = index * STEP
        phase = int(now // 100)
        engine.batch = (48, 16, 40)[phase]
        engine.step(now, window.size)
        used.append(len(engine.running) / engine.batch)
        inside.append(engine.inside)
        if now % 100 > 50:
            sizes[phase].append(window.size)
        if index % int(1 / STEP) == 0:
            running = len(engine.running)
            reports.append(limits.LoadReport(CEILING, running, engine.inside, 0.0, now))
        while reports and reports[0].as_of + lag <= now:
            in_use = len(engine.running) + engine.inside
            CONTROLS[control](window, reports.popleft(), in_use, now)
    return Result(
        round(statistics.fmean(min(1.0, one) for one in used), 4),
        round(statistics.fmean(inside), 2),
        round(statistics.fmean(statistics.pstdev(one) for one in sizes.values()), 2),
    )


def run(arguments: list[str]) -> int:
    """Print a table of all controls and lags, and the JSON of it."""
    del arguments
    table: dict[str, dict[str, dict]] = {}
    print(f"{'control':16}{'lag s':>8}{'utilisation':>14}{'inside':>10}{'swing':>10}")
    for control in CONTROLS:
        for lag in LAGS:
            result = play(control, lag)
            print(
                f"{control:16}{lag:8}{result.utilisation:14}"
                f"{result.inside:10}{result.swing:10}"
            )
            row = dataclasses.asdict(result)
            table.setdefault(control, {})[str(lag)] = row
    print(json.dumps({"bench": "limits", "controls": table}))
    return 0
