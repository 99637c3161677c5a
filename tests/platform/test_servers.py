"""Entries of backend servers, and entries of others among them."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog, errors, storedobjects
from celeryspan.platform import servers
from standins import desk

KEYS = tuple(desk.make_entry("gate", "10.0.0.1:80"))

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


def store(spec: object, *, deleting: bool = False) -> storedobjects.StoredObject:
    """Return an object of the store."""
    return storedobjects.StoredObject("s1", 7, spec, None, deleting)


def make_spec(**values: object) -> dict[str, object]:
    """Return a whole entry."""
    return {**desk.make_entry("gate", "10.0.0.1:80"), **values}


def test_whole_entry_is_read() -> None:
    found = servers.read(store(make_spec(born=1_760_000_000_123)))
    assert (found.server, found.service, found.slots) == ("s1", "gate", 8)
    assert found.started_ms == 1_760_000_000_123
    assert servers.read(store(make_spec())).started_ms is None


def test_server_that_drains_or_is_being_deleted_is_leaving() -> None:
    assert not servers.read(store(make_spec())).is_leaving
    assert servers.read(store(make_spec(state="draining"))).is_leaving
    assert servers.read(store(make_spec(), deleting=True)).is_leaving


@pytest.mark.parametrize("key", KEYS)
def test_entry_with_a_missing_key_names_no_server(key: str) -> None:
    """Another writer puts an entry beside those of the servers.

    Taken for a server, it would draw requests to an address where none listens.
    """
    spec = make_spec()
    del spec[key]
    with pytest.raises(errors.InputError, match="servers/s1"):
        servers.read(store(spec))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("service", 7),
        ("service", "half of a pair \ud800"),
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
def test_entry_with_a_value_of_another_type_names_no_server(
    key: str, value: object
) -> None:
    with pytest.raises(errors.InputError, match="servers/s1"):
        servers.read(store(make_spec(**{key: value})))


@hypothesis.given(spec=JSON)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_entry_is_read_or_named(spec: object) -> None:
    try:
        found = servers.read(store(spec))
    except errors.InputError as error:
        assert error.key == "servers/s1"
    else:
        assert isinstance(found, catalog.ServerEntry)


@hypothesis.given(key=strategies.sampled_from((*KEYS, "born")), value=JSON)
@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
def test_any_value_of_a_key_is_read_or_named(key: str, value: object) -> None:
    try:
        found = servers.read(store(make_spec(**{key: value})))
    except errors.InputError as error:
        assert error.key == "servers/s1"
    else:
        found.service.encode()
        assert found.slots > 0 and 0 < found.address.port < 65_536
