"""Features that requests share, any of which may be what crashes the servers.

Requests that crash servers may have nothing in common but one part of their prompts.
The features of the lost runs are therefore suspected beside the requests as a whole. A
new kind of feature needs an entry in the registry here and nothing else.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable, Iterable

import msgspec

from celeryspan.wire import messages

FEATURES_MAX = 4_096
"""Number of features of which a router remembers the last answer."""

ACQUITTING_SECONDS = 3.0
"""A feature that was answered within this time before a crash is not suspected."""

RETENTION_SECONDS = 600.0
"""A feature that was answered within this time before a crash is suspected less."""


class Kind(enum.IntEnum):
    """Kinds of features, the narrowest first: it is blamed before a broader one."""

    REQUEST = 0
    PART = 1
    TARGET = 2
    SIZE = 3
    MODEL = 4


def name_kind(kind: int) -> str:
    """Return the name of a kind for operators; later versions may know more kinds."""
    return Kind(kind).name.lower() if kind in iter(Kind) else f"kind {kind}"


class Traits(msgspec.Struct, frozen=True):
    """What is known of a request without its body.

    Attributes
    ----------
    host, path : str
        Host of the route, and path without the query.
    model : str
        Model that the request asks for; empty for plain services.
    parts : tuple of PromptPart
        Parts of the prompt in their order.
    prompt_tokens : int
    """

    host: str
    path: str
    model: str
    parts: tuple[messages.PromptPart, ...]
    prompt_tokens: int


class Feature(msgspec.Struct, frozen=True):
    """One feature of a request; ``value`` is a keyed hash of kind and content."""

    kind: Kind
    value: int

    def __str__(self) -> str:
        return f"{self.kind.name.lower()}:{self.value:016x}"


Extract = Callable[[Traits], Iterable[str]]

EXTRACTORS: dict[Kind, Extract] = {}


def register(kind: Kind) -> Callable[[Extract], Extract]:
    """Register a function that lists the features of one kind."""

    def decorate(extract: Extract) -> Extract:
        EXTRACTORS[kind] = extract
        return extract

    return decorate


@register(Kind.PART)
def list_parts(traits: Traits) -> Iterable[str]:
    """List the parts of the prompt but the last, which no other request has."""
    return [each.part for each in traits.parts[:-1]]


@register(Kind.TARGET)
def list_targets(traits: Traits) -> Iterable[str]:
    """List the path, under which plain services distinguish what they are asked."""
    return [f"{traits.host}{traits.path}"]


@register(Kind.SIZE)
def list_sizes(traits: Traits) -> Iterable[str]:
    """List the size of the prompt to the next power of two."""
    if not traits.prompt_tokens:
        return []
    return [f"{traits.model}/{traits.prompt_tokens.bit_length()}"]


@register(Kind.MODEL)
def list_models(traits: Traits) -> Iterable[str]:
    """List the model."""
    return [traits.model] if traits.model else []


def list_features(
    traits: Traits, compute_value: Callable[[Kind, str], int]
) -> tuple[Feature, ...]:
    """Return all features of a request, those of a prompt in its order.

    Parameters
    ----------
    compute_value : callable
        Returns the keyed hash of a kind and a content.
    """
    return tuple(
        Feature(kind, compute_value(kind, content))
        for kind, extract in EXTRACTORS.items()
        for content in extract(traits)
    )


class AnswerHistory:
    """When the features of answered requests were last answered, as one router knows.

    A feature that was answered before the crashes is less likely their cause. Not
    thread-safe.
    """

    def __init__(self) -> None:
        self._answered_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record(self, features: Iterable[Feature], now: float) -> None:
        """Record that a server has answered a request completely."""
        for feature in features:
            self._answered_at[feature.value] = now
            self._answered_at.move_to_end(feature.value)
        while len(self._answered_at) > FEATURES_MAX:
            self._answered_at.popitem(last=False)

    def measure_age(self, feature: Feature, now: float) -> float:
        """Return the seconds since a feature was last answered; infinite if unknown."""
        at = self._answered_at.get(feature.value)
        return math.inf if at is None else now - at
