"""Tests that the capacity page shows exactly the figures of the recorded run."""

from __future__ import annotations

import json

import pytest

from bench import fits, sizing, slopes


def test_page_and_recorded_run_agree() -> None:
    record = json.loads(slopes.RECORD_PATH.read_text())
    _, generated, _ = slopes.split_page(slopes.PAGE_PATH.read_text())
    assert generated == slopes.render(record)


def test_summary_shows_the_figures_of_the_recorded_run() -> None:
    record = json.loads(slopes.RECORD_PATH.read_text())
    found = sizing.summarise(slopes.read_slopes(record))
    summary, _, _ = slopes.split_page(slopes.PAGE_PATH.read_text())
    for prefix in ("", "planned_"):
        assert f"{found[f'{prefix}control_bytes_per_second']:,.0f}" in summary
        assert f"{found[f'{prefix}control_core_percent']}" in summary
        assert f"{found[f'{prefix}control_memory_mb']}" in summary


def test_every_slope_is_taken_at_three_sizes() -> None:
    record = json.loads(slopes.RECORD_PATH.read_text())
    assert all(len(one["sizes"]) >= 3 for one in record["slopes"])


def test_fit_finds_a_line() -> None:
    line = fits.fit("item", "us", (10, 20, 40), (25.0, 45.0, 85.0))
    assert line.slope == pytest.approx(2.0)
    assert line.base == pytest.approx(5.0)
    assert line.error < 1e-6
