"""HTTP server that the stand-ins share, with injection of connection faults."""

from __future__ import annotations

import dataclasses
import json
import select
import socket
import threading
import urllib.parse
import weakref
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import cheroot.server
import cheroot.wsgi

from celeryspan import ids

THREADS = 48
"""Maximum number of concurrent calls; exceeds the slots of any example server."""

KEEP_ALIVE_CONNECTIONS_MAX = 1000
"""Idle connections kept open; cheroot's default of 10 would close most pooled ones."""

CLOSE_POLL_SECONDS = 0.05

SELECT_INTERVAL_SECONDS = 0.05
"""Interval of the server's select loop, which bounds how long a stop takes."""


@dataclasses.dataclass(slots=True)
class Request:
    """A request as a stand-in receives it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connection: cheroot.server.HTTPConnection

    def read_json(self) -> dict[str, Any]:
        """Return the body as a JSON object; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}


@dataclasses.dataclass(slots=True)
class Response:
    """A response; an iterable body is streamed."""

    status: HTTPStatus = HTTPStatus.OK
    body: bytes | Iterable[bytes] = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class DropConnection(Exception):
    """Raised by a handler to close the connection without sending further bytes."""


class _Gateway(cheroot.wsgi.Gateway_10):
    """Passes the connection to the application, which can then close or stall it."""

    def get_environ(self) -> dict[str, Any]:
        return super().get_environ() | {"standin.connection": self.req.conn}


class StandIn:
    """Base class of the HTTP stand-ins: a server on one port.

    Subclasses implement :meth:`handle`.

    Parameters
    ----------
    port : int
        Port on loopback; 0 picks a free one.

    Attributes
    ----------
    address : Address
        Address that the stand-in listens on, known once it is constructed.
    """

    def __init__(
        self, *, port: int = 0, host: str = "127.0.0.1", threads: int = THREADS
    ) -> None:
        self._server = cheroot.wsgi.Server(
            (host, port), self._respond, numthreads=threads
        )
        self._server.gateway = _Gateway
        self._server.expiration_interval = SELECT_INTERVAL_SECONDS
        self._server.shutdown_timeout = 1
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS_MAX
        self._server.prepare()
        self.address = ids.Address(*self._server.bind_addr[:2])
        self.stopping = threading.Event()
        self._open_connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silent_connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._thread = threading.Thread(
            target=self._serve, name=f"standin {self.address}", daemon=True
        )

    def handle(self, request: Request) -> Response:
        """Handle one request."""
        raise NotImplementedError

    def start(self) -> None:
        """Start serving in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close all connections."""
        self.stopping.set()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()

    def silence_open_connections(self) -> None:
        """Stop answering on all open connections; new connections still work."""
        self._silent_connections.update(list(self._open_connections))

    def is_silent(self, request: Request) -> bool:
        """Return whether the request's connection is no longer answered."""
        return request.connection in self._silent_connections

    def keep_silent(self, request: Request) -> None:
        """Send nothing on this connection until the peer closes it.

        Raises
        ------
        DropConnection
            Once the peer has closed the connection or the stand-in stops.
        """
        self._silent_connections.add(request.connection)
        while not self.stopping.wait(CLOSE_POLL_SECONDS):
            if _is_closed_by_peer(request.connection.socket):
                break
        raise DropConnection

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception:
            if not self.stopping.is_set():
                raise

    def _respond(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        self._open_connections.add(request.connection)
        try:
            if self.is_silent(request):
                self.keep_silent(request)
            response = self.handle(request)
        except DropConnection:
            _drop_connection(request.connection)
            start_response("500 Cut", [])
            return []
        except (KeyError, TypeError, ValueError) as error:
            response = make_json_response(
                {"error": repr(error)}, HTTPStatus.BAD_REQUEST
            )
        status = HTTPStatus(response.status)
        headers = list(response.headers.items())
        if isinstance(response.body, bytes):
            if status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
                headers.append(("Content-Length", str(len(response.body))))
            start_response(f"{status.value} {status.phrase}", headers)
            return [response.body]
        start_response(f"{status.value} {status.phrase}", headers)
        return self._send_chunks(request, response.body)

    def _send_chunks(
        self, request: Request, chunks: Iterable[bytes]
    ) -> Iterable[bytes]:
        try:
            for chunk in chunks:
                if self.is_silent(request):
                    self.keep_silent(request)
                yield chunk
        except DropConnection:
            _drop_connection(request.connection)


def make_json_response(value: object, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(value).encode()
    return Response(status, body, {"Content-Type": "application/json"})


def _read_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(),
        connection=environ["standin.connection"],
    )


def _drop_connection(connection: cheroot.server.HTTPConnection) -> None:
    """Shut down both directions; cheroot ignores the errors of its later writes."""
    try:
        connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _is_closed_by_peer(connection: socket.socket) -> bool:
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
