"""A small stand-in for a backend server, plain or a model server that streams."""

from __future__ import annotations

import contextlib
import io
import json
import select
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import store as store_module

KEEP_ALIVE_SECONDS = 5
READ_SECONDS = 30.0
READ_WINDOW = 65_536
READ_BYTES = 65_536
REQUEST_ID = "celeryspan-request-id"
STAMP = "Celeryspan-Server-Stamp"


class Received(NamedTuple):
    """One request as the server has read it; the names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    size: int

    @property
    def request(self) -> str:
        """The request id, or an empty string."""
        return self.headers.get(REQUEST_ID, "")


class Run(NamedTuple):
    """One request that the server began to work on, and when (monotonic)."""

    request: str
    server: str
    version: str
    born: int
    at: float


class Server:
    """One backend server; each start under its name is a new incarnation.

    Parameters
    ----------
    store : Store
        Where it registers itself.
    version : str
        Version of its software.
    slots : int
        Requests that it works on at once; as many again wait, more are turned away.
    work_seconds : float
        Time that a plain request takes.
    events, event_seconds : int, float
        Events of a stream and the pause between two; no events for a plain server.
    on_run : callable
        Called with each run as it begins.
    on_head : callable
        Called with the id of each request whose head has arrived.
    read_bytes_per_second : float
        Pace at which it reads the body of a request; 0 for as fast as it comes.
    """

    def __init__(
        self,
        store: store_module.Store,
        name: str,
        service: str,
        zone: str,
        *,
        version: str = "v1",
        slots: int = 6,
        work_seconds: float = 0.02,
        events: int = 0,
        event_seconds: float = 0.0,
        on_run: Callable[[Run], None] = lambda _: None,
        on_head: Callable[[str], None] = lambda _: None,
        read_bytes_per_second: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, slots
        self.work_seconds = work_seconds
        self.events, self.event_seconds = events, event_seconds
        self.state = "ready"
        self.born = 0
        self.is_up = False
        self._store = store
        self._on_run = on_run
        self._on_head = on_head
        self._read_rate = read_bytes_per_second
        self._listener: socket.socket | None = None
        self._port = 0
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._places = threading.BoundedSemaphore(slots)
        self._present = 0
        self._sequence = 0
        self._stopped = threading.Event()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens, the same after each start."""
        return f"127.0.0.1:{self._port}"

    def start(self, version: str | None = None) -> None:
        """Start, the first time or again under the same name and address.

        It registers before it listens, if the store takes its entry, and tries again
        with each heartbeat if it does not.
        """
        self.version = version or self.version
        self.born = time.time_ns() // 1_000_000
        self._places = threading.BoundedSemaphore(self.slots)
        self._present = 0
        self._listener = socket.create_server(("127.0.0.1", self._port), backlog=128)
        if self._read_rate:
            # A small window, so that what is not read stays with the sender.
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_WINDOW)
        self._port = self._listener.getsockname()[1]
        self.is_up = True
        self.register()
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def crash(self) -> None:
        """End like a process that is killed: all its connections are closed."""
        self.is_up = False
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections, self._open = self._open, set()
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """End for good."""
        self._stopped.set()
        if self.is_up:
            self.crash()

    def register(self) -> None:
        """Write its entry; nothing happens while the store is down."""
        self._sequence += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self.born,
            "sequence": 0,
        }
        with contextlib.suppress(store_module.StoreDown):
            self._store.put("servers", self.name, spec)

    def _beat(self) -> None:
        while not self._stopped.wait(store_module.HEARTBEAT_SECONDS):
            if self.is_up:
                self.register()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        connection.settimeout(READ_SECONDS)
        try:
            while (received := self._read(reader)) is not None:
                if not self._answer(received, connection):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(connection)
            with contextlib.suppress(OSError):
                reader.close()
                connection.close()

    def _read(self, reader: io.BufferedReader) -> Received | None:
        """Return the next request; None at the end of the connection."""
        parts = reader.readline().decode("latin-1").split()
        if len(parts) != 3:
            return None
        headers = {}
        while text := reader.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        left = size = int(headers.get("content-length", 0))
        received = Received(parts[0], parts[1], headers, size)
        self._on_head(received.request)
        while left:
            piece = reader.read(min(left, READ_BYTES))
            if not piece:
                return None
            left -= len(piece)
            if self._read_rate:
                time.sleep(len(piece) / self._read_rate)
        return received

    def _answer(self, received: Received, connection: socket.socket) -> bool:
        """Answer one request; returns whether the connection stays open."""
        expected = received.headers.get("celeryspan-expect-instance", self.name)
        if expected != self.name:
            return self._send(connection, received, 421)
        if received.target == "/healthz":
            return self._send(connection, received, 200)
        if received.target == "/v1/kv-list":
            body = json.dumps({"epoch": 1, "next": 1, "held": []}).encode()
            return self._send(connection, received, 200, body)
        if received.target.startswith("/v1/"):
            return self._send(connection, received, 404)
        with self._lock:
            is_full = self._present >= 2 * self.slots
            self._present += not is_full
        if is_full:
            return self._send(connection, received, 503, not_run=True)
        places = self._places
        try:
            with places:
                return self._run(received, connection)
        finally:
            with self._lock:
                self._present -= 1

    def _run(self, received: Received, connection: socket.socket) -> bool:
        if _has_left(connection):
            return False
        run = Run(
            received.request, self.name, self.version, self.born, time.monotonic()
        )
        self._on_run(run)
        if not self.events:
            time.sleep(self.work_seconds)
            return self._send(connection, received, 200, b"served", run=run)
        return self._stream(received, connection, run)

    def _stream(self, received: Received, connection: socket.socket, run: Run) -> bool:
        first = int(received.headers.get("last-event-id") or 0) + 1
        time.sleep(self.work_seconds)
        head = self._write_head(received, 200, run=run)
        connection.sendall(
            head
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {run.server} {run.version} {run.born}\n\n"
            data = event.encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(self.event_seconds)
        connection.sendall(b"0\r\n\r\n")
        return True

    def _send(
        self,
        connection: socket.socket,
        received: Received,
        status: int,
        body: bytes = b"",
        *,
        not_run: bool = False,
        run: Run | None = None,
    ) -> bool:
        head = self._write_head(received, status, not_run=not_run, run=run)
        connection.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return True

    def _write_head(
        self,
        received: Received,
        status: int,
        *,
        not_run: bool = False,
        run: Run | None = None,
    ) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"Celeryspan-Request-Id: {received.request}",
            f"Celeryspan-Instance-Id: {self.name}",
            f"Keep-Alive: timeout={KEEP_ALIVE_SECONDS}",
        ]
        if not_run:
            lines.append("Celeryspan-Not-Executed: 1")
        if run is not None:
            lines.append(f"{STAMP}: {run.server}.{run.born}.{run.request}")
        return ("\r\n".join(lines) + "\r\n").encode()


def _has_left(connection: socket.socket) -> bool:
    """Whether the other end has closed its connection."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))
