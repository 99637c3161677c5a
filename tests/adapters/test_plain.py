"""Answers of plain services that break off, as the own interface reads them."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from celeryspan import answerreaders, calls, guardedsockets, ids
from celeryspan.adapters import backend, plain
from celeryspan.services import backends
from standins import answerendings, earlyanswers, endlessanswers, invalidheads

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENTS = [b"id: %d\ndata: piece\n\n" % number for number in range(1, 4)]
LIMITS = answerreaders.Limits(head=16_384, body=1_000_000)
ENDLESS_KINDS = sorted(endlessanswers.KINDS.keys() - {"answers to other requests"})
"""Plain services name no request in their answers; the first is taken as the answer."""

FRAMINGS = list(answerendings.Framing)


@contextlib.contextmanager
def open_link(
    ending: answerendings.Ending, *, is_stalled: bool = False
) -> Iterator[backend.Connection]:
    """Yield a connection to a service that ends its answer, or waits for our end."""

    def serve() -> None:
        connection, _ = listener.accept()
        connection.recv(65_536)
        connection.sendall(ending.format_answer(HEAD, EVENTS))
        if is_stalled:
            connection.recv(65_536)
        ending.prepare_close(connection)
        connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        link = backend.Connection(*listener.getsockname(), timeout=5.0)
        link.server = ids.ServerId("desk-1")
        link.connect()
        with contextlib.closing(link):
            yield link
        thread.join()


def read_answer(ending: answerendings.Ending) -> bytes:
    """Return the body of an answer; raises one of the errors of a link."""
    with open_link(ending) as link:
        return b"".join(start_answer(link))


def start_answer(link: backend.Connection, body: bytes = b"") -> Iterator[bytes]:
    """Send a call and return the body of its answer as it arrives."""
    call = calls.Call(
        request=ids.RequestId("r1"),
        service=ids.ServiceId("desk"),
        account=ids.AccountId("quay"),
        idempotent=True,
        deadline=0.0,
        method="GET",
        target="/",
        headers=(),
        body=body,
        hint=1.0,
        cancellation=calls.Cancellation(),
    )
    service = plain.PlainService()
    service.send(link, call, call.request)
    _, pieces = service.receive(link)
    return pieces


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("parts", [0, 2])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_that_ends_inside_an_event_is_incomplete(
    framing: answerendings.Framing, parts: int, is_reset: bool
) -> None:
    """Guards against a broken stream that the own interface frames as complete."""
    ending = answerendings.Ending(
        framing, parts, 5, has_end_mark=not is_reset, is_reset=is_reset
    )
    with pytest.raises(backends.LINK_ERRORS):
        read_answer(ending)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("parts", [1, 2])
def test_answer_whose_connection_this_side_ends_is_incomplete(
    framing: answerendings.Framing, parts: int
) -> None:
    """Guards against an aborted answer of no length that is taken for complete."""
    ending = answerendings.Ending(framing, parts)
    with open_link(ending, is_stalled=True) as link:
        pieces = start_answer(link)
        assert next(pieces) == b"".join(EVENTS[:parts])
        link.abort("a test")
        with pytest.raises(backends.LINK_ERRORS):
            list(pieces)


@pytest.mark.parametrize("size", [-20, -2])
def test_answer_that_ends_inside_its_head_is_incomplete(size: int) -> None:
    """Guards against headers that end with the connection and look complete."""
    ending = answerendings.Ending(answerendings.Framing.CONNECTION, head_bytes=size)
    with pytest.raises(backends.LINK_ERRORS):
        read_answer(ending)


@pytest.mark.parametrize("kind", invalidheads.INVALID)
def test_answer_with_an_invalid_head_is_no_answer(kind: str) -> None:
    """Guards against an answer whose end, status or fields are guessed."""
    with pytest.raises(backends.LINK_ERRORS):
        read_answer(invalidheads.INVALID[kind])


@pytest.mark.parametrize("kind", ENDLESS_KINDS)
def test_answer_without_end_is_read_within_its_limits(kind: str) -> None:
    """Guards against a service that is read for as long as it sends."""

    def serve() -> None:
        connection, _ = listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            for piece in endlessanswers.KINDS[kind]("r1", b"HTTP/1.1 200 OK\r\n"):
                connection.sendall(piece)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        link = backend.Connection(*listener.getsockname(), timeout=5.0)
        link.limits = LIMITS
        link.server = ids.ServerId("desk-1")
        link.connect()
        with contextlib.closing(link), pytest.raises(backends.LINK_ERRORS):
            for _ in start_answer(link):
                pass
        thread.join(5.0)
        assert not thread.is_alive()


def test_answer_that_trickles_ends_at_its_deadline() -> None:
    """Guards against a read timeout that starts anew with each byte."""
    ending = answerendings.Ending(answerendings.Framing.CONNECTION, 1)
    with open_link(ending, is_stalled=True) as link:
        pieces = start_answer(link)
        next(pieces)
        backends.set_deadline(link, time.monotonic() + 0.2, 5.0)
        with pytest.raises(backends.TIMEOUT_ERRORS):
            next(pieces)


def upload(end: earlyanswers.End, size: int) -> bytes:
    """Return the body of an answer to a long call; raises an error of a link."""
    early = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nserved"
    server = earlyanswers.EarlyServer(lambda _: early, end)
    link = backend.Connection(*server.address, timeout=5.0)
    link.server = ids.ServerId("desk-1")
    link.connect()
    with contextlib.closing(link):
        try:
            return b"".join(start_answer(link, b"x" * size))
        finally:
            assert server.answered == 1
            server.stop()


@pytest.mark.parametrize("size", [100_000, 8_000_000])
@pytest.mark.parametrize("reset", earlyanswers.RESETS)
def test_answer_that_is_reset_during_the_upload_is_not_complete(
    reset: str, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of an answer of no length that is taken for all of it."""
    monkeypatch.setattr(guardedsockets, "RESET_SECONDS_MAX", 60.0)
    with pytest.raises(backends.LINK_ERRORS):
        upload(earlyanswers.RESETS[reset], size)


def test_early_answer_that_ends_in_order_is_whole() -> None:
    """Guards against early answers that are taken for broken ones."""
    assert upload(earlyanswers.end_in_order, 100_000) == b"served"


@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_stream_stays_whole(framing: answerendings.Framing) -> None:
    ending = answerendings.Ending(framing, has_end_mark=True)
    assert read_answer(ending) == b"".join(EVENTS)
