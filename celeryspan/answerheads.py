"""Reads the heads of HTTP answers strictly: one that breaks off is no answer.

``http.client`` takes the end of the connection for the end of the headers, and a part
of a line for a line. An answer cut off in its head, or in the size of a chunk, would be
complete and have no body.
"""

from __future__ import annotations

import contextlib
import http.client
import io
from collections.abc import Iterator


class Reader(io.BufferedReader):
    """Buffered reader of a connection; lines must be complete."""

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._is_in_head = False

    @contextlib.contextmanager
    def require_head(self) -> Iterator[None]:
        """Let the end of the connection be an error, except before the first byte."""
        self._is_in_head = bool(self.peek(1))
        try:
            yield
        finally:
            self._is_in_head = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        Raises
        ------
        http.client.IncompleteRead
            If the connection ends inside it, or in the head of an answer.
        """
        line = super().readline(size)
        if line.endswith(b"\n") or len(line) == size:
            return line
        if line or self._is_in_head:
            raise http.client.IncompleteRead(line)
        return line


class Answer(http.client.HTTPResponse):
    """An HTTP answer whose head is read strictly."""

    def __init__(self, *args: object, **values: object) -> None:
        super().__init__(*args, **values)
        self.fp = Reader(self.fp.detach())

    def begin(self) -> None:
        """Read the status line and the headers."""
        with self.fp.require_head():
            super().begin()
