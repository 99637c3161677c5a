"""Stand-in for a backend server of the platform, whose answers can be spoilt.

It writes its answers byte by byte as told, so that it can do what no HTTP library lets
a server do: answer twice, break off, or answer before it has read the request.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import json
import math
import socket
import struct
import threading
import time
from collections.abc import Iterator

from celeryspan import ids

BODY = b"served"
EVENTS = 6
SIGNATURE = "Celeryspan-Server-Stamp"
NOT_RUN = "Celeryspan-Not-Executed"
REQUEST_ID = "Celeryspan-Request-Id"
EXPECTED = "Celeryspan-Expect-Instance"
LAST_EVENT = "Last-Event-Id"
MOVE = "/v1/kv-move"
HANDLE = "/v1/kv-handle/"
KEPT = "/v1/kv-list"
COPY = "kv-from"

FATAL_SECONDS = 0.03
"""From the beginning of a run that crashes the server to the crash."""

RESET = struct.pack("ii", 1, 0)
"""Linger option with which closing a socket resets its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """One request as the server read it; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def request(self) -> str:
        """The request's id."""
        return self.headers.get(REQUEST_ID.lower(), "")


class PlatformServer:
    """Answers requests; ``script`` says how the next ones are spoilt.

    Attributes
    ----------
    script : deque of str
        What happens to the next requests, one word each: see the methods ``_do_*``.
    seen : list of Seen
        All requests that arrived, but for questions about what it keeps.
    ran, ran_at : list of str, list of float
        Ids of the requests that ran, and when each began.
    resumed : list of str
        Ids of the requests that went on here from a copy.
    freed : list of str
        Handles of copies that were to be forgotten.
    kept : dict
        Tokens of each part of prompts that it says it keeps.
    lists : int
        How often it was asked for these.
    move_answer : int
        Status of the next calls that move a run; 0 resets their connections.
    connections : int
        Connections accepted so far.
    events : int
        Events of each stream.
    fatal : set of bytes
        Bodies of requests that crash it once they have begun to run.
    crashed : Event
        Set once it has crashed.
    crashed_by, crashed_at : bytes, float
        The body that did it, if one did, and when, on the monotonic clock.

    Parameters
    ----------
    port : int
        Where it listens; 0 for any free port.
    """

    def __init__(self, name: str, *, streams: bool = False, port: int = 0) -> None:
        self.name = name
        self.streams = streams
        self.script: collections.deque[str] = collections.deque()
        self.seen: list[Seen] = []
        self.ran: list[str] = []
        self.ran_at: list[float] = []
        self.left_early = threading.Event()
        self.resumed: list[str] = []
        self.freed: list[str] = []
        self.kept: dict[str, int] = {}
        self.lists = 0
        self.move_answer = 200
        self._streams: dict[str, threading.Event] = {}
        self.connections = 0
        self.event_seconds = 0.0
        self.events = EVENTS
        self.fatal: set[bytes] = set()
        self.crashed = threading.Event()
        self.crashed_by = b""
        self.crashed_at = math.inf
        self._listener = socket.create_server(("127.0.0.1", port))
        self.address = ids.Address(*self._listener.getsockname())
        self._stopping = threading.Event()
        self._open: set[socket.socket] = set()
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> None:
        """Serve in threads."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def crash(self) -> None:
        """Reset all connections and refuse new ones, as a process that ends."""
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.stop()
        self.crashed_at = time.monotonic()
        self.crashed.set()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while (seen := self._read(reader, connection)) is not None:
                if seen.target != KEPT:
                    self.seen.append(seen)
                if not self._answer(seen, connection):
                    break
        except OSError:
            self.left_early.set()
        finally:
            self._open.discard(connection)
            reader.close()
            connection.close()

    def _read(self, reader, connection: socket.socket) -> Seen | None:
        line = reader.readline().decode("latin-1").split()
        if len(line) != 3:
            return None
        headers = {}
        while text := reader.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        if self.script and self.script[0] == "early":
            self.script.popleft()
            seen = Seen(line[0], line[1], headers, b"")
            connection.sendall(self._write_head(seen, 413, len(BODY)) + BODY)
        body = reader.read(int(headers.get("content-length", 0)))
        return Seen(line[0], line[1], headers, body)

    def _answer(self, seen: Seen, connection: socket.socket) -> bool:
        """Answer one request; returns whether the connection stays open."""
        if seen.target.startswith(HANDLE):
            self.freed.append(seen.target.removeprefix(HANDLE))
            connection.sendall(self._write_head(seen, 200, 0))
            return True
        if seen.target == KEPT:
            return self._list_kept(seen, connection)
        if seen.target == MOVE:
            return self._move(seen, connection)
        if seen.headers.get(EXPECTED.lower()) != self.name:
            connection.sendall(self._write_head(seen, 421, 0))
            return True
        if seen.body and seen.body in self.fatal:
            return self._run_fatal(seen, connection)
        word = self.script.popleft() if self.script else "serve"
        return getattr(self, f"_do_{word}")(seen, connection)

    def _list_kept(self, seen: Seen, connection: socket.socket) -> bool:
        self.lists += 1
        held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
        body = json.dumps({"epoch": 1, "next": 1, "held": held}).encode()
        connection.sendall(self._write_head(seen, 200, len(body)) + body)
        return True

    def _move(self, seen: Seen, connection: socket.socket) -> bool:
        """Stop a stream, and answer that its copy is made."""
        asked = json.loads(seen.body)
        stopped = self._streams.get(asked["id"])
        if self.move_answer == 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        if stopped is None or self.move_answer == 404:
            connection.sendall(self._write_head(seen, 404, 0))
            return True
        stopped.set()
        body = json.dumps({"kv_handle": f"copy-{asked['id']}", "created": 1}).encode()
        head = self._write_head(seen, self.move_answer, len(body))
        connection.sendall(head + body)
        return True

    def _note_run(self, seen: Seen) -> None:
        if COPY in seen.headers:
            self.resumed.append(seen.request)
            return
        self.ran.append(seen.request)
        self.ran_at.append(time.monotonic())

    def _do_serve(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        if not self.streams:
            connection.sendall(self._write_head(seen, 200, len(BODY)) + BODY)
            return True
        stopped = self._streams[seen.request] = threading.Event()
        connection.sendall(self._write_head(seen, 200, None))
        for event in self._write_events(seen):
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            if stopped.wait(self.event_seconds):
                return False  # It goes on at another engine.
        del self._streams[seen.request]
        connection.sendall(b"0\r\n\r\n")
        return True

    def _run_fatal(self, seen: Seen, connection: socket.socket) -> bool:
        """Begin to run a request and crash; a stream has got the head of an answer."""
        self._note_run(seen)
        if self.streams:
            connection.sendall(self._write_head(seen, 200, None))
        time.sleep(FATAL_SECONDS)
        self.crashed_by = seen.body
        self.crash()
        return False

    def _do_full(self, seen: Seen, connection: socket.socket) -> bool:
        connection.sendall(self._write_head(seen, 503, 0, {NOT_RUN: "1"}))
        return True

    def _do_error(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        connection.sendall(self._write_head(seen, 500, 5) + b"error")
        return True

    def _do_reset(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False

    def _do_cut(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        connection.sendall(self._write_head(seen, 200, len(BODY)) + BODY[:3])
        return False

    def _do_cut_stream(self, seen: Seen, connection: socket.socket) -> bool:
        """Break off in the middle of the third event."""
        self._note_run(seen)
        connection.sendall(self._write_head(seen, 200, None))
        sent = b"".join(list(self._write_events(seen))[:3])[:-4]
        connection.sendall(b"%x\r\n%b\r\n" % (len(sent), sent))
        return False

    def _do_twice(self, seen: Seen, connection: socket.socket) -> bool:
        """Answer, and answer again at once."""
        self._note_run(seen)
        answer = self._write_head(seen, 200, len(BODY)) + BODY
        connection.sendall(answer + answer)
        return True

    def _do_unsigned(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {seen.request}\r\n"
        connection.sendall(f"{head}Content-Length: 2\r\n\r\nno".encode())
        return True

    def _do_unframed(self, seen: Seen, connection: socket.socket) -> bool:
        self._note_run(seen)
        head = self._write_head(seen, 200, None).replace(
            b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n"
        )
        connection.sendall(head + BODY)
        return False

    def _do_silent(self, seen: Seen, connection: socket.socket) -> bool:
        """Run, and answer nothing until the other end leaves."""
        self._note_run(seen)
        connection.settimeout(10)
        if not connection.recv(1):
            self.left_early.set()
        return False

    def _write_head(
        self,
        seen: Seen,
        status: int,
        length: int | None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Text", f"{REQUEST_ID}: {seen.request}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if status in (200, 413, 500):
            lines.append(f"{SIGNATURE}: {self.name}.{len(self.ran)}")
        if length is None:
            lines.append("Content-Type: text/event-stream")
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _write_events(self, seen: Seen) -> Iterator[bytes]:
        last = int(seen.headers.get(LAST_EVENT.lower(), 0))
        for number in range(last + 1, self.events + 1):
            yield f"id: {number}\ndata: piece {number}\n\n".encode()
