"""One HTTP server of a stand-in: start, stop, and faults of its connections."""

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
"""Greatest number of calls in progress: above the slots of any example server."""

KEEP_ALIVE_MAX = 1000
"""Open connections kept; the library's 10 would close most of a fleet's pools."""

SILENCE_POLL_SECONDS = 0.05

SELECT_SECONDS = 0.05
"""Pause of the server's loop, which bounds the time that a stop takes."""


@dataclasses.dataclass(slots=True)
class Request:
    """One call as a stand-in sees it."""

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
    """One answer; an iterable body is streamed."""

    status: HTTPStatus = HTTPStatus.OK
    body: bytes | Iterable[bytes] = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class CutError(Exception):
    """The connection is closed without a further byte."""


class _Gateway(cheroot.wsgi.Gateway_10):
    """Shows the connection to the application, so that it can be cut or silenced."""

    def get_environ(self) -> dict[str, Any]:
        return super().get_environ() | {"standin.connection": self.req.conn}


class StandIn:
    """Base of all stand-ins: one server on one port.

    Subclasses implement :meth:`handle`.

    Parameters
    ----------
    port : int
        Port on loopback; 0 lets the system choose.

    Attributes
    ----------
    address : Address
        Where the stand-in listens, once constructed.
    """

    def __init__(
        self, *, port: int = 0, host: str = "127.0.0.1", threads: int = THREADS
    ) -> None:
        self._server = cheroot.wsgi.Server(
            (host, port), self._answer, numthreads=threads
        )
        self._server.gateway = _Gateway
        self._server.expiration_interval = SELECT_SECONDS
        self._server.shutdown_timeout = 1
        self._server.keep_alive_conn_limit = KEEP_ALIVE_MAX
        self._server.prepare()
        self.address = ids.Address(*self._server.bind_addr[:2])
        self.stopping = threading.Event()
        self._open: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[Any] = weakref.WeakSet()
        self._thread = threading.Thread(
            target=self._serve, name=f"standin {self.address}", daemon=True
        )

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        raise NotImplementedError

    def start(self) -> None:
        """Serve in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving and close all connections."""
        self.stopping.set()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()

    def silence_open_connections(self) -> None:
        """Let all open connections go silent for good, while new ones work."""
        self._silenced.update(list(self._open))

    def is_silent(self, request: Request) -> bool:
        """Return whether this call's connection has gone silent."""
        return request.connection in self._silenced

    def keep_silent(self, request: Request) -> None:
        """Send nothing on this connection until the other end closes it.

        Raises
        ------
        CutError
            When the other end has closed or the stand-in stops.
        """
        self._silenced.add(request.connection)
        while not self.stopping.wait(SILENCE_POLL_SECONDS):
            if _is_closed(request.connection.socket):
                break
        raise CutError

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception:
            if not self.stopping.is_set():
                raise

    def _answer(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        request = _read_request(environ)
        self._open.add(request.connection)
        try:
            if self.is_silent(request):
                self.keep_silent(request)
            response = self.handle(request)
        except CutError:
            _cut(request.connection)
            start_response("500 Cut", [])
            return []
        except (KeyError, TypeError, ValueError) as error:
            response = answer_json({"error": repr(error)}, HTTPStatus.BAD_REQUEST)
        status = HTTPStatus(response.status)
        headers = list(response.headers.items())
        if isinstance(response.body, bytes):
            if status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
                headers.append(("Content-Length", str(len(response.body))))
            start_response(f"{status.value} {status.phrase}", headers)
            return [response.body]
        start_response(f"{status.value} {status.phrase}", headers)
        return self._send_parts(request, response.body)

    def _send_parts(self, request: Request, parts: Iterable[bytes]) -> Iterable[bytes]:
        try:
            for part in parts:
                if self.is_silent(request):
                    self.keep_silent(request)
                yield part
        except CutError:
            _cut(request.connection)


def answer_json(value: object, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Return an answer with a JSON body."""
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


def _cut(connection: cheroot.server.HTTPConnection) -> None:
    """Close both directions now; the library's later writes then fail quietly."""
    try:
        connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _is_closed(end: socket.socket) -> bool:
    try:
        readable, _, _ = select.select([end], [], [], 0)
        return bool(readable) and not end.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True
