"""Faults reported for settings, register and rules files."""

from __future__ import annotations

import pathlib

import pytest

from celeryspan import errors, inputs, settings, yamlfiles

HASH = "a" * 64
OTHER_HASH = "b" * 64

REGISTER = f"""\
firm: vrbicky
data_centres:
  - {{name: hala-a, region: bohemia}}
vms:
  - {{name: vm-1, data_centre: hala-a, caller_address: 127.0.0.1:8401, \
peer_address: 127.0.0.1:8501}}
  - {{name: vm-2, data_centre: hala-a, caller_address: 127.0.0.1:8402, \
peer_address: 127.0.0.1:8502}}
services:
  - {{name: gate-desk, kind: plain}}
servers:
  - {{name: gate-1, service: gate-desk, data_centre: hala-a, address: 127.0.0.1:9001}}
  - {{name: gate-2, service: gate-desk, data_centre: hala-a, address: 127.0.0.1:9002}}
accounts:
  - {{name: tower, key_hashes: [{HASH}]}}
  - {{name: buses, key_hashes: [{OTHER_HASH}]}}
"""

SETTINGS = """\
router: vm-1
data_centre: hala-a
caller_address: 127.0.0.1:8401
peer_address: 127.0.0.1:8501
store_address: 127.0.0.1:8300
fleet_keys: [a-shared-key]
"""


def find_faults(
    folder: pathlib.Path, register_text: str = REGISTER, rules_text: str = "{}"
) -> list[str]:
    register_path, rules_path = folder / "register.yaml", folder / "rules.yaml"
    register_path.write_text(register_text)
    rules_path.write_text(rules_text)
    try:
        inputs.read_register_and_rules(register_path, rules_path)
    except ExceptionGroup as group:
        assert all(isinstance(item, errors.InputError) for item in group.exceptions)
        lines = yamlfiles.list_faults(group)
        return [line.replace(f"{folder}/", "") for line in lines]
    return []


def test_valid_files_have_no_faults(tmp_path: pathlib.Path) -> None:
    assert find_faults(tmp_path, rules_text="weights: {tower: 4}") == []


