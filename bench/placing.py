"""Compares placement policies under the loads of a deployment, on emulated engines.

``make bench NAME=placing`` prints latencies and refusals for each load and policy. Use
``ARGUMENTS=path/to/site.yaml`` for the file of another deployment.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random

import pydantic
import yaml

from bench import tables
from bench.engines import loads, policies, site, trial

DEFAULT_PATH = pathlib.Path(__file__).parent / "engines" / "sites" / "gates.yaml"
SECONDS = 20.0
SEED = 11

PATTERNS = {
    "normal load": 1.0,
    "1.5 times the load": 1.5,
    "2 times the load": 2.0,
    "4 times the load": 4.0,
}
"""Factors by which the request rates of the file are multiplied."""


class Kind(pydantic.BaseModel):
    """One kind of request, with fields as in :class:`loads.Load`."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str
    rate: float = pydantic.Field(gt=0)
    objective: float = pydantic.Field(gt=0)
    timeout: float = pydantic.Field(gt=0)
    gap_max: float = pydantic.Field(gt=0)
    shared: tuple[int, int]
    subjects: int = pydantic.Field(ge=1)
    own: int = pydantic.Field(ge=1)
    own_spread: float = pydantic.Field(ge=0)
    output: int = pydantic.Field(ge=1)
    worth: float = pydantic.Field(default=1.0, gt=0)
    late_worth: float = pydantic.Field(default=0.5, ge=0)


class Deployment(pydantic.BaseModel):
    """The contents of a deployment file; ``times`` has the other fields of the site."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    engines: int = pydantic.Field(ge=1)
    slots: int = pydantic.Field(ge=1)
    memory_tokens: int = pydantic.Field(ge=1)
    stride: int = pydantic.Field(ge=1)
    slow: dict[int, float] = pydantic.Field(default_factory=dict)
    moves: bool = False
    fetches: bool = False
    times: dict[str, float] = pydantic.Field(default_factory=dict)
    accounts: int = pydantic.Field(default=4, ge=1)
    kinds: tuple[Kind, ...] = pydantic.Field(min_length=1)

    def make_site(self) -> site.Site:
        """Return the engines of the deployment."""
        return site.Site(
            self.engines,
            self.slots,
            self.memory_tokens,
            self.stride,
            self.slow,
            moves=self.moves,
            fetches=self.fetches,
            **self.times,
        )

    def make_loads(self, rate_factor: float) -> list[loads.Load]:
        """Return the loads with their rates multiplied by a factor."""
        accounts = tuple(f"account-{number}" for number in range(self.accounts))
        return [
            dataclasses.replace(
                loads.Load(**kind.model_dump(), accounts=accounts),
                rate=kind.rate * rate_factor,
            )
            for kind in self.kinds
        ]


def read(path: pathlib.Path) -> Deployment:
    """Read a deployment file.

    Raises
    ------
    pydantic.ValidationError
        If a field is unknown, missing or out of range.
    """
    return Deployment.model_validate(yaml.safe_load(path.read_text()))


def measure(
    deployment: Deployment, rate_factor: float, policy: str
) -> dict[str, object]:
    """Return the share of late and refused requests under one policy and load."""
    arrivals = loads.generate_arrivals(
        deployment.make_loads(rate_factor), SECONDS, random.Random(SEED)
    )
    result = trial.play(deployment.make_site(), arrivals, seed=SEED, policy=policy)
    row: dict[str, object] = {}
    for kind in deployment.kinds:
        row[f"{kind.name} in time"] = round(result.share_in_time(kind.name), 3)
        row[f"{kind.name} late gap"] = round(result.share_with_late_gap(kind.name), 3)
    row["refused"] = round(result.refused / result.requests, 3)
    row["recomputed"] = round(
        result.recomputed_tokens / max(1, result.prefilled_tokens), 3
    )
    return row


def run(arguments: list[str]) -> int:
    """Print one table per load."""
    deployment = read(pathlib.Path(arguments[0]) if arguments else DEFAULT_PATH)
    tables.print_patterns(
        PATTERNS,
        policies.REGISTRY,
        lambda pattern, policy: measure(deployment, PATTERNS[pattern], policy),
    )
    return 0
