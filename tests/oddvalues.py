"""Values that no reader expects: huge and odd numbers, depth, text, other types."""

from __future__ import annotations

from hypothesis import strategies

ANY_TEXT = strategies.text(strategies.characters(exclude_categories=()), max_size=20)


def nest(depth: int) -> list:
    """Return lists within each other."""
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


EXTREMES = strategies.sampled_from(
    (
        10**400,
        -(10**400),
        10**5_000,
        2**31,
        2**63,
        2**64,
        1e308,
        5e-324,
        float("inf"),
        float("-inf"),
        float("nan"),
        True,
        "",
        "\x00",
        "a\nb",
        "\ud800",
        "9" * 5_000,
        "²",
        "x" * 100_000,
        nest(900),
        {"a": nest(100)},
    )
)

VALUES = strategies.one_of(
    EXTREMES,
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    ANY_TEXT,
    strategies.lists(EXTREMES, max_size=2),
    strategies.dictionaries(ANY_TEXT, EXTREMES, max_size=2),
)

HEADER_TEXTS = strategies.one_of(
    strategies.sampled_from(
        (
            "9" * 5_000,
            "-" + "9" * 5_000,
            "1" + "0" * 400,
            "1e999",
            "-1e999",
            "nan",
            "inf",
            "²",
            "٣",
            "0x10",
            "1_0",
            "1," * 20_000,
            "a:" + "9" * 400,
            "\x00",
            " ",
        )
    ),
    strategies.text(strategies.characters(max_codepoint=255), max_size=40),
)
