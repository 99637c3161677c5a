"""Closed-loop simulation of window control with delayed load reports.

``python -m bench limits`` prints utilisation, requests waiting inside the engine and
variation of the window, for report lags from 0 to 8 seconds and four controls.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import statistics
from collections.abc import Callable

from celeryspan.decisions import limits

MAX_WINDOW = 64
LAG_SECONDS = (0.0, 1.0, 3.0, 8.0)
DURATION_SECONDS = 300.0
STEP_SECONDS = 0.1
MEAN_RUN_SECONDS = 4.0


@dataclasses.dataclass(slots=True)
class Result:
    """Results of one simulation.

    Attributes
    ----------
    utilisation : float
        Mean share of batch slots in use.
    inside : float
        Mean number of requests waiting inside the engine.
    swing : float
        Standard deviation of the window in the second half of each phase.
    """

    utilisation: float
    inside: float
    swing: float


Control = Callable[[limits.Window, limits.LoadReport, int, float], None]
CONTROLS: dict[str, Control] = {}


def register_control(name: str) -> Callable[[Control], Control]:
    """Register a window control under a name."""

    def add(function: Control) -> Control:
        CONTROLS[name] = function
        return function

    return add


@register_control("fixed")
def keep_fixed(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Keep the configured window."""


@register_control("follow")
def follow_reports(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Adjust to each report, however old it is."""
    change = -load.waiting if load.waiting else 8
    window.size = max(1, min(MAX_WINDOW, window.size + change))


@register_control("halve and add")
def halve_or_increment(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Halve the window when requests wait, otherwise increment it."""
    size = window.size // 2 if load.waiting else window.size + 1
    window.size = max(1, min(MAX_WINDOW, size))


@register_control("celeryspan")
def record_load(
    window: limits.Window, load: limits.LoadReport, used: int, now: float
) -> None:
    """Use the package's control."""
    window.record_load(load, used, now)


class Engine:
    """An engine with a variable batch size and an endless backlog up to the window."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.batch_size = 48
        self.running: list[float] = []
        self.waiting = 0

    def step(self, now: float, window: int) -> None:
        """Complete requests, accept up to the window, and start what fits the batch."""
        self.running = [end for end in self.running if end > now]
        self.waiting += max(0, window - len(self.running) - self.waiting)
        while self.waiting and len(self.running) < self.batch_size:
            self.waiting -= 1
            self.running.append(now + self.rng.expovariate(1 / MEAN_RUN_SECONDS))


def simulate(control: str, lag: float, seed: int = 1) -> Result:
    """Simulate a control while the batch size falls and rises again."""
    engine = Engine(seed)
    window = limits.Window(MAX_WINDOW, 0.0)
    reports: collections.deque[limits.LoadReport] = collections.deque()
    used, inside, sizes = [], [], collections.defaultdict(list)
    for index in range(int(DURATION_SECONDS / STEP_SECONDS)):
        now = index * STEP_SECONDS
        phase = int(now // 100)
        engine.batch_size = (48, 16, 40)[phase]
        engine.step(now, window.size)
        used.append(len(engine.running) / engine.batch_size)
        inside.append(engine.waiting)
        if now % 100 > 50:
            sizes[phase].append(window.size)
        if index % int(1 / STEP_SECONDS) == 0:
            running = len(engine.running)
            reports.append(
                limits.LoadReport(MAX_WINDOW, running, engine.waiting, 0.0, now)
            )
        while reports and reports[0].as_of + lag <= now:
            in_use = len(engine.running) + engine.waiting
            CONTROLS[control](window, reports.popleft(), in_use, now)
    return Result(
        round(statistics.fmean(min(1.0, value) for value in used), 4),
        round(statistics.fmean(inside), 2),
        round(
            statistics.fmean(statistics.pstdev(value) for value in sizes.values()), 2
        ),
    )


def run(arguments: list[str]) -> int:
    """Print a table of all controls and lags, then the results as JSON."""
    del arguments
    table: dict[str, dict[str, dict]] = {}
    print(f"{'control':16}{'lag s':>8}{'utilisation':>14}{'inside':>10}{'swing':>10}")
    for control in CONTROLS:
        for lag in LAG_SECONDS:
            result = simulate(control, lag)
            print(
                f"{control:16}{lag:8}{result.utilisation:14}"
                f"{result.inside:10}{result.swing:10}"
            )
            row = dataclasses.asdict(result)
            table.setdefault(control, {})[str(lag)] = row
    print(json.dumps({"bench": "limits", "controls": table}))
    return 0
