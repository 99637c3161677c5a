"""A caller's connection: receives requests, ends answers and closes."""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
import time
from typing import TYPE_CHECKING

from cheroot import server as cheroot_server

from celeryspan.decisions import requestframing
from celeryspan.services import framing, streams

if TYPE_CHECKING:
    from celeryspan.services import httpserver

# Time for which a thread waits for the rest of a request before it is given back.
RECEIVE_PATIENCE_SECONDS = 0.1

# Bytes that are read at once of a head, and of a body.
HEAD_READ_BYTES = 16_384
BODY_READ_BYTES = 65_536

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Time for which the data that is still in flight after an early answer is discarded
# before the connection is closed.
LINGER_SECONDS = 0.5

# Value of SO_LINGER with which closing a connection resets it.
RESET_LINGER = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)


class Connection(cheroot_server.HTTPConnection):
    """A caller's connection.

    Attributes
    ----------
    overloaded : bool
        Whether all threads are busy, so that the application should refuse the request.
    has_unread_input : bool
        Whether the caller may still be sending when the connection is closed.
    lingers_until : float
        Monotonic time in seconds until which unread input is discarded after the
        answer; 0 before it.
    is_incomplete : bool
        Whether the rest of the current request has still to arrive.
    assembler : Assembler or None
        The request that arrives or is served; None between two requests.
    is_counted : bool
        Whether the current request counts toward the limit of the thread pool.
    request_began_at : float
        Monotonic time in seconds at which the current request started to arrive.
    """

    RequestHandlerClass = framing.Request
    overloaded = False
    has_unread_input = False
    is_counted = False
    is_incomplete = False
    lingers_until = 0.0
    assembler: requestframing.Assembler | None = None
    _is_reset = False
    _is_continued = False
    _unread = b""
    _received_bytes = 0

    def __init__(
        self, server: httpserver.Server, sock: socket.socket, *_: object
    ) -> None:
        super().__init__(server, sock, streams.open_stream)
        self.request_began_at = time.monotonic()

    def communicate(self) -> bool:
        """Serve one request and return whether the connection stays open.

        A request that has not arrived whole is not served, see ``is_incomplete``.
        """
        if self.assembler is None:
            self._begin_request()
        self.is_incomplete = not (self.assembler.is_done or self._receive_promptly())
        if self.is_incomplete:
            return True
        if self.assembler.is_empty:
            return False  # The caller has closed its side.
        self.rfile = streams.Reader(self.assembler.take_head())
        try:
            return super().communicate()
        finally:
            self.server.close_watcher.remove(self.socket)
            self._unread = self.assembler.take_rest()
            self.rfile.has_more = bool(self._unread)
            self.assembler = None
            self.server.memory.release(self)

    def receive(self) -> bool:
        """Read what has arrived of the request; returns whether it can be served.

        What arrives after the answer is discarded.

        ``os.read`` is used because ``socket.recv`` waits for up to the timeout. The
        descriptor of a socket with a timeout does not block.

        Raises
        ------
        OSError
            If the caller has reset the connection.
        """
        try:
            data = os.read(self.socket.fileno(), self._choose_read_bytes())
        except BlockingIOError:
            return False
        if self.lingers_until:
            if not data:
                raise ConnectionAbortedError("the caller has closed the connection")
            return False
        if data:
            self._take(data)
        else:
            self.assembler.end()
        return self.assembler.is_done

    def is_late(self, now: float) -> bool:
        """Return whether the request takes longer to arrive than it may."""
        if self.lingers_until:
            return now > self.lingers_until
        seconds = self.server.request_seconds
        if not self.assembler.has_head:
            seconds = min(seconds, self.server.request_head_seconds)
        return now - self.request_began_at > seconds

    def measure_rate(self, now: float) -> float:
        """Return the rate at which the request arrives, in bytes a second."""
        return self._received_bytes / (now - self.request_began_at)

    def _choose_read_bytes(self) -> int:
        """Return how many bytes to read at once, so that few of a next request come."""
        if self.lingers_until:
            return BODY_READ_BYTES
        if not self.assembler.has_head:
            return HEAD_READ_BYTES
        missing = self.assembler.missing_bytes
        return BODY_READ_BYTES if missing is None else min(missing, BODY_READ_BYTES)

    def _begin_request(self) -> None:
        self.assembler = requestframing.Assembler(
            requestframing.Limits(
                head=self.server.max_request_header_size,
                body=self.server.max_request_body_size,
            )
        )
        self._received_bytes = 0
        self._is_continued = False
        if self._unread:
            self._take(self._unread)
            self._unread = b""

    def _take(self, data: bytes) -> None:
        assembler = self.assembler
        assembler.feed(data)
        self._received_bytes += len(data)
        if not self.server.reserve(self, assembler.size):
            assembler.refuse(requestframing.Fault.NO_ROOM, "no memory is left for it")
        waits = assembler.expects_continue and not assembler.is_done
        if waits and not self._is_continued:
            self._is_continued = True
            self.wfile.write_available(CONTINUE)

    def _receive_promptly(self) -> bool:
        """Wait briefly for the whole request; returns whether it can be served.

        A thread does not wait while others may soon want it.
        """
        until = time.monotonic() + RECEIVE_PATIENCE_SECONDS
        while not self.receive():
            left = until - time.monotonic()
            if left <= 0 or self.server.requests.is_half_used or not self._poll(left):
                return False
        return True

    def _poll(self, seconds: float) -> bool:
        """Wait for data; returns whether there is any."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(seconds * 1000))

    def write_last(self, data: bytes, *, close_after: bool) -> None:
        """Send the end of an answer; the request then no longer counts as in progress.

        If the connection closes after the answer, its end is sent at once: a router
        that has handed the request over waits for it.

        The caller may send its next request before this thread runs again, so that the
        count is lowered before the data is sent. It is raised again while the caller
        does not take the data.
        """
        self.mark_answered()
        sent = self.wfile.write_available(data)
        if sent < len(data):
            self.server.requests.set_counted(self, True)
            self.wfile.write(data[sent:])
        self.end_answer(close_after=close_after)

    def end_answer(self, *, close_after: bool) -> None:
        """Stop counting a request that is answered; send the connection's end."""
        self.mark_answered()
        if close_after:
            # A caller that has the answer may have reset the connection.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)

    def mark_answered(self) -> None:
        """Stop counting the current request toward the limit."""
        self.server.requests.set_counted(self, False)

    def reset_on_close(self) -> None:
        """Let the connection be reset, so that its end marks no end of a body."""
        self._is_reset = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)

    def allow_orderly_end(self) -> None:
        """Let the connection end in order again, after a whole body was sent."""
        self._is_reset = False
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)

    def _close_kernel_socket(self) -> None:
        if not self._is_reset:  # A shutdown would send an orderly end first.
            super()._close_kernel_socket()

    def close(self) -> None:
        """Close the connection, after discarding unread input if there may be any.

        Closing a socket with unread data resets the connection, and the caller then
        loses the part of the answer that it has not read yet. The collector closes it
        once its caller has sent everything, or after ``LINGER_SECONDS``.
        """
        self.server.memory.release(self)
        if not self.has_unread_input or self._is_reset or self.lingers_until:
            super().close()
            return
        self.lingers_until = time.monotonic() + LINGER_SECONDS
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.server.collector.add(self)
        except (OSError, ValueError):
            super().close()  # The caller has disconnected, or the server has stopped.
