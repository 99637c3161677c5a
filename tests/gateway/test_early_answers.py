"""Servers that answer a long request early and reset the connection."""

from __future__ import annotations

import contextlib
import http.client
import re
from collections.abc import Iterator

import pytest

from celeryspan import guardedsockets
from standins import earlyanswers, platformserver, sampleconfig
from tests.gateway import support

LIMITS = {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000}
UPLOAD = b"x" * 4_000_000
BODY = platformserver.BODY

REQUESTS = 5


def make_answer(head: bytes) -> bytes:
    """Return an answer of no length, or a part of one."""
    found = re.search(rb"(?i)Celeryspan-Request-Id: (\S+)", head)
    assert found is not None
    return (
        b"HTTP/1.1 200 OK\r\nCeleryspan-Request-Id: %b\r\n"
        b"Celeryspan-Server-Stamp: early\r\nConnection: close\r\n\r\n%b"
    ) % (found[1], BODY)


@contextlib.contextmanager
def open_server(
    cluster: support.Cluster, end: earlyanswers.End
) -> Iterator[earlyanswers.EarlyServer]:
    """Yield the only server of a service, which answers early."""
    cluster.store.put("config", "main", support.make_configuration(limits=LIMITS))
    server = earlyanswers.EarlyServer(make_answer, end)
    entry = sampleconfig.make_entry("gate", server.address)
    cluster.store.put("servers", "early-1", entry)
    try:
        yield server
    finally:
        server.stop()


def upload(router: support.Router, path: str, number: int) -> int | None:
    """Send a long request; returns the status of a whole answer."""
    # Equal requests would be held, since they seem to crash their servers.
    body = b"%d" % number + UPLOAD
    try:
        return router.call(path, f"r{number}", body=body).status
    except (OSError, http.client.HTTPException):
        return None


@pytest.mark.parametrize("path", ["/bookings/1", "/calls/1"])
@pytest.mark.parametrize("reset", earlyanswers.RESETS)
def test_answer_that_is_reset_during_the_upload_is_not_complete(
    cluster: support.Cluster, path: str, reset: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of an answer of no length that is taken for all of it."""
    monkeypatch.setattr(guardedsockets, "RESET_SECONDS_MAX", 60.0)
    with open_server(cluster, earlyanswers.RESETS[reset]) as server:
        router = cluster.start_router()
        for number in range(REQUESTS):
            assert upload(router, path, number) in (None, 502, 503)
        assert server.answered


def test_early_answer_that_ends_in_order_is_whole(cluster: support.Cluster) -> None:
    """Guards against early answers that are taken for broken ones."""
    with open_server(cluster, earlyanswers.end_in_order) as server:
        router = cluster.start_router()
        for number in range(REQUESTS):
            assert upload(router, "/bookings/1", number) == 200
        assert server.answered == REQUESTS
