"""The stored record of requests that crash servers."""

from __future__ import annotations

import json

import pytest

from celeryspan import errors, storedobjects
from celeryspan.decisions import quarantine as decisions
from celeryspan.platform import quarantine
from celeryspan.wire import messages

SUSPECT = messages.Suspect(
    2**63 + 1,
    2**64 - 1,
    5,
    (messages.Strike("gpu-1@7", 2**41, 255, 2**31, True),),
)


def make_stored(spec: object) -> storedobjects.StoredObject:
    """Return a stored object."""
    return storedobjects.StoredObject("main", 1, spec, None, False)


def test_record_round_trips() -> None:
    spec = json.loads(json.dumps(quarantine.write([SUSPECT])))
    assert quarantine.read(make_stored(spec)) == [SUSPECT]


CRASH_FIELDS = ("server", "at_ms", "trial", "run_ms", "is_prompt")


def make_invalid(key: str, value: object) -> dict:
    """Return a record with one invalid value."""
    spec = quarantine.write([SUSPECT])
    (entry,) = spec["requests"]
    if key in CRASH_FIELDS:
        entry["crashes"][0][CRASH_FIELDS.index(key)] = value
    else:
        entry[key] = value
    return spec


@pytest.mark.parametrize(
    "spec",
    [
        None,
        [],
        {"requests": 3},
        {"requests": [None]},
        make_invalid("fingerprint", "zz" * 8),
        make_invalid("fingerprint", "ab"),
        make_invalid("scope", 7),
        make_invalid("acquitted_ms", -1),
        make_invalid("acquitted_ms", True),
        make_invalid("crashes", []),
        make_invalid("crashes", [{}]),
        make_invalid("crashes", [["gpu-1@7", 1]]),
        make_invalid("server", 4),
        make_invalid("trial", 256),
        make_invalid("run_ms", 1.5),
        make_invalid("is_prompt", 1),
    ],
)
def test_malformed_record_is_refused_and_named(spec: object) -> None:
    with pytest.raises(errors.InputError, match="celeryspan-quarantine/main"):
        quarantine.read(make_stored(spec))


def test_full_record_fits_into_the_store() -> None:
    """A record above the store's size limit could not be written when it is full."""
    strikes = tuple(
        messages.Strike(f"{'i' * 40}@{2**41}", 2**41 + n, 255, 2**31, False)
        for n in range(decisions.STRIKES_MAX)
    )
    full = [
        messages.Suspect(2**64 - 1, whole, 2**41, strikes)
        for whole in range(decisions.SUSPECTS_MAX)
    ]
    assert len(json.dumps(quarantine.write(full))) < 900_000
