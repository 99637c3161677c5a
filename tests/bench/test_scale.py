"""Tests the simulation at full scale for one second of its minute."""

from __future__ import annotations

import pytest

from bench import scale


def test_every_request_of_a_second_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(scale, "SECONDS", 1.0)
    fleet = scale.Fleet()
    fleet.run()
    waiting = sum(len(node.queues.backlogged()) for node in fleet.nodes)
    assert fleet.answered > 0.9 * scale.RATE
    assert waiting == 0
    assert fleet.control_bytes > 0.0
