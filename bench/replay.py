"""Replay of a recorded trace against the decision modules, over a virtual clock.

``python -m bench.replay TRACE.jsonl [--policy NAME] [--seed N]``; the last line is one
JSON object with the figures. The same trace and seed give the same bytes.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
from typing import Any

from bench import bounds, homes_policy, policies, simulation, traces

KEYS = (
    "answered",
    "not_run",
    "unknown",
    "ran_twice",
    "gap_max",
    "greatest_cost",
    "gap_bound",
    "utilisation",
    "idle_while_waiting",
    "control_bytes_per_router_second",
    "wait_p50",
    "wait_p99",
    "per_account",
)
"""Figures of the result, in this order."""


def replay(trace: traces.Trace, policy: str, seed: int) -> dict[str, Any]:
    """Replay a trace under a policy and return the figures."""
    simulator = simulation.Simulator(trace, seed)
    simulator.run(policies.POLICIES[policy](simulator))
    found = simulator.measures.report()
    found["gap_bound"] = round(bounds.find_bound(simulator), 3)
    return {"policy": policy, **{key: found[key] for key in KEYS}}


def run(arguments: list[str]) -> int:
    """Replay the trace that the command line names."""
    parser = argparse.ArgumentParser(prog="bench.replay", description=__doc__)
    parser.add_argument("trace", type=pathlib.Path)
    names = policies.POLICIES
    parser.add_argument("--policy", default=homes_policy.POLICY_NAME, choices=names)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    found = replay(traces.read(options.trace), options.policy, options.seed)
    print(json.dumps(found))
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
