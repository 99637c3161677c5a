"""The example files are valid and describe the two firms with their full sizes."""

from __future__ import annotations

import collections
import pathlib

import pytest

from celeryspan import inputs

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

SIZES = {
    "vrbicky": ({"planner-llm": 9, "gate-desk": 3}, {"hala-a", "hala-b", "hala-c"}),
    "klippelag": (
        {"lm-pool": 5, "gang-app": 4},
        {"bergen-a", "bergen-b", "voss", "forde"},
    ),
}


@pytest.mark.parametrize("firm", SIZES)
def test_register_and_rules_are_valid(firm: str) -> None:
    folder = EXAMPLES / firm
    entries, _ = inputs.read_register_and_rules(
        folder / "register.yaml", folder / "rules.yaml"
    )
    servers, data_centres = SIZES[firm]
    assert entries.firm == firm
    assert collections.Counter(item.service for item in entries.servers) == servers
    assert {item.name for item in entries.data_centres} == data_centres
    assert {item.data_centre for item in entries.vms} == data_centres
    assert (len(entries.vms), len(entries.accounts)) == (6, 16)


@pytest.mark.parametrize("firm", SIZES)
def test_settings_match_the_register(firm: str) -> None:
    folder = EXAMPLES / firm
    entries, _ = inputs.read_register_and_rules(
        folder / "register.yaml", folder / "rules.yaml"
    )
    for vm in entries.vms:
        values = inputs.read_settings(folder / "settings" / f"{vm.name}.yaml")
        assert values.router == vm.name
        assert values.data_centre == vm.data_centre
        assert values.caller_address == vm.caller_address
        assert values.peer_address == vm.peer_address
