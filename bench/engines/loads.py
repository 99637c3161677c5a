"""Generates arrivals: bursts, heavy-tailed prompts, shared and hot parts, accounts."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

from celeryspan import ids
from celeryspan.wire import messages

UNSHARED_TOKENS_MAX = 54_000
"""Maximum length of the part of a prompt that no other request shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The distribution of one kind of request; times are in seconds.

    Attributes
    ----------
    rate : float
        Requests per second.
    objective, timeout, gap_max : float
        Time to the first event on time, time after which a request fails, and longest
        gap between events on time.
    shared : tuple of int
        Tokens of the part common to all requests, and of the part of each subject.
    subjects : int
        Number of subjects, which are uniformly distributed.
    own, own_spread : float
        Median and standard deviation, of the logarithm, of the unshared tokens.
    output : int
        Mean of the output tokens, exponentially distributed.
    hot_share : float
        Additional fraction of the requests that are about the first subject.
    own_fixed : int
        Fixed number of unshared tokens instead of the distribution; 0 for none.
    first_subject : int
        Number of the first subject; loads of one name share the subjects of one number.
    starts_at, ends_at : float
        Interval in which requests arrive.
    router_wait : float
        Time each request waits at its router before the pool's home receives it.
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
    first_subject: int = 0
    worth: float = 1.0
    late_worth: float = 0.5
    starts_at: float = 0.0
    ends_at: float = math.inf
    router_wait: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request and the number of output tokens that it generates."""

    at: float
    kind: str
    ask: messages.SlotRequest
    output_tokens: int


def generate_arrivals(
    mix: Iterable[Load], seconds: float, generator: random.Random
) -> list[Arrival]:
    """Return the requests of all loads in order of arrival."""
    arrivals = []
    for load in mix:
        at = load.starts_at
        while True:
            at += generator.expovariate(load.rate)
            if at >= min(seconds, load.ends_at):
                break
            arrivals.append(_make_arrival(load, at, len(arrivals), generator))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _make_arrival(
    load: Load, at: float, number: int, generator: random.Random
) -> Arrival:
    is_hot = generator.random() < load.hot_share
    subject = load.first_subject + (0 if is_hot else generator.randrange(load.subjects))
    unshared = load.own_fixed or min(
        UNSHARED_TOKENS_MAX,
        int(load.own * math.exp(generator.gauss(0, load.own_spread))) + 1,
    )
    parts = (
        messages.PromptPart(f"{load.name}", load.shared[0]),
        messages.PromptPart(f"{load.name}-{subject}", load.shared[1]),
        messages.PromptPart(f"{load.name}-own-{number}", unshared),
    )
    output_tokens = max(1, int(generator.expovariate(1 / load.output)))
    ask = messages.SlotRequest(
        request=ids.RequestId(f"{load.name}-{number}"),
        pool=ids.PoolId("engines#1#0"),
        account=ids.AccountId(generator.choice(load.accounts)),
        data_centre=ids.DataCentreId("here"),
        parts=parts,
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=load.output,
        waited=load.router_wait,
        objective=load.objective,
        timeout=load.timeout,
        gap_max=load.gap_max,
        stride=1,
        excluded=(),
    )
    return Arrival(at, load.name, ask, output_tokens)
