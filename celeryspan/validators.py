"""Registry of the validators that turn the values of a file into a typed value.

Operators' files are validated with pydantic, the settings of a router with msgspec. A
router on the users' platform, where memory is scarce and startup must be fast, thus
avoids importing pydantic.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from celeryspan import faults

QUOTED_CHARACTERS_MAX = 60
"""Maximum length of a quoted value, so that each fault stays on one line."""

Result = tuple[Any, list[faults.Fault]]
Validator = Callable[[type, faults.Data], Result]

VALIDATORS: dict[type, Validator] = {}


def register(base: type) -> Callable[[Validator], Validator]:
    """Register a validator for all subclasses of a type."""

    def decorate(validator: Validator) -> Validator:
        VALIDATORS[base] = validator
        return validator

    return decorate


def validate(model: type, values: faults.Data) -> Result:
    """Return the values as a model, or None if invalid, and all their faults."""
    base = next(base for base in VALIDATORS if issubclass(model, base))
    return VALIDATORS[base](model, values)


def quote(value: object) -> str:
    """Return a value as an error message shows it."""
    text = json.dumps(value, default=str, ensure_ascii=False)
    if len(text) <= QUOTED_CHARACTERS_MAX:
        return text
    return text[: QUOTED_CHARACTERS_MAX - 3] + "..."


def explain_missing() -> str:
    """Return the message for a missing key."""
    return "expected this key, found nothing"


def explain_unknown(value: object) -> str:
    """Return the message for an unknown key."""
    return f"expected only known keys, found this one with {quote(value)}"
