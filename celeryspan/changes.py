"""What differs between two configurations, as lines for an operator."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import pydantic

from celeryspan import configuration, register, rules

KINDS = {
    "data_centres": "data centre",
    "vms": "VM",
    "services": "service",
    "servers": "server",
    "accounts": "client account",
}
"""The word for an entry of each table of the register."""

SHOWN_CHARACTERS = 45
"""Longer texts, such as hashes of keys, are cut; an IPv6 address fits whole."""


def describe_changes(
    old: configuration.Configuration | None,
    entries: register.Register,
    added: rules.Rules,
) -> list[str]:
    """Return one line for each entry added (+), removed (-) or changed (~)."""
    if old is None:
        old_register, old_rules = None, rules.Rules()
    else:
        old_register, old_rules = old.register, old.rules
    lines: list[str] = []
    if old_register and old_register.firm != entries.firm:
        lines.append(f"~ firm: {old_register.firm} -> {entries.firm}")
    for table, kind in KINDS.items():
        old_table = getattr(old_register, table) if old_register else ()
        lines += _compare_tables(kind, old_table, getattr(entries, table))
    lines += _compare_weights(old_rules.weights, added.weights)
    before, after = old_rules.retirements, added.retirements
    lines += _compare_names("retirement", before, after)
    before, after = old_rules.planned_stops, added.planned_stops
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
            f"{field}: {_show(getattr(old[name], field))} -> "
            f"{_show(getattr(new[name], field))}"
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


def _show(value: object) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(_show(item) for item in value)}]"
    text = str(getattr(value, "value", value))
    return text if len(text) <= SHOWN_CHARACTERS else text[:SHOWN_CHARACTERS] + "..."
