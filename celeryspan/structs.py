"""Validates settings that are a :class:`msgspec.Struct` and reports all faults at once.

msgspec stops at the first invalid value, so each key is converted separately.
"""

from __future__ import annotations

import math
import re
import typing
from collections.abc import Iterator

import msgspec

from celeryspan import faults, patterns, validators

Name = typing.Annotated[str, msgspec.Meta(pattern=rf"^{patterns.NAME}\Z")]
HostPort = typing.Annotated[str, msgspec.Meta(pattern=rf"^{patterns.ADDRESS}\Z")]
KeyHash = typing.Annotated[str, msgspec.Meta(pattern=rf"^{patterns.HASH}\Z")]

TYPES = {
    "str": "text",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "array": "a list",
    "object": "keys with values",
}
"""Type names in error messages, by the names that msgspec uses."""

BOUNDS = {">": "above", ">=": "of at least", "<": "below", "<=": "of at most"}

PATH_SUFFIX = re.compile(r" - at `\$(.*)`$")
TYPE_MESSAGE = re.compile(r"^Expected `(\w+)(?: \| \w+)*`(.*)$")
LENGTH = re.compile(r" of length (>=|<=) (\d+)")
BOUND = re.compile(r" (>=|<=|>|<) (\S+)")


@validators.register(msgspec.Struct)
def validate(model: type[msgspec.Struct], values: faults.Data) -> validators.Result:
    """Return the values as a struct, or None if invalid, and their faults.

    Faults are in the order of the struct's fields; unknown keys come last.
    """
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    converted: dict[str, object] = {}
    invalid: list[faults.Fault] = []
    for name, field in fields.items():
        if name not in values:
            if field.required:
                invalid.append(faults.Fault((name,), validators.explain_missing()))
            continue
        try:
            converted[name] = msgspec.convert(values[name], field.type)
        except msgspec.ValidationError as error:
            invalid.append(_explain(name, values[name], str(error)))
            continue
        if isinstance(converted[name], float) and not math.isfinite(converted[name]):
            message = f"expected a finite number, found {values[name]}"
            invalid.append(faults.Fault((name,), message))
    invalid += _find_unknown(values, fields)
    return (None if invalid else model(**converted)), invalid


def _find_unknown(values: faults.Data, fields: dict) -> Iterator[faults.Fault]:
    for name, value in values.items():
        if name not in fields:
            yield faults.Fault((str(name),), validators.explain_unknown(value))


def _explain(name: str, value: object, message: str) -> faults.Fault:
    """Return the fault that a message of msgspec describes."""
    path = PATH_SUFFIX.search(message)
    indexes = re.findall(r"\[(\d+)\]", path.group(1)) if path else []
    key_path: tuple[str | int, ...] = (name, *map(int, indexes))
    for index in key_path[1:]:
        value = value[index]
    expected = _describe(PATH_SUFFIX.sub("", message))
    return faults.Fault(
        key_path, f"expected {expected}, found {validators.quote(value)}"
    )


def _describe(message: str) -> str:
    kind = TYPE_MESSAGE.match(message)
    if kind is None:
        return message
    name, rest = TYPES.get(kind.group(1), kind.group(1)), kind.group(2)
    if length := LENGTH.match(rest):
        more = "more" if length.group(1) == ">=" else "fewer"
        return f"{name} of {length.group(2)} or {more}"
    if bound := BOUND.match(rest):
        number = bound.group(2).removesuffix(".0")
        return f"a number {BOUNDS[bound.group(1)]} {number}"
    for pattern, text in patterns.EXPECTED.items():
        if pattern in rest.encode().decode("unicode_escape") or pattern in rest:
            return text
    return name
