"""Refusals, load reports and other short answers of servers that have no end."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import pytest

from celeryspan import errors, ids
from celeryspan.adapters import backend, engine, load, orders
from celeryspan.services import backends
from standins import endlessanswers
from tests.adapters import test_plain

KINDS = ("body", "chunked body", "length of a terabyte")
RUN = ids.RequestId("r1")

Call = Callable[[ids.Address], None]

CALLS: dict[str, Call] = {}


def register(function: Call) -> Call:
    """Register a call to a server."""
    CALLS[function.__name__] = function
    return function


@contextlib.contextmanager
def open_link(address: ids.Address) -> Iterator[backend.Connection]:
    """Yield a connection to a server."""
    link = backend.Connection(address.host, address.port, timeout=5.0)
    link.server = ids.ServerId("desk-1")
    link.connect()
    with contextlib.closing(link):
        yield link


@register
def call_service(address: ids.Address) -> None:
    """Call a plain service, and read the beginning of its answer."""
    with open_link(address) as link:
        assert next(test_plain.start_answer(link))


@register
def resume_run(address: ids.Address) -> None:
    """Ask an engine for the rest of a stream."""
    adapter = engine.ModelEngine()
    with open_link(address) as link, pytest.raises(backends.LINK_ERRORS):
        adapter.resume(link, RUN, 0)
        list(adapter.receive(link, RUN, 0))


@register
def cancel_run(address: ids.Address) -> None:
    """Ask an engine to stop a run."""
    with open_link(address) as link, pytest.raises(backends.LINK_ERRORS):
        engine.ModelEngine().cancel(link, RUN)


@register
def read_load(address: ids.Address) -> None:
    """Read a load report."""
    with pytest.raises(errors.CeleryspanError):
        load.LoadClient().read(ids.ServerId("desk-1"), address, 0.0)


@register
def read_state(address: ids.Address) -> None:
    """Read the state of an engine."""
    with pytest.raises(errors.CeleryspanError):
        orders.OrderClient().read_state(address)


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("kind", KINDS)
def test_endless_short_answer_is_not_collected(kind: str, call: Call) -> None:
    """Guards against a server whose answers take the memory of a router."""
    server = endlessanswers.Server(kind, b"HTTP/1.1 503 Full\r\n")
    call(server.address)
    server.wait()
    assert server.sent < endlessanswers.SOCKET_BYTES
