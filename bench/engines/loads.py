"""Requests as they come: rates, bursts, heavy tails, shared and hot parts, accounts."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

from celeryspan import ids
from celeryspan.wire import messages

OWN_MAX = 54_000
"""Longest part of a prompt that nobody shares, in tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """One kind of request.

    Attributes
    ----------
    rate : float
        Requests a second.
    shared : tuple of int
        Tokens of the part that all share, and of the part of each subject.
    subjects : int
        Subjects that requests are about, all alike often.
    own, own_spread : float
        Median of the tokens that nobody shares, and spread of their logarithm.
    hot_share : float
        Part of the requests that are about the first subject.
    begins, ends : float
        When the load lasts, in seconds.
    held : float
        How long each request waits at its router before the home is asked, in seconds.
    """

    name: str
    rate: float
    objective: float
    timeout: float
    gap_max: float
    shared: tuple[int, int]
    subjects: int
    own: int
    own_spread: float
    output: int
    accounts: tuple[str, ...] = ("a", "b", "c", "d")
    hot_share: float = 0.0
    own_fixed: int = 0
    subjects_from: int = 0
    worth: float = 1.0
    late_worth: float = 0.5
    begins: float = 0.0
    ends: float = math.inf
    held: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request, and how many tokens its answer really has."""

    at: float
    kind: str
    ask: messages.SlotRequest
    tokens: int


def merge(
    parts: Iterable[Load], seconds: float, generator: random.Random
) -> list[Arrival]:
    """Return the requests of some loads in the order of their arrival."""
    found = []
    for load in parts:
        at = load.begins
        while True:
            at += generator.expovariate(load.rate)
            if at >= min(seconds, load.ends):
                break
            found.append(_make_arrival(load, at, len(found), generator))
    return sorted(found, key=lambda arrival: arrival.at)


def _make_arrival(
    load: Load, at: float, number: int, generator: random.Random
) -> Arrival:
    is_hot = generator.random() < load.hot_share
    subject = load.subjects_from + (0 if is_hot else generator.randrange(load.subjects))
    own = load.own_fixed or min(
        OWN_MAX, int(load.own * math.exp(generator.gauss(0, load.own_spread))) + 1
    )
    parts = (
        messages.PromptPart(f"{load.name}", load.shared[0]),
        messages.PromptPart(f"{load.name}-{subject}", load.shared[1]),
        messages.PromptPart(f"{load.name}-own-{number}", own),
    )
    tokens = max(1, int(generator.expovariate(1 / load.output)))
    ask = messages.SlotRequest(
        request=ids.RequestId(f"{load.name}-{number}"),
        pool=ids.PoolId("engines#1#0"),
        account=ids.AccountId(generator.choice(load.accounts)),
        data_centre=ids.DataCentreId("here"),
        parts=parts,
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=load.output,
        waited=load.held,
        objective=load.objective,
        timeout=load.timeout,
        gap_max=load.gap_max,
        stride=1,
        excluded=(),
    )
    return Arrival(at, load.name, ask, tokens)
