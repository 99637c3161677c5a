"""Stand-in for a server of the platform, as the pages describe a sound one.

What a case needs beyond that is given as a behaviour: a function that answers one
request that the server has begun to run.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable

import record
import store

REQUEST_ID = "celeryspan-request-id"
EXPECTED = "celeryspan-expect-instance"
STAMP = "Celeryspan-Server-Stamp"


class Request:
    """A request as a server received it; header names are in lower case."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def name(self) -> str:
        """The request id."""
        return self.headers.get(REQUEST_ID, "")


Behaviour = Callable[["Server", Request, socket.socket], bool]
"""Answers a request; returns whether the channel stays open."""


class Server:
    """One server of a service, registered in the store.

    Attributes
    ----------
    runs : list of str
        Ids of the requests that it ran.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        behaviour: Behaviour,
        log: record.Record,
        *,
        slots: int = 6,
    ) -> None:
        self.name = name
        self.runs: list[str] = []
        self.log = log
        self._behaviour = behaviour
        self._lock = threading.Lock()
        self._channels: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._address = self._listener.getsockname()
        host, port = self._address
        self.entry = {
            "service": service,
            "address": f"{host}:{port}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def register(self, where: store.Store) -> None:
        """Write the server's entry into the store."""
        where.put("servers", self.name, self.entry)

    def crash(self) -> None:
        """End as a process that dies: its listener and its channels are closed."""
        with self._lock:
            channels, self._channels = self._channels, set()
        for each in (self._listener, *channels):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def start_again(self, where: store.Store) -> None:
        """Start once more under the same id and address, as another incarnation."""
        self._listener = socket.create_server(self._address, backlog=64)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()
        self.entry = {**self.entry, "born": time.time_ns() // 1_000_000}
        self.register(where)

    def format_head(
        self, request: Request, status: int, headers: dict[str, str]
    ) -> bytes:
        """Return the head of an answer with the request's id and a stamp."""
        with self._lock:
            stamp = f"{self.name}.{len(self.runs)}"
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"Celeryspan-Request-Id: {request.name}",
            f"{STAMP}: {stamp}",
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                channel, _ = listener.accept()
            except OSError:
                return  # The server has crashed.
            with self._lock:
                self._channels.add(channel)
            threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel: socket.socket) -> None:
        reader = channel.makefile("rb")
        try:
            while (request := _read(reader)) is not None:
                if not self._answer(request, channel):
                    break
        except OSError as error:
            self.log.add(f"server {self.name}: channel ended: {error!r}")
        finally:
            with self._lock:
                self._channels.discard(channel)
            reader.close()
            channel.close()

    def _answer(self, request: Request, channel: socket.socket) -> bool:
        if request.target.startswith("/v1/"):
            channel.sendall(_answer_control_call(request))
            return True
        if request.headers.get(EXPECTED, self.name) != self.name:
            channel.sendall(
                b"HTTP/1.1 421 Misdirected\r\nCeleryspan-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        with self._lock:
            self.runs.append(request.name)
        self.log.add(f"server {self.name} runs {request.name} ({request.target})")
        return self._behaviour(self, request, channel)


def _answer_control_call(request: Request) -> bytes:
    """Return the answer of an engine that keeps no parts of prompts."""
    status, body = "404 None", b""
    if request.target.startswith("/v1/kv-list"):
        status, body = "200 OK", b'{"epoch":1,"next":1,"held":[]}'
    head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _read(reader: object) -> Request | None:
    line = reader.readline().decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while text := reader.readline().decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(line[0], line[1], headers, body)
