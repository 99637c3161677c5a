"""How the values of a file become a typed value: a registry by the type's base.

Operators' files are checked by pydantic, a router's own settings by msgspec: a router
on the users' platform, whose memory is dear and which must start soon, then does
without importing the first.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from celeryspan import faults

FOUND_CHARACTERS_MAX = 60
"""What was found is quoted up to this length, so that each fault stays one line."""

Result = tuple[Any, list[faults.Fault]]
Validator = Callable[[type, faults.Data], Result]

VALIDATORS: dict[type, Validator] = {}


def register(base: type) -> Callable[[Validator], Validator]:
    """Put the validator of all types with a base into the registry."""

    def decorate(validator: Validator) -> Validator:
        VALIDATORS[base] = validator
        return validator

    return decorate


def validate(model: type, values: faults.Data) -> Result:
    """Return the values as a model, or None, and all their faults."""
    base = next(base for base in VALIDATORS if issubclass(model, base))
    return VALIDATORS[base](model, values)


def quote(value: object) -> str:
    """Return a value as an error shows it."""
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) <= FOUND_CHARACTERS_MAX:
        return text
    return text[: FOUND_CHARACTERS_MAX - 3] + "..."


def explain_missing() -> str:
    """Return what is wrong with a key that is not there."""
    return "expected this key, found nothing"


def explain_unknown(value: object) -> str:
    """Return what is wrong with a key that nobody knows."""
    return f"expected only known keys, found this one with {quote(value)}"
