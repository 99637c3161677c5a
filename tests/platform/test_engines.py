"""Answers without end to the control calls of engines."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import pytest

from celeryspan import catalog, errors, ids
from celeryspan.platform import engines, servers
from standins import endlessanswers, sampleconfig
from tests.platform import test_servers

KINDS = ("body", "chunked body", "length of a terabyte", "body of a failure")


@pytest.fixture
def client() -> Iterator[engines.EngineClient]:
    """Return a client that ignores what answers say of their servers."""
    with contextlib.closing(engines.EngineClient(lambda *_: None)) as found:
        yield found


def list_parts(client: engines.EngineClient, address: ids.Address) -> None:
    """List what an engine keeps; an endless list is no list."""
    with pytest.raises(errors.NotRun):
        client.list_kept_parts(make_entry(address))


def move(client: engines.EngineClient, address: ids.Address) -> None:
    """Move a run; its outcome is unknown without a whole answer."""
    with pytest.raises(errors.OutcomeUnknown):
        client.move(make_entry(address), ids.RequestId("r1"), address, 1.0)


def release(client: engines.EngineClient, address: ids.Address) -> None:
    """Release a copy, whatever the engine answers."""
    client.release_copy(make_entry(address), "copy-1")


def make_entry(address: ids.Address) -> catalog.ServerEntry:
    """Return the entry of an engine."""
    spec = sampleconfig.make_entry("planner", address)
    return servers.read(test_servers.make_stored(spec))


@pytest.mark.parametrize("call", [list_parts, move, release])
@pytest.mark.parametrize("kind", KINDS)
def test_endless_answer_to_a_control_call_is_not_collected(
    client: engines.EngineClient, call, kind: str
) -> None:
    """Guards against an engine whose answers take the memory of a router."""
    engine = endlessanswers.Server(kind)
    call(client, engine.address)
    engine.wait()
    assert engine.sent < endlessanswers.SOCKET_BYTES
