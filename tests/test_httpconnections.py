"""Answers to a router's own calls, such as those to the store."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3

from celeryspan import answerreaders, errors, guardedsockets, httpconnections
from celeryspan.platform import objects
from standins import earlyanswers, endlessanswers

HEAD = b"HTTP/1.1 200 OK\r\n"
WAIT_SECONDS = 10.0
KINDS = sorted(endlessanswers.KINDS.keys() - {"answers to other requests"})


@contextlib.contextmanager
def open_server(pieces: Callable[[], Iterator[bytes]]) -> Iterator[str]:
    """Yield the address of a server that answers each call with the given bytes."""

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.recv(65_536)
                for piece in pieces():
                    connection.sendall(piece)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        _, port = listener.getsockname()
        yield f"127.0.0.1:{port}"
        listener.shutdown(socket.SHUT_RDWR)
    thread.join(WAIT_SECONDS)
    assert not thread.is_alive()


@pytest.mark.parametrize("kind", KINDS)
def test_call_ends_within_the_limits_of_its_answer(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a store or an engine that is read for as long as it sends."""
    limits = answerreaders.Limits(head=16_384, body=1_000_000)
    monkeypatch.setattr(httpconnections.Connection, "limits", limits)
    pool = httpconnections.make_pool(retries=False)
    with open_server(lambda: endlessanswers.KINDS[kind]("r1", HEAD)) as address:
        with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
            pool.request("GET", f"http://{address}/", timeout=WAIT_SECONDS)
        pool.clear()


def test_store_that_trickles_is_unavailable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a read timeout that starts anew with each byte of an answer."""
    monkeypatch.setattr(objects, "READ_TIMEOUT_SECONDS", 0.3)

    def trickle() -> Iterator[bytes]:
        yield HEAD + b"Content-Length: 1000\r\n\r\n"
        for _ in range(100):
            time.sleep(0.05)
            yield b" "

    with open_server(trickle) as address:
        client = objects.ObjectClient(address)
        with pytest.raises(errors.StoreUnavailable):
            client.get("config", "main")
        client.close()


@pytest.mark.parametrize("size", [100_000, 8_000_000])
@pytest.mark.parametrize("reset", earlyanswers.RESETS)
def test_answer_that_is_reset_during_the_upload_is_not_complete(
    reset: str, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of an answer of no length that is taken for all of it."""
    monkeypatch.setattr(guardedsockets, "RESET_SECONDS_MAX", 60.0)
    early = HEAD + b"Connection: close\r\n\r\nserved"
    server = earlyanswers.EarlyServer(lambda _: early, earlyanswers.RESETS[reset])
    pool = httpconnections.make_pool(retries=False)
    url = f"http://{server.address}/"
    try:
        with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
            pool.request("PUT", url, body=b"x" * size, timeout=WAIT_SECONDS)
        assert server.answered == 1
    finally:
        server.stop()
        pool.clear()
