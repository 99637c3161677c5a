"""Answers without end to the control calls of engines."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from celeryspan import catalog, errors, ids
from celeryspan.platform import engines, servers
from standins import endlessanswers, sampleconfig
from tests.platform import test_servers

HEAD = b"HTTP/1.1 200 OK\r\n"
WAIT_SECONDS = 10.0
KINDS = ("body", "chunked body", "length of a terabyte", "body of a failure")

SOCKET_BYTES = 12_000_000
"""What the buffers of two sockets take of an answer that nobody reads."""


class EndlessEngine:
    """Answers a call with bytes that have no end.

    Attributes
    ----------
    sent : int
        Bytes that were sent.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self.sent = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = ids.Address(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def wait(self) -> None:
        """Wait until the client has closed the connection."""
        self._thread.join(WAIT_SECONDS)
        self._listener.close()
        assert not self._thread.is_alive()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            for piece in endlessanswers.KINDS[self._kind]("r1", HEAD):
                connection.sendall(piece)
                self.sent += len(piece)


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
    engine = EndlessEngine(kind)
    call(client, engine.address)
    engine.wait()
    assert engine.sent < SOCKET_BYTES
