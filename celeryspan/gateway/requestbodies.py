"""Bounds the bytes of request bodies that a router holds at once.

A body is kept until its request has been answered, since it may have to be sent again.
Without a bound a few dozen callers with large bodies take a router over its memory, and
all its requests are lost.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from celeryspan import errors
from celeryspan.decisions import bufferbudget
from celeryspan.gateway import acceptance

if TYPE_CHECKING:
    from cheroot import server as cheroot_server

RETRY_AFTER_SECONDS = 0.5


class RequestBodies:
    """The bodies of the requests in progress, within one budget.

    Parameters
    ----------
    total_max : int
        Bytes that may be held at once, without those of small bodies.
    """

    def __init__(self, total_max: int) -> None:
        self._budget = bufferbudget.BufferBudget(total_max)
        self._held: dict[int, int] = {}
        self._lock = threading.Lock()

    def read(self, request: cheroot_server.HTTPRequest, size_max: int) -> bytes:
        """Return the whole body of a request, which is held until it is released.

        Parameters
        ----------
        size_max : int
            Largest body that is allowed, in bytes.

        Raises
        ------
        errors.NotRun
            If the body does not fit into what the others leave.
        refusals.Refused, ConnectionAbortedError
            As :func:`acceptance.read_body`.
        """
        expected = size_max
        if not request.chunked_read:
            expected = int(request.inheaders.get(b"Content-Length", 0))
        if expected <= bufferbudget.UNCOUNTED_BYTES:
            return acceptance.read_body(request)
        if not self._resize(request, expected):
            request.conn.has_unread_input = True
            request.close_connection = True
            raise errors.NotRun(
                "the router holds as many bytes of request bodies as it may",
                code="bodies-full",
                status=503,
                retry_after=RETRY_AFTER_SECONDS,
                step="read request",
            )
        body = acceptance.read_body(request)
        self._resize(request, len(body))
        return body

    def release(self, request: cheroot_server.HTTPRequest) -> None:
        """Give back the bytes of a request's body."""
        if id(request) in self._held:
            self._resize(request, 0)

    def count_bytes(self) -> int:
        """Return the bytes that are held, without those of small bodies."""
        return self._budget.total

    def _resize(self, request: cheroot_server.HTTPRequest, size: int) -> bool:
        with self._lock:
            held = self._held.pop(id(request), 0)
            is_granted = self._budget.resize(held, size)
            if is_granted:
                held = size
            if held:
                self._held[id(request)] = held
            return is_granted
