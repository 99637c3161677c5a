"""Writes HTTP answers to callers' connections."""

from __future__ import annotations

from cheroot import server as cheroot_server

UNKNOWN_LENGTH = -1
"""Stands for a Content-Length of a backend server that is not one number."""


class CallerSink:
    """Writes one HTTP answer to a caller's connection.

    Parameters
    ----------
    close_after : bool
        Whether to close the connection after the answer.
    """

    def __init__(
        self, request: cheroot_server.HTTPRequest, *, close_after: bool
    ) -> None:
        self._request = request
        self._close_after = close_after
        self._is_chunked = False
        self._bytes_left = 0
        self.is_begun = False
        self.is_ended = False

    def write_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        """Write the status line and headers; the body is chunked without a length."""
        request = self._request
        names = {name.lower(): value for name, value in headers}
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if "content-length" in names:
            length = names["content-length"]
            self._bytes_left = int(length) if length.isdecimal() else UNKNOWN_LENGTH
        else:
            self._is_chunked = True
            lines.append("Transfer-Encoding: chunked")
        if self._close_after:
            request.close_connection = True
        if request.close_connection:
            lines.append("Connection: close")
        self.is_begun = True
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
        """Mark the end of a complete answer."""
        if self._is_chunked:
            self._send(b"0\r\n\r\n", is_last=True)
        self.is_ended = True

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        self._request.close_connection = True

    def _send(self, data: bytes, *, is_last: bool = False) -> None:
        connection = self._request.conn
        try:
            if is_last:
                close_after = self._request.close_connection
                connection.write_last(data, close_after=close_after)
            else:
                connection.wfile.write(data)
        except ValueError as error:
            raise ConnectionAbortedError(str(error)) from error
