"""Plays a deployment's loads to ways of placing, on emulated engines.

``make bench NAME=placing`` prints for each load and policy what callers get; a file of
another deployment may be named: ``ARGUMENTS=path/to/site.yaml``.
"""

from __future__ import annotations

import dataclasses
import pathlib
import random

import pydantic
import yaml

from bench import tables
from bench.engines import loads, policies, site, trial

DEFAULT = pathlib.Path(__file__).parent / "engines" / "sites" / "gates.yaml"
SECONDS = 20.0
SEED = 11

PATTERNS = {
    "as usual": 1.0,
    "one and a half times": 1.5,
    "twice": 2.0,
    "four times": 4.0,
}
"""Rates against those of the file."""


class Kind(pydantic.BaseModel):
    """One kind of request; the fields are those of :class:`loads.Load`."""

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
    """A file of the emulator."""

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
        """Return the engines."""
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

    def make_loads(self, times: float) -> list[loads.Load]:
        """Return the kinds of request at so many times their rates."""
        accounts = tuple(f"account-{number}" for number in range(self.accounts))
        return [
            dataclasses.replace(
                loads.Load(**kind.model_dump(), accounts=accounts),
                rate=kind.rate * times,
            )
            for kind in self.kinds
        ]


def read(path: pathlib.Path) -> Deployment:
    """Return the deployment in a file; raises pydantic.ValidationError."""
    return Deployment.model_validate(yaml.safe_load(path.read_text()))


def measure(deployment: Deployment, times: float, policy: str) -> dict[str, object]:
    """Return what callers get of one policy under one load."""
    asked = loads.generate_arrivals(
        deployment.make_loads(times), SECONDS, random.Random(SEED)
    )
    result = trial.play(deployment.make_site(), asked, seed=SEED, policy=policy)
    found: dict[str, object] = {}
    for kind in deployment.kinds:
        found[f"{kind.name} in time"] = round(result.share_in_time(kind.name), 3)
        found[f"{kind.name} late pause"] = round(
            result.share_with_late_gap(kind.name), 3
        )
    found["refused"] = round(result.refused / result.requests, 3)
    found["read again"] = round(
        result.recomputed_tokens / max(1, result.prefilled_tokens), 3
    )
    return found


def run(arguments: list[str]) -> int:
    """Print a table for each load."""
    deployment = read(pathlib.Path(arguments[0]) if arguments else DEFAULT)
    tables.print_patterns(
        PATTERNS,
        policies.REGISTRY,
        lambda pattern, policy: measure(deployment, PATTERNS[pattern], policy),
    )
    return 0
