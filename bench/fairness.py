"""Compares all policies on the traces of both firms (``make bench NAME=fairness``).

Prints one table per case with means over the seeds, and writes a plot to
``docs/img``.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import pathlib
from typing import Any

import matplotlib
import numpy as np

from bench import policies, replay, traces

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "celeryspan"

IMAGES = pathlib.Path(__file__).parent.parent / "docs" / "img"

# Policies compared by default; --rules compares the charging rules of the oracle.
POLICIES = ("celeryspan", "oracle", "alone", "leased", "fifo")

SEEDS = 5
PROCESSES = 3

CASES = {
    "twice": traces.Workload(),
    "ten-times": traces.Workload(load=10.0, seconds=30.0),
    "one-router": traces.Workload(on_one_router=True),
    "long-jobs": traces.Workload(long_requests=True),
    "flood": traces.Workload(load=0.7, flood_load=3.0),
    "burst": traces.Workload(load=0.9, burst=True),
    "longer": traces.Workload(seconds=240.0),
    "cut": traces.Workload(
        faults=(
            traces.Fault(40.0, "cut", (4, 5)),
            traces.Fault(70.0, "heal", (4, 5)),
        )
    ),
    "restart": traces.Workload(faults=(traces.Fault(40.0, "restart", (0,)),)),
}

COLUMNS = (
    "gap_max",
    "gap_bound",
    "utilisation",
    "idle_while_waiting",
    "control_bytes_per_router_second",
    "wait_p50",
    "light_p99",
    "answered",
    "not_run",
    "unknown",
    "ran_twice",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """Parameters of one replay."""

    firm: str
    case: str
    policy: str
    seed: int


def measure(trial: Trial) -> dict[str, Any]:
    """Replay one trace under one policy."""
    firm, case = traces.FIRMS[trial.firm], CASES[trial.case]
    trace = traces.generate(firm, case, trial.seed)
    result = replay.replay(trace, trial.policy, trial.seed)
    accounts = result.pop("per_account")
    light_accounts = sorted(accounts)[len(accounts) // 2 :]
    result["light_p99"] = max(accounts[name]["wait_p99"] for name in light_accounts)
    return result


def run(arguments: list[str]) -> int:
    """Replay all trials, print the tables and write the plot."""
    parser = argparse.ArgumentParser(prog="bench fairness", description=__doc__)
    parser.add_argument("--cases", nargs="*", default=list(CASES), choices=CASES)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--rules", action="store_true")
    options = parser.parse_args(arguments)
    names = list(POLICIES)
    if options.rules:
        names = [name for name in policies.POLICIES if name.startswith("oracle")]
    means: dict[tuple[str, str, str], dict[str, float]] = {}
    trials = [
        Trial(firm, case, policy, seed)
        for firm in traces.FIRMS
        for case in options.cases
        for policy in names
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(measure, trials))
    for firm in traces.FIRMS:
        for case in options.cases:
            for policy in names:
                rows = [
                    row
                    for trial, row in zip(trials, results, strict=True)
                    if (trial.firm, trial.case, trial.policy) == (firm, case, policy)
                ]
                means[firm, case, policy] = {
                    key: float(np.mean([row[key] for row in rows])) for key in COLUMNS
                }
            _print_table(firm, case, names, means)
    if not options.rules:
        _plot(options.cases, names, means)
    return 0


def _print_table(firm: str, case: str, names: list[str], means: dict) -> None:
    print(f"\n{firm}, {case}")
    print("| policy | " + " | ".join(COLUMNS) + " |")
    print("|---" * (len(COLUMNS) + 1) + "|")
    for policy in names:
        cells = [f"{means[firm, case, policy][key]:,.4g}" for key in COLUMNS]
        cells[0] = f"{means[firm, case, policy]['gap_max']:,.0f}"
        cells[1] = f"{means[firm, case, policy]['gap_bound']:,.0f}"
        print(f"| {policy} | " + " | ".join(cells) + " |", flush=True)


def _plot(cases: list[str], names: list[str], means: dict) -> None:
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, len(traces.FIRMS), figsize=(11, 4), sharey=True)
    width = 0.8 / len(names)
    for axis, firm in zip(axes, traces.FIRMS, strict=True):
        for index, policy in enumerate(names):
            heights = [means[firm, case, policy]["gap_max"] for case in cases]
            positions = np.arange(len(cases)) + index * width
            axis.bar(positions, heights, width, label=policy)
        axis.set_yscale("log")
        axis.set_title(firm)
        axis.set_xticks(np.arange(len(cases)) + 0.4, cases, rotation=40, ha="right")
    axes[0].set_ylabel("greatest gap, cost units per weight")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    IMAGES.mkdir(parents=True, exist_ok=True)
    figure.savefig(IMAGES / "fairness.svg", metadata={"Date": None})
