"""Stand-in for a backend server of the platform, with scripted protocol faults.

It writes raw bytes to the socket, because HTTP server libraries don't allow the faults
it simulates: duplicate, truncated and early responses.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import json
import math
import socket
import threading
import time
from collections.abc import Iterator

from celeryspan import ids
from standins import answerendings, endlessanswers

BODY = b"served"
EVENTS = 6
SERVER_STAMP = "Celeryspan-Server-Stamp"
NOT_EXECUTED = "Celeryspan-Not-Executed"
SERVER_LOAD = "Celeryspan-Server-Load"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
REQUEST_ID = "Celeryspan-Request-Id"
EXPECT_VERSION = "Celeryspan-Expect-Version"
EXPECT_INSTANCE = "Celeryspan-Expect-Instance"
LAST_EVENT_ID = "Last-Event-Id"
PROMPT_PARTS = "Celeryspan-Prefix-Hash"
RESUMES = "Resumes"
KV_MOVE_PATH = "/v1/kv-move"
KV_HANDLE_PATH = "/v1/kv-handle/"
KV_LIST_PATH = "/v1/kv-list"
KV_FROM = "kv-from"

CRASH_DELAY_SECONDS = 0.03
"""Time from the start of a run that crashes the server to the crash."""

STALL_SECONDS = 0.1
"""Time for the client to read what was sent before the answer counts as stalled."""

PLAIN_PARTS_MAX = 1_000
"""Parts of a plain body; a shorter one is sent byte by byte."""

ENDLESS_BYTES_MAX = 400_000_000
"""Bytes after which an answer without end is given up."""

ENDLESS_PAUSE_SECONDS = 20.0
"""Time without progress after which it is given up."""

RESET_LINGER = answerendings.RESET_LINGER


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the server received it, with lowercase header names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def request_id(self) -> str:
        """Value of the request id header, or an empty string."""
        return self.headers.get(REQUEST_ID.lower(), "")

    @property
    def parts(self) -> set[str]:
        """Names of the parts of the prompt."""
        listed = self.headers.get(PROMPT_PARTS.lower(), "").split(",")
        return {item.partition(":")[0] for item in listed if item}


class PlatformServer:
    """Answers requests, with the faults that ``script`` lists for the next ones.

    Attributes
    ----------
    script : deque of str
        Behaviour for each of the next requests: ``early`` or the suffix of a method
        ``_do_*``.
    endings : deque of Ending
        How the answers to the next requests end, if nothing is scripted for them.
    received : list of ReceivedRequest
        All received requests except those that list the kept parts.
    ran, ran_at : list of str, list of float
        Ids of the requests that ran, and the monotonic time of each start.
    is_stalled : Event
        Set once an answer has stopped in its body.
    resumed : list of str
        Ids of the requests that were resumed here from a copy.
    freed_handles : list of str
        Handles of the copies that it was asked to release.
    kept : dict
        Number of tokens of each prompt part that it reports as kept.
    list_calls : int
        Number of requests that listed the kept parts.
    move_status : int
        Status of the responses to calls that move a run; 0 resets the connection.
    connections : int
        Number of accepted connections.
    connections_max : float
        Connections beyond which it resets further ones.
    connections_reset : int
        Number of connections that it has reset for that.
    events : int
        Number of events in each stream.
    event_padding : int
        Additional characters in each event.
    stops_after_answer : bool
        Whether it ends with the next answer whose ending is given.
    is_framed : bool
        Whether streams come in chunks; otherwise they end with their connection.
    version : str
        Version of its software, which each event names.
    fatal_bodies : set of bytes
        Bodies of requests that crash the server shortly after they begin to run.
    fatal_parts : set of str
        Parts of prompts that crash the server in the same way.
    cold_requests_max : float
        Requests within a second above which the server crashes, because it is cold.
    is_leaving : bool
        Whether all its answers announce that it is about to stop.
    rest : str
        ``Retry-After`` of its answers with status 503; none if empty.
    load : str
        The load that all its answers report; none if empty.
    is_shedding : bool
        Whether it turns all requests away.
    failure_status : int
        Status of the failures of requests that have run.
    weights : str
        Version of its weights.
    body : bytes
        Body of the plain answers whose ending is given.
    endless : str
        Kind of bytes without end with which it answers all requests, see
        :mod:`standins.endlessanswers`; empty for none.
    endless_bytes : int
        The most that it has sent in one such answer.
    crashed : Event
        Set once the server has crashed.
    crashed_by, crashed_parts, crashed_at : bytes, set of str, float
        Body and parts of the prompt of the request that crashed it, if any, and
        monotonic time of the crash.

    Parameters
    ----------
    port : int
        Port on loopback; 0 picks a free one.
    """

    def __init__(
        self, name: str, *, streams: bool = False, port: int = 0, version: str = "v1"
    ) -> None:
        self.name = name
        self.streams = streams
        self.version = version
        self.script: collections.deque[str] = collections.deque()
        self.endings: collections.deque[answerendings.Ending] = collections.deque()
        self.received: list[ReceivedRequest] = []
        self.ran: list[str] = []
        self.ran_at: list[float] = []
        self.client_disconnected = threading.Event()
        self.is_stalled = threading.Event()
        self.resumed: list[str] = []
        self.freed_handles: list[str] = []
        self.kept: dict[str, int] = {}
        self.list_calls = 0
        self.move_status = 200
        self._streams: dict[str, threading.Event] = {}
        self.connections = 0
        self.connections_max = math.inf
        self.connections_reset = 0
        self.event_seconds = 0.0
        self.events = EVENTS
        self.event_padding = 0
        self.stops_after_answer = False
        self.is_framed = True
        self.fatal_bodies: set[bytes] = set()
        self.fatal_parts: set[str] = set()
        self.cold_requests_max = math.inf
        self.is_leaving = False
        self.rest = ""
        self.load = ""
        self.is_shedding = False
        self.failure_status = 500
        self.weights = "1"
        self.body = BODY
        self.endless = ""
        self.endless_bytes = 0
        self.crashed = threading.Event()
        self.crashed_by = b""
        self.crashed_parts: set[str] = set()
        self.crashed_at = math.inf
        self._listener = socket.create_server(("127.0.0.1", port))
        self.address = ids.Address(*self._listener.getsockname())
        self._stopping = threading.Event()
        self._open_connections: set[socket.socket] = set()
        self._thread = threading.Thread(target=self._accept_connections, daemon=True)

    def start(self) -> None:
        """Start serving in threads."""
        self._thread.start()

    def stop(self, *, is_cutting: bool = True) -> None:
        """Close the listener and, by default, all connections."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        if not is_cutting:
            return
        for connection in list(self._open_connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def crash(self, *, is_reset: bool = True) -> None:
        """End all connections and refuse new ones, like a process that dies."""
        for connection in list(self._open_connections):
            with contextlib.suppress(OSError):
                if is_reset:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                    )
        self.stop()
        self.crashed_at = time.monotonic()
        self.crashed.set()

    def _accept_connections(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            if len(self._open_connections) >= self.connections_max:
                self.connections_reset += 1
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                connection.close()
                continue
            self._open_connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        try:
            while (request := self._read(reader, connection)) is not None:
                if request.target != KV_LIST_PATH:
                    self.received.append(request)
                if self._exceeds_cold_limit():
                    self.crash()
                    return
                if not self._answer(request, connection):
                    break
        except OSError:
            self.client_disconnected.set()
        finally:
            self._open_connections.discard(connection)
            reader.close()
            connection.close()

    def _exceeds_cold_limit(self) -> bool:
        """Whether too many requests were received within the last second."""
        if self.cold_requests_max == math.inf:
            return False
        since = time.monotonic() - 1.0
        return sum(each.at > since for each in self.received) > self.cold_requests_max

    def _read(self, reader, connection: socket.socket) -> ReceivedRequest | None:
        line = reader.readline().decode("latin-1").split()
        if len(line) != 3:
            return None
        headers = {}
        while text := reader.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        if self.script and self.script[0] == "early":
            self.script.popleft()
            request = ReceivedRequest(line[0], line[1], headers, b"")
            connection.sendall(self._write_head(request, 413, len(BODY)) + BODY)
        body = reader.read(int(headers.get("content-length", 0)))
        return ReceivedRequest(line[0], line[1], headers, body)

    def _answer(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Answer a request; returns whether the connection stays open."""
        if request.target.startswith(KV_HANDLE_PATH):
            self.freed_handles.append(request.target.removeprefix(KV_HANDLE_PATH))
            connection.sendall(self._write_head(request, 200, 0))
            return True
        if request.target == KV_LIST_PATH:
            return self._list_kept_parts(request, connection)
        if request.target == KV_MOVE_PATH:
            return self._move_run(request, connection)
        expected = request.headers.get(EXPECT_VERSION.lower(), self.weights)
        if (
            request.headers.get(EXPECT_INSTANCE.lower()) != self.name
            or expected != self.weights
        ):
            connection.sendall(self._write_head(request, 421, 0))
            return True
        is_fatal = request.body and request.body in self.fatal_bodies
        if is_fatal or request.parts & self.fatal_parts:
            return self._run_fatal(request, connection)
        if self.is_shedding:
            return self._do_full(request, connection)
        if self.endless:
            return self._send_endless(request, connection)
        if self.endings and not self.script:
            return self._end_answer(self.endings.popleft(), request, connection)
        behaviour = self.script.popleft() if self.script else "serve"
        return getattr(self, f"_do_{behaviour}")(request, connection)

    def _list_kept_parts(
        self, request: ReceivedRequest, connection: socket.socket
    ) -> bool:
        self.list_calls += 1
        held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
        body = json.dumps({"epoch": 1, "next": 1, "held": held}).encode()
        connection.sendall(self._write_head(request, 200, len(body)) + body)
        return True

    def _move_run(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Stop a stream and return the handle of its copy."""
        move = json.loads(request.body)
        stop_event = self._streams.get(move["id"])
        if self.move_status == 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            return False
        if stop_event is None or self.move_status == 404:
            connection.sendall(self._write_head(request, 404, 0))
            return True
        stop_event.set()
        body = json.dumps({"kv_handle": f"copy-{move['id']}", "created": 1}).encode()
        head = self._write_head(request, self.move_status, len(body))
        connection.sendall(head + body)
        return True

    def _record_run(self, request: ReceivedRequest) -> None:
        if KV_FROM in request.headers:
            self.resumed.append(request.request_id)
            return
        self.ran.append(request.request_id)
        self.ran_at.append(time.monotonic())

    def _do_serve(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        if not self.streams:
            connection.sendall(self._write_head(request, 200, len(BODY)) + BODY)
            return True
        stop_event = self._streams[request.request_id] = threading.Event()
        head = self._write_head(request, 200, None)
        framing = answerendings.Framing.CHUNKS
        if not self.is_framed:
            framing = answerendings.Framing.CONNECTION
        ending = answerendings.Ending(framing)
        connection.sendall(ending.format_answer(head, []))
        for event in self._write_events(request):
            connection.sendall(ending.format_answer(b"", [event]))
            if stop_event.wait(self.event_seconds):
                return False  # Another engine resumes the stream.
        self._streams.pop(request.request_id, None)
        if self.is_framed:
            connection.sendall(b"0\r\n\r\n")
        return self.is_framed

    def _run_fatal(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Start a run and crash; for a stream, after the response head.

        A stream without a length ends in order after two events.
        """
        self._record_run(request)
        if self.streams:
            head = self._write_head(request, 200, None)
            framing = answerendings.Framing.CHUNKS
            if not self.is_framed:
                framing = answerendings.Framing.CONNECTION
            events = [] if self.is_framed else list(self._write_events(request))[:2]
            ending = answerendings.Ending(framing)
            connection.sendall(ending.format_answer(head, events))
        time.sleep(CRASH_DELAY_SECONDS)
        self.crashed_by = request.body
        self.crashed_parts = request.parts
        self.crash(is_reset=self.is_framed)
        return False

    def _end_answer(
        self,
        ending: answerendings.Ending,
        request: ReceivedRequest,
        connection: socket.socket,
    ) -> bool:
        """Run and end the answer in a given way."""
        self._record_run(request)
        head = self._write_head(request, 200, None)
        if self.streams:
            parts = list(self._write_events(request))
        else:
            head = head.replace(b"text/event-stream", b"text/plain")
            size = max(1, len(self.body) // PLAIN_PARTS_MAX)
            parts = [self.body[at : at + size] for at in range(0, len(self.body), size)]
        if self.stops_after_answer:
            self.stop(is_cutting=False)
        connection.sendall(ending.format_answer(head, parts))
        ending.prepare_close(connection)
        return False

    def _send_endless(
        self, request: ReceivedRequest, connection: socket.socket
    ) -> bool:
        """Run and send bytes that are no answer until the client closes."""
        self._record_run(request)
        head = self._write_head(request, 200, 0).partition(b"Content-Length")[0]
        connection.settimeout(ENDLESS_PAUSE_SECONDS)
        sent = 0
        for piece in endlessanswers.KINDS[self.endless](request.request_id, head):
            connection.sendall(piece)
            sent += len(piece)
            self.endless_bytes = max(self.endless_bytes, sent)
            if sent > ENDLESS_BYTES_MAX or self._stopping.is_set():
                break
        return False

    def _do_full(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        connection.sendall(self._write_head(request, 503, 0, {NOT_EXECUTED: "1"}))
        return True

    def _do_error(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        connection.sendall(self._write_head(request, self.failure_status, 5) + b"error")
        return True

    def _do_reset(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        return False

    def _do_cut(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        connection.sendall(self._write_head(request, 200, len(BODY)) + BODY[:3])
        return False

    def _do_cut_stream(
        self, request: ReceivedRequest, connection: socket.socket
    ) -> bool:
        """Drop the connection in the middle of the third event."""
        self._record_run(request)
        connection.sendall(self._write_head(request, 200, None))
        sent = b"".join(list(self._write_events(request))[:3])[:-4]
        connection.sendall(b"%x\r\n%b\r\n" % (len(sent), sent))
        return False

    def _do_cut_begun(
        self, request: ReceivedRequest, connection: socket.socket
    ) -> bool:
        """Drop the connection in the third event, unless the stream is resumed."""
        if LAST_EVENT_ID.lower() in request.headers:
            return self._do_serve(request, connection)
        return self._do_cut_stream(request, connection)

    def _do_twice(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Send the same response twice."""
        self._record_run(request)
        answer = self._write_head(request, 200, len(BODY)) + BODY
        connection.sendall(answer + answer)
        return True

    def _do_unsigned(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request.request_id}\r\n"
        connection.sendall(f"{head}Content-Length: 2\r\n\r\nno".encode())
        return True

    def _do_unframed(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        self._record_run(request)
        head = self._write_head(request, 200, None).replace(
            b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n"
        )
        connection.sendall(head + BODY)
        return False

    def _do_stalled(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Run, send a part of a body without a length, then nothing more."""
        self._record_run(request)
        head = self._write_head(request, 200, None).replace(
            b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n"
        )
        connection.sendall(head + BODY[:3])
        time.sleep(STALL_SECONDS)
        self.is_stalled.set()
        return self._wait_for_close(connection)

    def _do_silent(self, request: ReceivedRequest, connection: socket.socket) -> bool:
        """Run, and send nothing until the client disconnects."""
        self._record_run(request)
        return self._wait_for_close(connection)

    def _wait_for_close(self, connection: socket.socket) -> bool:
        connection.settimeout(10)
        if not connection.recv(1):
            self.client_disconnected.set()
        return False

    def _write_head(
        self,
        request: ReceivedRequest,
        status: int,
        length: int | None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Text", f"{REQUEST_ID}: {request.request_id}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if self.is_leaving:
            lines.append(f"{LEAVING}: 1")
        if self.load:
            lines.append(f"{SERVER_LOAD}: {self.load}")
        if status == 503 and self.rest:
            lines.append(f"{RETRY_AFTER}: {self.rest}")
        if status in (200, 413, self.failure_status):
            lines.append(f"{SERVER_STAMP}: {self.name}.{len(self.ran)}")
        if length is None:
            lines.append("Content-Type: text/event-stream")
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _write_events(self, request: ReceivedRequest) -> Iterator[bytes]:
        last = int(request.headers.get(LAST_EVENT_ID.lower(), 0))
        for number in range(last + 1, self.events + 1):
            padding = "." * self.event_padding
            lines = f"id: {number}\nversion: {self.version}\n"
            yield f"{lines}data: piece {number}{padding}\n\n".encode()


def list_versions(body: bytes) -> list[str]:
    """Return the software version of each event of a stream."""
    lines = body.decode().splitlines()
    return [line[9:] for line in lines if line.startswith("version: ")]