def test_each_fault_is_one_line(tmp_path: pathlib.Path) -> None:
    text = (
        REGISTER.replace("name: vm-2,", "name: vm-1,")
        .replace("kind: plain", "kind: simple")
        .replace("address: 127.0.0.1:9002", "address: gate-host:9002")
        .replace(f"[{OTHER_HASH}]", "[]")
        .replace("firm: vrbicky", "firm: vrbicky\nfirma: vrbicky")
    )
    assert find_faults(tmp_path, text) == [
        "register.yaml:9: services[0 gate-desk].kind: expected 'model' or 'plain', "
        'found "simple"',
        "register.yaml:12: servers[1 gate-2].address: expected an IP number and a "
        'port, such as 10.0.0.1:8400, found "gate-host:9002"',
        "register.yaml:15: accounts[1 buses].key_hashes: expected a list of 1 or more, "
        "found []",
        "register.yaml:2: firma: expected only known keys, found this one with "
        '"vrbicky"',
        "register.yaml:7: vms[1 vm-1].name: expected each name once, found 'vm-1' in "
        "entry 0 too",
    ]


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("name: vm-2,", "name: vm-1,", "vms[1 vm-1].name: expected each name once"),
        ("name: buses", "name: tower", "accounts[1 tower].name: expected each name"),
        ("name: gate-2", "name: gate-1", "servers[1 gate-1].name: expected each name"),
        (":8502", ":8402", "vms[1 vm-2].peer_address: expected an address of its own"),
        (":9002", ":70000", "servers[1 gate-2].address: expected an IP number"),
        (OTHER_HASH, HASH, "accounts[1 buses].key_hashes[0]: expected a key of one"),
        (
            "name: gate-2, service: gate-desk",
            "name: gate-2, service: gate",
            "servers[1 gate-2].service: expected a service of the register "
            "(gate-desk), found 'gate'",
        ),
        (
            "name: gate-2, service: gate-desk, data_centre: hala-a",
            "name: gate-2, service: gate-desk, data_centre: hala-x",
            "servers[1 gate-2].data_centre: expected a data centre",
        ),
        (
            "  - {name: gate-desk, kind: plain}",
            "  - {name: gate-desk, kind: plain}\n  - {name: tugs, kind: plain}",
            "services[1 tugs]: expected a server of service 'tugs', found none",
        ),
        (
            "kind: plain}",
            "kind: plain, idempotent_paths: [status]}",
            "services[0 gate-desk].idempotent_paths[0]: expected a path that begins",
        ),
        (
            "data_centre: hala-a, address: 127.0.0.1:9002",
            "data_centre: hala-a, address: 127.0.0.1:9002, slots: yes",
            "servers[1 gate-2].slots: expected a whole number, found true",
        ),
        ("firm: vrbicky\n", "", "firm: expected this key, found nothing"),
        ("firm: vrbicky", "firm: a\nfirm: b", "firm: expected each key once, found"),
        ("firm: vrbicky", "firm: [", "expected plain YAML, found a fault"),
        ("firm: vrbicky", "firm: !!python/name:os.system", "expected plain YAML"),
    ],
)
def test_register_fault(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    assert old in REGISTER
    faults = find_faults(tmp_path, REGISTER.replace(old, new))
    assert len(faults) == 1
    assert expected in faults[0]
    assert faults[0].startswith("register.yaml:")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("weights: {tower: 0}", "weights.tower: expected a number above 0"),
        ("weights: {tower: -1}", "weights.tower: expected a number above 0.0, found"),
        ("weights: {tower: .nan}", "weights.tower: expected a finite number"),
        ("weights: {tower: heavy}", 'expected a number, found "heavy"'),
        ("weights: {tug: 1}", "weights.tug: expected a client account of the register"),
        ("weights: {tower: 1, tower: 2}", "weights.tower: expected each key once"),
        ("retirements: [gate-9]", "retirements[0]: expected a server of the register"),
        ("retirements: [gate-1, gate-1]", "retirements[1]: expected each name once"),
        ("retirements: [gate-1, gate-2]", "retirements: expected a server of service"),
        ("planned_stops: [vm-9]", "planned_stops[0]: expected a VM of the register"),
        ("planned_stops: [vm-1, vm-2]", "planned_stops: expected a VM to remain"),
        ("retirement: [gate-1]", "retirement: expected only known keys"),
        ("", "expected keys with values, found an empty file"),
        ("- a", 'expected keys with values, found ["a"]'),
        ("weights: &w {tower: 1}\nretirements: *w", "expected a value written out"),
    ],
)
def test_rules_fault(tmp_path: pathlib.Path, text: str, expected: str) -> None:
    faults = find_faults(tmp_path, rules_text=text)
    assert len(faults) == 1
    assert expected in faults[0]
    assert faults[0].startswith("rules.yaml:")


def test_faults_of_both_files_are_reported_together(tmp_path: pathlib.Path) -> None:
    text = REGISTER.replace(":9002", ":9001").replace("kind: plain", "kind: simple")
    text = text.replace("firm: vrbicky", "firm: a\nfirm: b")
    faults = find_faults(tmp_path, text, "weights: {tower: 0}\nretirements: [gate-9]")
    key_paths = [fault.split(": ")[1] for fault in faults]
    assert key_paths == [
        "firm",
        "services[0 gate-desk].kind",
        "servers[1 gate-2].address",
        "weights.tower",
        "retirements[0]",
    ]


def test_missing_file_is_one_line(tmp_path: pathlib.Path) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        inputs.read_settings(tmp_path / "none.yaml")
    (line,) = yamlfiles.list_faults(caught.value)
    assert line.endswith("expected a file to read, found: No such file or directory")


def test_settings_faults_are_reported_together(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(SETTINGS)
    assert isinstance(inputs.read_settings(path), settings.Settings)
    path.write_text(SETTINGS.replace(":8501", ":8401") + "drain_seconds: 0\n")
    with pytest.raises(ExceptionGroup) as caught:
        inputs.read_settings(path)
    first, second = yamlfiles.list_faults(caught.value)
    assert "drain_seconds: expected a number above 0" in first
    assert "peer_address: expected an address of its own, found that of call" in second
