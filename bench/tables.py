"""Prints measurement results as tables."""

from __future__ import annotations

from collections.abc import Callable, Iterable

CASE_WIDTH = 32
COLUMN_WIDTH = 23

Table = dict[str, dict[str, dict]]


def print_patterns(
    patterns: Iterable[str], cases: Iterable[str], measure: Callable[[str, str], dict]
) -> Table:
    """Measure each case under each load pattern; print and return one table each."""
    table: Table = {}
    for pattern in patterns:
        print(f"\n{pattern}")
        rows = table[pattern] = {}
        for case in cases:
            result = measure(pattern, case)
            if not rows:
                _print_row("", result)
            _print_row(case, result.values())
            rows[case] = result
    return table


def _print_row(name: str, cells: Iterable[object]) -> None:
    row = "".join(f"{cell!s:>{COLUMN_WIDTH}}" for cell in cells)
    print(f"{name:{CASE_WIDTH}}{row}")
