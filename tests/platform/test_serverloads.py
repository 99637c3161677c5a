"""Parsing of the load that servers report."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog
from celeryspan.platform import names, serverloads


def read(text: str | None) -> object:
    """Parse the value of the header."""
    return serverloads.read({names.LOAD: text}.get)


@pytest.mark.parametrize(
    ("text", "pace"),
    [
        ("3,1,6,250", 2.5),
        (" 3, 1, 6, 99.5 ", 0.995),
        ("3,1,6,0", 0.2),
        ("3,1,6,1e9", 10),
    ],
)
def test_pace_is_relative_to_the_usual_and_bounded(text: str, pace: float) -> None:
    """Guards against a wrong pace that makes a server free or unusable."""
    assert read(text) == catalog.ServerLoad(3, 1, 6, pace)


@pytest.mark.parametrize("text", [None, "", "3,1,6", "x"])
def test_report_without_a_pace_is_none(text: str | None) -> None:
    """Guards against older deployments that are served otherwise than before."""
    assert read(text) is None


@pytest.mark.parametrize(
    "text",
    [
        "-3,1,6,250",
        "3,-1,6,250",
        "3,1,0,250",
        "3,1,6,-1",
        "3,1,6,nan",
        "3,1,6,inf",
        "3,1,6,",
        "three,1,6,250",
        "3,1,6,250,7",
        "99999999,1,6,250",
        "nan,1,6,250",
    ],
)
def test_invalid_values_drop_the_report(text: str) -> None:
    """Guards against servers chosen by values that mean nothing."""
    assert read(text) == serverloads.InvalidLoad(text)


@hypothesis.given(strategies.text("0123456789,.-+ennaif _", max_size=24))
def test_no_value_raises(text: str) -> None:
    """Guards against a request that fails because of a header of its server."""
    found = read(text)
    if isinstance(found, catalog.ServerLoad):
        assert 0.2 <= found.pace <= 10.0
        assert found.slots > 0
