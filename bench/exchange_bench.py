"""Compares counter exchange by fixed period with exchange by unreported units.

``make bench NAME=exchange_bench`` prints the fairness gap and control traffic of each
rule, and writes a plot to ``docs/img``.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import pathlib

import matplotlib
import numpy as np

from bench import homes_policy, simulation, traces
from celeryspan.decisions import reporting

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "celeryspan"

IMAGES = pathlib.Path(__file__).parent.parent / "docs" / "img"
PROCESSES = 3
SEEDS = 5

CASES = {
    "uneven": traces.Workload(seconds=90.0),
    "even": traces.Workload(seconds=90.0, equal_accounts=True),
}

RULE_VALUES = {
    "units": (50.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0),
    "period": (0.05, 0.1, 0.2, 0.5, 1.0, 2.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Parameters of one replay."""

    rule: str
    value: float
    firm: str
    case: str
    seed: int


def measure(trial: Trial) -> tuple[float, float]:
    """Return the fairness gap, and control bytes per router and second."""
    firm, case = traces.FIRMS[trial.firm], CASES[trial.case]
    simulator = simulation.Simulator(
        traces.generate(firm, case, trial.seed), trial.seed
    )

    class Policy(homes_policy.CeleryspanPolicy):
        """The fleet with the exchange rule of this trial."""

        def make_rule(self) -> reporting.Rule:
            return reporting.RULES[trial.rule](trial.value)

    simulator.run(Policy(simulator))
    result = simulator.measures.report()
    return result["gap_max"], result["control_bytes_per_router_second"]


def run(arguments: list[str]) -> int:
    """Replay all trials, print the table and write the plot."""
    parser = argparse.ArgumentParser(prog="bench exchange_bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    options = parser.parse_args(arguments)
    trials = [
        Trial(rule, value, firm, case, seed)
        for rule, values in RULE_VALUES.items()
        for value in values
        for firm in traces.FIRMS
        for case in CASES
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(trials, pool.map(measure, trials), strict=True))
    print("| rule | value | gap | bytes per router and second |\n|---|---|---|---|")
    curves: dict[str, list[tuple[float, float]]] = {}
    for rule, values in RULE_VALUES.items():
        for value in values:
            rows = [
                row
                for trial, row in results.items()
                if (trial.rule, trial.value) == (rule, value)
            ]
            gap, size = np.mean(rows, axis=0)
            curves.setdefault(rule, []).append((float(size), float(gap)))
            print(f"| {rule} | {value:g} | {gap:,.0f} | {size:,.0f} |")
    _plot(curves)
    return 0


def _plot(curves: dict[str, list[tuple[float, float]]]) -> None:
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(6, 4))
    for rule, points in curves.items():
        sizes, gaps = zip(*points, strict=True)
        axis.plot(sizes, gaps, marker="o", label=rule)
        for value, size, gap in zip(RULE_VALUES[rule], sizes, gaps, strict=True):
            axis.annotate(f"{value:g}", (size, gap), fontsize=7)
    axis.set_xscale("log")
    axis.set_xlabel("control bytes per router and second")
    axis.set_ylabel("greatest gap, cost units per weight")
    axis.legend()
    figure.tight_layout()
    IMAGES.mkdir(parents=True, exist_ok=True)
    figure.savefig(IMAGES / "exchange.svg", metadata={"Date": None})
