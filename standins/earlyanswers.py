"""Servers that answer before they have read a request, and end the connection."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from celeryspan import ids
from standins import answerendings

RECEIVE_BUFFER_BYTES = 16_384
"""Size of the receive buffer; what it does not take of a request stays unsent."""

PAUSE_SECONDS = 0.05
"""Time for the client to receive what was sent before the connection ends."""

UPLOAD_BYTES = 65_536
"""Part of a request that is read while the client writes on."""

HEAD_END = b"\r\n\r\n"

End = Callable[[socket.socket], None]
"""Ends a connection on which a part of an answer was sent."""

RESETS: dict[str, End] = {}
"""Ways in which a connection is reset, by name."""


def _register(name: str) -> Callable[[End], End]:
    def decorate(function: End) -> End:
        RESETS[name] = function
        return function

    return decorate


def _reset(connection: socket.socket) -> None:
    linger = answerendings.RESET_LINGER
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


@_register("at once")
def _reset_at_once(connection: socket.socket) -> None:
    _reset(connection)


@_register("after a pause")
def _reset_after_pause(connection: socket.socket) -> None:
    time.sleep(PAUSE_SECONDS)
    _reset(connection)


@_register("while it reads")
def _reset_while_reading(connection: socket.socket) -> None:
    _read(connection, UPLOAD_BYTES)
    _reset(connection)


@_register("after reading and a pause")
def _reset_after_reading(connection: socket.socket) -> None:
    _read(connection, UPLOAD_BYTES)
    time.sleep(PAUSE_SECONDS)
    _reset(connection)


@_register("by closing with unread data")
def _close_unread(connection: socket.socket) -> None:
    time.sleep(PAUSE_SECONDS)
    connection.close()


@_register("after its own end")
def _reset_after_end(connection: socket.socket) -> None:
    """End the answer in order, and reset on what the client sends on."""
    connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_SECONDS)
    connection.close()


def end_in_order(connection: socket.socket) -> None:
    """End the answer, read the request to its end, and close."""
    connection.shutdown(socket.SHUT_WR)
    with contextlib.suppress(OSError):
        while connection.recv(UPLOAD_BYTES):
            pass
    connection.close()


def _read(connection: socket.socket, size: int) -> None:
    while size > 0 and (data := connection.recv(size)):
        size -= len(data)


class EarlyServer:
    """Answers each request once its head has arrived, and ends the connection.

    Parameters
    ----------
    answer : callable
        Returns the bytes to send, from the head of the request.

    Attributes
    ----------
    answered : int
        Number of answers.
    """

    def __init__(self, answer: Callable[[bytes], bytes], end: End) -> None:
        self._answer, self._end = answer, end
        self.answered = 0
        self._listener = socket.socket()
        size = RECEIVE_BUFFER_BYTES
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self.address = ids.Address(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close the listener."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        received = b""
        with connection, contextlib.suppress(OSError):
            while HEAD_END not in received:
                data = connection.recv(1024)
                if not data:
                    return
                received += data
            self.answered += 1
            connection.sendall(self._answer(received.partition(HEAD_END)[0]))
            self._end(connection)
