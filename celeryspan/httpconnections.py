"""HTTP connections of urllib3 whose answers are bounded in bytes and in time."""

from __future__ import annotations

import math
import time

import urllib3
from urllib3 import connection as urllib3_connection

from celeryspan import answerreaders, guardedsockets


class Connection(urllib3_connection.HTTPConnection):
    """A connection that can be aborted by another thread.

    Attributes
    ----------
    limits : Limits
        Limits of each answer.
    """

    response_class = answerreaders.Answer
    limits = answerreaders.DEFAULT_LIMITS
    _guarded: guardedsockets.GuardedSocket | None = None

    def abort(self, reason: str) -> None:
        """End the connection; its reader gets an error, not the end of an answer."""
        if self._guarded is not None:
            self._guarded.abort(reason)

    def set_deadline(self, until: float, pause_max: float = math.inf) -> None:
        """Set the monotonic time from which reads fail; raises TimeoutError."""
        if self._guarded is not None:
            self._guarded.set_deadline(until, pause_max)

    def clear_deadline(self) -> None:
        """Let reads end with the timeout of the connection alone."""
        if self._guarded is not None:
            self._guarded.clear_deadline()

    def _new_conn(self) -> guardedsockets.GuardedSocket:
        # ``sock`` is None while an answer that ends with the connection is read.
        self._guarded = guardedsockets.adopt(super()._new_conn())
        self._guarded.limits = self.limits
        return self._guarded


class _TimedConnection(Connection):
    """A connection on which the read timeout of a call bounds its whole answer."""

    def getresponse(self) -> urllib3.HTTPResponse:
        if isinstance(self.timeout, int | float):
            self.set_deadline(time.monotonic() + self.timeout)
        return super().getresponse()


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _TimedConnection


def read_body(response: urllib3.BaseHTTPResponse, size_max: int) -> bytes:
    """Return the body of an answer that was not read yet.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If it breaks off, or exceeds ``size_max`` bytes.
    """
    body = bytearray()
    while piece := response.read1(answerreaders.READ_BYTES):
        body += piece
        if len(body) > size_max:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"expected a body of up to {size_max} bytes, found a longer one"
            )
    return bytes(body)


def make_pool(*args: object, **options: object) -> urllib3.PoolManager:
    """Return a connection pool; the arguments are those of ``urllib3.PoolManager``."""
    manager = urllib3.PoolManager(*args, **options)
    manager.pool_classes_by_scheme = {"http": _Pool}
    return manager
