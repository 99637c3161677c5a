"""Faults reported for the settings of a router on the users' platform."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from celeryspan import yamlfiles
from celeryspan.gateway import settings

VALID = {
    "router": "edge-1",
    "data_centre": "hala-a",
    "caller_address": "10.0.0.1:1",
    "peer_address": "10.0.0.1:2",
    "ready_address": "10.0.0.1:3",
    "directory_address": "10.0.0.1:4",
    "store_address": "10.0.0.2:5",
    "fleet_keys": "[key]",
}

IMPORT_CHECK = """
import sys
from celeryspan.daemons import gateway
gateway.import_services()
assert "pydantic" not in sys.modules
"""


def find_faults(folder: pathlib.Path, **changes: str | None) -> list[str]:
    """Return the faults of settings with some keys changed, or omitted if None."""
    values = {**VALID, **changes}
    lines = [f"{key}: {text}" for key, text in values.items() if text is not None]
    path = folder / "router.yaml"
    path.write_text("\n".join(lines))
    try:
        yamlfiles.read_file(path, settings.Settings)
    except ExceptionGroup as group:
        return [line.partition(": ")[2] for line in yamlfiles.list_faults(group)]
    return []


@pytest.mark.parametrize(
    ("key", "text", "expected"),
    [
        ("router", "5", "router: expected text, found 5"),
        ("router", "Edge", "router: expected a name of a-z, 0-9, '.' and '-'"),
        ("router", '"edge\\n"', "router: expected a name of a-z, 0-9, '.' and '-'"),
        ("router", None, "router: expected this key, found nothing"),
        ("store_address", "here", "store_address: expected an IP number and a port"),
        ("store_address", "1.2.3.4:0", "store_address: expected an IP number and a"),
        ("fleet_keys", "key", 'fleet_keys: expected a list, found "key"'),
        ("fleet_keys", "[]", "fleet_keys: expected a list of 1 or more, found []"),
        ("fleet_keys", "[a, b, c]", "fleet_keys: expected a list of 2 or fewer"),
        ("fleet_keys", "[a, 7]", "fleet_keys[1]: expected text, found 7"),
        ("operator_key_hashes", "[x]", "operator_key_hashes[0]: expected a SHA-256"),
        ("caller_threads", "3", "caller_threads: expected a number of at least 4"),
        ("caller_threads", "8.5", "caller_threads: expected a whole number, found 8.5"),
        ("caller_threads", "true", "caller_threads: expected a whole number, found"),
        ("metrics_port", "70000", "metrics_port: expected a number of at most 65535"),
        ("grace_seconds", "0", "grace_seconds: expected a number above 0, found 0"),
        ("grace_seconds", "soon", 'grace_seconds: expected a number, found "soon"'),
        ("grace_seconds", ".inf", "grace_seconds: expected a finite number, found inf"),
        ("grace", "8", "grace: expected only known keys, found this one with 8"),
    ],
)
def test_fault_names_the_key_and_the_expected_value(
    tmp_path: pathlib.Path, key: str, text: str | None, expected: str
) -> None:
    (fault,) = find_faults(tmp_path, **{key: text})
    assert fault.startswith(expected)


def test_all_faults_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    faults = find_faults(
        tmp_path, router="Edge", fleet_keys="[]", grace_seconds="0", grace="8"
    )
    keys = [fault.split(":")[0] for fault in faults]
    assert keys == ["router", "fleet_keys", "grace_seconds", "grace"]


def test_valid_settings_have_no_faults(tmp_path: pathlib.Path) -> None:
    assert find_faults(tmp_path, grace_seconds="4") == []


def test_platform_router_does_not_import_pydantic() -> None:
    """On a VM with 200 MB of memory and half a core, importing pydantic is expensive.

    It took a third of the router's memory and a quarter of its startup time, only to
    validate one small file.
    """
    completed = subprocess.run(
        [sys.executable, "-c", IMPORT_CHECK], capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
