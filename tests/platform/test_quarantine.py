"""The stored record of requests that crash servers."""

from __future__ import annotations

import json

import pytest

from celeryspan import errors, storedobjects
from celeryspan.platform import quarantine
from celeryspan.wire import messages

SUSPECT = messages.Suspect(
    2**63 + 1,
    2**64 - 1,
    5,
    (messages.Strike("gpu-1@7", 2**41, 255, 2**31, True),),
)


def wrap(spec: object) -> storedobjects.StoredObject:
    """Return an object of the store."""
    return storedobjects.StoredObject("main", 1, spec, None, False)


def test_record_reads_back_as_it_was_written() -> None:
    spec = json.loads(json.dumps(quarantine.write([SUSPECT])))
    assert quarantine.read(wrap(spec)) == [SUSPECT]


def spoil(key: str, value: object) -> dict:
    """Return a record with one entry of another kind."""
    spec = quarantine.write([SUSPECT])
    (entry,) = spec["requests"]
    target = entry if key in entry else entry["crashes"][0]
    target[key] = value
    return spec


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        {"requests": 3},
        {"requests": [None]},
        spoil("fingerprint", "zz" * 8),
        spoil("fingerprint", "ab"),
        spoil("scope", 7),
        spoil("acquitted_ms", -1),
        spoil("acquitted_ms", True),
        spoil("crashes", []),
        spoil("server", 4),
        spoil("trial", 256),
        spoil("run_ms", 1.5),
        spoil("is_prompt", 1),
    ],
)
def test_record_of_another_writer_is_refused_with_its_place(spec: object) -> None:
    with pytest.raises(errors.InputError, match="celeryspan-quarantine/main"):
        quarantine.read(wrap(spec))
