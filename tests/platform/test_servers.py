"""Parsing of backend server entries and rejection of malformed ones."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog, errors, storedobjects
from celeryspan.platform import servers
from standins import sampleconfig

KEYS = tuple(sampleconfig.make_entry("gate", "10.0.0.1:80"))

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=())),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from((*KEYS, "x")), inner)
    ),
    max_leaves=8,
)


def make_stored(spec: object, *, deleting: bool = False) -> storedobjects.StoredObject:
    """Return a stored object."""
    return storedobjects.StoredObject("s1", 7, spec, None, deleting)


def make_spec(**values: object) -> dict[str, object]:
    """Return a valid entry with some values replaced."""
    return {**sampleconfig.make_entry("gate", "10.0.0.1:80"), **values}


def test_valid_entry_is_parsed() -> None:
    found = servers.read(make_stored(make_spec(born=1_760_000_000_123)))
    assert (found.server, found.service, found.slots) == ("s1", "gate", 8)
    assert found.started_ms == 1_760_000_000_123
    assert servers.read(make_stored(make_spec())).started_ms is None


def test_version_of_the_software_is_kept() -> None:
    """Guards against streams that go on at any version for want of its name."""
    first = servers.read(make_stored(make_spec(version="v1.2")))
    second = servers.read(make_stored(make_spec(version="v1.3")))
    assert first.version == "v1.2"
    assert second.replaces(first)
    assert not first.replaces(first)


def test_draining_or_terminating_server_is_leaving() -> None:
    assert not servers.read(make_stored(make_spec())).is_leaving
    assert servers.read(make_stored(make_spec(state="draining"))).is_leaving
    assert servers.read(make_stored(make_spec(), deleting=True)).is_leaving


@pytest.mark.parametrize("key", KEYS)
def test_entry_with_a_missing_key_is_rejected(key: str) -> None:
    """Another system writes an entry of the same kind.

    Accepted as a server, it would get requests at an address where nothing listens.
    """
    spec = make_spec()
    del spec[key]
    with pytest.raises(errors.InputError, match="servers/s1"):
        servers.read(make_stored(spec))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("service", 7),
        ("service", "unpaired surrogate \ud800"),
        ("address", "10.0.0.1"),
        ("address", "10.0.0.1:80000"),
        ("address", "gate.example:80"),
        ("address", ["10.0.0.1", 80]),
        ("zone", None),
        ("version", 1),
        ("slots", "8"),
        ("slots", True),
        ("slots", 0),
        ("slots", 1e300),
        ("state", "sleeping"),
        ("state", {}),
        ("cold_left_ms", "soon"),
        ("cold_left_ms", float("nan")),
        ("sequence", -1),
        ("born", "1760000000123"),
        ("born", 1.5),
        ("born", None),
    ],
)
def test_entry_with_an_invalid_value_is_rejected(key: str, value: object) -> None:
    with pytest.raises(errors.InputError, match="servers/s1"):
        servers.read(make_stored(make_spec(**{key: value})))


@hypothesis.given(spec=JSON)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_entry_is_parsed_or_rejected(spec: object) -> None:
    try:
        found = servers.read(make_stored(spec))
    except errors.InputError as error:
        assert error.key == "servers/s1"
    else:
        assert isinstance(found, catalog.ServerEntry)


@hypothesis.given(key=strategies.sampled_from((*KEYS, "born")), value=JSON)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_value_of_a_key_is_parsed_or_rejected(key: str, value: object) -> None:
    try:
        found = servers.read(make_stored(make_spec(**{key: value})))
    except errors.InputError as error:
        assert error.key == "servers/s1"
    else:
        found.service.encode()
        assert found.slots > 0 and 0 < found.address.port < 65_536
