"""Writes HTTP answers to callers' connections."""

from __future__ import annotations

import os
import select
import socket
import threading
import time
from typing import TYPE_CHECKING

from cheroot import server as cheroot_server

from celeryspan import calls, ids, untrusted
from celeryspan.services import httpserver

if TYPE_CHECKING:
    from celeryspan.gateway import slowcallers

UNKNOWN_LENGTH = -1
"""Stands for a Content-Length of a backend server that is not one number."""

HTTP_1_0 = "HTTP/1.0"
"""Version whose callers know no chunks; a body without a length ends by closing."""

RETRY_SECONDS = 0.1
"""Interval at which a paused response asks for room in the budget again."""


class CallerSink:
    """Writes one HTTP answer to a caller's connection.

    Without a buffer a write blocks until the caller's system has taken all of it. With
    one, the thread of the request tries each write once. The rest is buffered, and
    ``slowcallers`` writes it. Only one thread appends to the buffer, and it writes
    directly only if the buffer is empty, so that a fast caller costs neither a lock nor
    a wait for its socket.

    Parameters
    ----------
    close_after : bool
        Whether to close the connection after the answer.

    Attributes
    ----------
    request, account : str
        Request id and client account of a buffered answer, for the log.
    """

    def __init__(
        self, request: cheroot_server.HTTPRequest, *, close_after: bool
    ) -> None:
        self._request = request
        self._close_after = close_after
        self._may_use_chunks = request.response_protocol != HTTP_1_0
        self._is_chunked = False
        self._bytes_left = 0
        self.is_begun = False
        self.is_ended = False
        self.request = ids.RequestId("")
        self.account = ids.AccountId("")
        self._slow_callers: slowcallers.SlowCallers | None = None
        self._cancellation: calls.Cancellation | None = None
        self._socket: socket.socket = request.conn.socket
        self._lock = threading.Lock()
        self._buffer = bytearray()
        self._failure = ""
        self._is_closed = False
        self._progress_at = 0.0

    def enable_buffer(
        self,
        slow_callers: slowcallers.SlowCallers,
        request: ids.RequestId,
        account: ids.AccountId,
        cancellation: calls.Cancellation,
    ) -> None:
        """Buffer what the caller does not take at once.

        The socket's descriptor is in non-blocking mode, because it has a timeout. A
        caller without chunks would take an aborted answer for a complete one.
        """
        if not self._may_use_chunks:
            return
        self._slow_callers = slow_callers
        self.request, self.account = request, account
        self._cancellation = cancellation

    def write_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        """Write the status line and headers; the body is chunked without a length."""
        request = self._request
        names = {name.lower(): value for name, value in headers}
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if "content-length" in names:
            length = untrusted.parse_digits(names["content-length"])
            self._bytes_left = UNKNOWN_LENGTH if length is None else length
        elif self._may_use_chunks:
            self._is_chunked = True
            lines.append("Transfer-Encoding: chunked")
        else:
            self._bytes_left = UNKNOWN_LENGTH
            request.close_connection = True
        if self._close_after:
            request.close_connection = True
        if request.close_connection:
            lines.append("Connection: close")
        self.is_begun = True
        if self._bytes_left < 0:
            # Until the body is whole, so that it is not complete if this process ends.
            request.conn.reset_on_close()
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._send(head, is_last=not self._is_chunked and self._bytes_left == 0)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
            self._send(data)
            return
        self._bytes_left -= len(data)
        self._send(data, is_last=self._bytes_left == 0)

    def finish(self) -> None:
        """Mark the end of a complete answer; a buffered rest is still to be written."""
        if self._is_chunked:
            self._send_end(b"0\r\n\r\n")
        elif self._bytes_left < 0:
            self._request.conn.allow_orderly_end()
        self.is_ended = True

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer.

        Where the end of the connection marks the end of the body, it is reset; see
        :meth:`write_head`.
        """
        self._request.close_connection = True

    def drain(self) -> None:
        """Write the buffered rest of a complete answer.

        Raises
        ------
        OSError
            If the caller has disconnected or takes nothing for the caller timeout, or
            if the answer was aborted.
        """
        if self._slow_callers is None:
            return
        while self._buffer or self._failure:
            self._wait_for_caller()
        self._request.conn.end_answer(close_after=self._request.close_connection)

    def close(self) -> None:
        """Release the buffer; must be called before the connection is used again."""
        if self._slow_callers is None:
            return
        with self._lock:
            self._is_closed = True
            is_incomplete = bool(self._buffer or self._failure)
            self._buffer.clear()
        if is_incomplete:
            self._request.close_connection = True
        self._slow_callers.unwatch(self._socket.fileno())
        self._slow_callers.forget(self)

    def advance(self) -> None:
        """Write as much of the buffer as the caller takes, without waiting."""
        with self._lock:
            if not self._buffer or self._is_closed:
                # The request's thread may have begun to watch after the last write.
                self._slow_callers.unwatch(self._socket.fileno())
                return
            now = time.monotonic()
            try:
                sent = os.write(self._socket.fileno(), self._buffer)
            except BlockingIOError:
                if now - self._progress_at > httpserver.CALLER_TIMEOUT_SECONDS:
                    self._fail("the caller takes nothing")
                return
            except OSError as error:
                self._fail(repr(error))
                return
            self._progress_at = now
            del self._buffer[:sent]
            self._slow_callers.take(self, sent)
            if not self._buffer:
                self._slow_callers.unwatch(self._socket.fileno())

    def abort_buffered(self, reason: str) -> bool:
        """Abort the answer as an incomplete one; returns False if it has ended."""
        with self._lock:
            is_complete = self.is_ended and not self._buffer
            if self._is_closed or self._failure or is_complete:
                return False
            self._fail(reason)
        return True

    def _fail(self, reason: str) -> None:
        """Drop the buffer and shut the connection down; the lock must be held.

        The caller sees the end of the connection before the end of the answer, because
        a part of the answer is still in the buffer or has not been read. The watcher
        of connections sees that this one is closed and interrupts the request.
        """
        self._failure = reason
        self._request.close_connection = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The caller has disconnected.
        # Only after the shutdown: the request's thread writes directly if the buffer is
        # empty, and the caller would get an answer with a gap.
        self._buffer.clear()
        self._slow_callers.unwatch(self._socket.fileno())
        self._slow_callers.forget(self)

    def _send(self, data: bytes, *, is_last: bool = False) -> None:
        connection = self._request.conn
        if self._slow_callers is not None:
            if is_last:
                connection.mark_answered()
            self._send_or_buffer(data)
            if is_last:
                self._count_unwritten()
            return
        try:
            if is_last:
                close_after = self._request.close_connection
                connection.write_last(data, close_after=close_after)
            else:
                connection.wfile.write(data)
        except ValueError as error:
            raise ConnectionAbortedError(str(error)) from error

    def _send_or_buffer(self, data: bytes) -> None:
        """Write data, and buffer what the caller does not take at once.

        Past the budget this waits until the caller has taken as much as is added.
        """
        left = memoryview(data)[self._send_directly(data) :]
        if left and not self._buffer:
            self._progress_at = time.monotonic()
        while left:
            size = self._slow_callers.add(self, self.account, len(left))
            if size:
                self._append(left[:size])
                left = left[size:]
                continue
            self._wait_for_caller()
            sent = self._send_directly(left)
            if sent:
                self._progress_at = time.monotonic()
            left = left[sent:]
        if self._buffer:
            self._slow_callers.watch(self._socket.fileno(), self)

    def _send_end(self, data: bytes) -> None:
        if self._slow_callers is None:
            self._send(data, is_last=True)
            return
        self._request.conn.mark_answered()
        left = data[self._send_directly(data) :]
        if left:
            self._slow_callers.add_end(self, self.account, len(left))
            self._append(left)
        self._count_unwritten()

    def _count_unwritten(self) -> None:
        """Count an answer toward the limits again while its caller takes the rest."""
        if self._buffer:
            connection = self._request.conn
            connection.server.requests.set_counted(connection, True)

    def _send_directly(self, data: bytes | memoryview) -> int:
        """Write data if nothing is buffered; returns the number of bytes written.

        ``os.write`` is used because ``socket.send`` waits until the socket is writable,
        which also costs a system call.
        """
        if self._failure:
            raise ConnectionAbortedError(self._failure)
        if self._buffer:
            return 0
        try:
            return os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0

    def _append(self, data: bytes | memoryview) -> None:
        with self._lock:
            if self._failure:
                raise ConnectionAbortedError(self._failure)
            if not self._buffer:
                self._progress_at = time.monotonic()
            self._buffer += data

    def _wait_for_caller(self) -> None:
        """Wait briefly until the caller takes something, and write what is buffered."""
        descriptor = self._socket.fileno()
        self._slow_callers.unwatch(descriptor)
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        poll.poll(RETRY_SECONDS * 1000)
        self.advance()
        if self._cancellation is not None and self._cancellation.aborted:
            raise ConnectionAbortedError("the router stops")
        if time.monotonic() - self._progress_at > httpserver.CALLER_TIMEOUT_SECONDS:
            raise TimeoutError("the caller takes nothing")
        if self._failure:
            raise ConnectionAbortedError(self._failure)
