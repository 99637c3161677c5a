"""The end of a connection on which a request is still being sent."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from celeryspan import guardedsockets
from standins import earlyanswers

REQUEST = b"x" * 16_000_000
"""More than the buffers of a connection take."""

PART = b"part"


@contextlib.contextmanager
def connect() -> Iterator[tuple[guardedsockets.GuardedSocket, socket.socket]]:
    """Yield both ends of a connection of which the second reads little ahead."""
    with socket.socket() as listener:
        size = earlyanswers.RECEIVE_BUFFER_BYTES
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = guardedsockets.connect(listener.getsockname(), 5.0, ())
        far, _ = listener.accept()
    with near, far:
        yield near, far


def end_answer(far: socket.socket) -> None:
    far.sendall(PART)
    far.shutdown(socket.SHUT_WR)


def send_start(near: guardedsockets.GuardedSocket) -> None:
    """Send what the system takes of a request; the rest stays unsent."""
    near.setblocking(False)
    near.unsent = memoryview(REQUEST)[near.send(REQUEST) :]
    assert near.unsent
    near.setblocking(True)


@pytest.mark.parametrize("method", ["recv", "recv_into"])
def test_reset_behind_the_end_of_an_answer_is_no_end(method: str) -> None:
    """Guards against a part of an answer that looks whole since its end was orderly."""

    def receive() -> int:
        if method == "recv":
            return len(near.recv(100))
        return near.recv_into(memoryview(bytearray(100)))

    with connect() as (near, far):
        send_start(near)
        end_answer(far)
        assert receive() == len(PART)
        far.close()
        with pytest.raises(ConnectionError):
            receive()


def test_rest_of_a_request_reaches_a_server_that_reads_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against other bytes where a server waits for the rest of a request."""
    monkeypatch.setattr(guardedsockets, "RESET_SECONDS_MAX", 60.0)
    received = bytearray()

    def read_all() -> None:
        while data := far.recv(50_000):
            received.extend(data)

    with connect() as (near, far):
        send_start(near)
        end_answer(far)
        assert near.recv(100) == PART
        thread = threading.Thread(target=read_all, daemon=True)
        thread.start()
        assert near.recv(100) == b""
        near.close()
        thread.join(5.0)
    assert received == REQUEST


@pytest.mark.parametrize("deadline", [0.0, 60.0])
def test_end_counts_if_the_rest_of_a_request_is_not_read(deadline: float) -> None:
    """Guards against a reader that waits for a server which neither reads nor ends."""
    with connect() as (near, far):
        send_start(near)
        end_answer(far)
        if deadline:
            near.set_deadline(time.monotonic() + deadline)
        assert near.recv(100) == PART
        assert near.recv(100) == b""


def test_end_after_a_whole_request_is_an_end() -> None:
    """Guards against whole answers that are taken for broken ones."""
    with connect() as (near, far):
        near.sendall(b"short")
        assert far.recv(100) == b"short"
        end_answer(far)
        assert near.recv(100) == PART
        assert near.recv(100) == b""
