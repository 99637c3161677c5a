"""Describes the differences between two configurations, one line for each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import pydantic

from celeryspan import configuration, register, rules

ENTRY_KINDS = {
    "data_centres": "data centre",
    "vms": "VM",
    "services": "service",
    "servers": "server",
    "accounts": "client account",
}
"""What an entry of each table of the register is called in the output."""

VALUE_CHARACTERS_MAX = 45
"""Longer values, such as key hashes, are truncated; an IPv6 address is not."""


def describe_changes(
    old: configuration.Configuration | None,
    new_register: register.Register,
    new_rules: rules.Rules,
) -> list[str]:
    """Return one line for each entry added (+), removed (-) or changed (~)."""
    if old is None:
        old_register, old_rules = None, rules.Rules()
    else:
        old_register, old_rules = old.register, old.rules
    lines: list[str] = []
    if old_register and old_register.firm != new_register.firm:
        lines.append(f"~ firm: {old_register.firm} -> {new_register.firm}")
    for table, kind in ENTRY_KINDS.items():
        old_table = getattr(old_register, table) if old_register else ()
        lines += _compare_tables(kind, old_table, getattr(new_register, table))
    lines += _compare_weights(old_rules.weights, new_rules.weights)
    before, after = old_rules.retirements, new_rules.retirements
    lines += _compare_names("retirement", before, after)
    before, after = old_rules.planned_stops, new_rules.planned_stops
    lines += _compare_names("planned stop", before, after)
    return lines


def _compare_tables(
    kind: str, before: tuple[pydantic.BaseModel, ...], after: tuple
) -> Iterator[str]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    yield from _compare_names(kind, old, new)
    for name in sorted(old.keys() & new.keys()):
        if old[name] == new[name]:
            continue
        fields = (
            f"{field}: {_format_value(getattr(old[name], field))} -> "
            f"{_format_value(getattr(new[name], field))}"
            for field in type(new[name]).model_fields
            if getattr(old[name], field) != getattr(new[name], field)
        )
        yield f"~ {kind} {name}: {', '.join(fields)}"


def _compare_names(kind: str, old: Iterable[str], new: Iterable[str]) -> Iterator[str]:
    yield from (f"- {kind} {name}" for name in sorted(set(old) - set(new)))
    yield from (f"+ {kind} {name}" for name in sorted(set(new) - set(old)))


def _compare_weights(old: dict[str, float], new: dict[str, float]) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name, configuration.DEFAULT_WEIGHT)
        after = new.get(name, configuration.DEFAULT_WEIGHT)
        if before != after:
            yield f"~ weight {name}: {before:g} -> {after:g}"


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(_format_value(item) for item in value)}]"
    text = str(getattr(value, "value", value))
    return (
        text
        if len(text) <= VALUE_CHARACTERS_MAX
        else text[:VALUE_CHARACTERS_MAX] + "..."
    )
