"""Field types, base model and validation of operators' files."""

from __future__ import annotations

import json
from typing import Annotated, Any

import pydantic

from celeryspan import faults, patterns, validators

Name = Annotated[str, pydantic.Field(pattern=f"^{patterns.NAME}$")]
HostPort = Annotated[str, pydantic.Field(pattern=f"^{patterns.ADDRESS}$")]
KeyHash = Annotated[str, pydantic.Field(pattern=f"^{patterns.HASH}$")]

EXPECTED = {
    "missing": "this key",
    "string_type": "text",
    "int_type": "a whole number",
    "float_type": "a number",
    "finite_number": "a finite number",
    "bool_type": "true or false",
    "tuple_type": "a list",
    "dict_type": "keys with values",
    "model_type": "keys with values",
    "enum": "{expected}",
    "greater_than": "a number above {gt}",
    "greater_than_equal": "a number of at least {ge}",
    "less_than_equal": "a number of at most {le}",
    "too_short": "a list of {min_length} or more",
    "too_long": "a list of {max_length} or fewer",
    "string_pattern_mismatch": "text like {pattern}",
}
"""Expected value by type of pydantic error, formatted with the error's context."""


class Model(pydantic.BaseModel):
    """Base of the models of operators' files: immutable, unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


@validators.register(pydantic.BaseModel)
def validate(model: type[Model], values: faults.Data) -> validators.Result:
    """Return the values as a model, or None if invalid, and their faults."""
    text = json.dumps(values, default=str)
    try:
        return model.model_validate_json(text, strict=True), []
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)
        return None, [
            faults.Fault(_make_key_path(item["loc"]), _explain(item))
            for item in details
        ]


def _make_key_path(location: tuple[str | int, ...]) -> faults.KeyPath:
    """Return the key path in the file, without pydantic's ``[key]`` for dict keys."""
    return tuple(part for part in location if part != "[key]")


def _explain(item: dict[str, Any]) -> str:
    kind, context = item["type"], item.get("ctx", {})
    if kind == "extra_forbidden":
        return validators.explain_unknown(item["input"])
    if kind == "missing":
        return validators.explain_missing()
    expected = EXPECTED.get(kind, item["msg"]).format(**context)
    if kind == "string_pattern_mismatch":
        pattern = context["pattern"].removeprefix("^").removesuffix("$")
        expected = patterns.EXPECTED.get(pattern, expected)
    return f"expected {expected}, found {validators.quote(item['input'])}"
