"""Components of the soak: fault-injecting proxies, router processes and callers."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import http.client
import json
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence

from celeryspan import ids
from standins import platformserver, sampleconfig

DESCRIPTORS_MAX = 200
"""Limit of open file descriptors per router process. It is low, so that leaked
connections reach it within a short run."""

LEAK_INTERVAL_SECONDS = 0.03
"""Time between two leaked connections at one router."""

BUFFER_BYTES = 65_536
CALL_SECONDS = 4.0
READY_SECONDS = 5.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and will not run."""

COLD_FACTOR, COLD_SLACK = 1.5, 5.0
"""Requests that cold servers may get within a second, relative to their rate, and in
addition to these."""


class RepeatedTask:
    """A thread that repeats a step of the soak until it is stopped.

    Attributes
    ----------
    stopped : Event
        Set when the soak stops it.
    """

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self._thread = threading.Thread(target=self._repeat, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for its present step."""
        self.stopped.set()
        self._thread.join()

    def choose_pause(self) -> float:
        """Return the seconds until the next step."""
        raise NotImplementedError

    def step(self) -> None:
        """Do what is repeated."""
        raise NotImplementedError

    def _repeat(self) -> None:
        while not self.stopped.wait(self.choose_pause()):
            self.step()


class ProxyMode(enum.Enum):
    """How a proxy handles the data of its connections."""

    OPEN = "open"
    SILENT = "silent"
    ONE_WAY = "one way"
    CLOSED = "closed"


class Proxy:
    """Forwards connections to one address and injects faults.

    Attributes
    ----------
    mode : ProxyMode
        How data is handled; changes apply to open connections as well.
    delay : float
        Delay of each chunk of data, in seconds.
    """

    def __init__(self, target: ids.Address) -> None:
        self.mode = ProxyMode.OPEN
        self.delay = 0.0
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = ids.Address(*self._listener.getsockname())
        self._open: set[socket.socket] = set()
        self._stopped = False
        threading.Thread(target=self._accept, daemon=True).start()

    def reset(self) -> None:
        """Reset all open connections."""
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, platformserver.RESET_LINGER
                )
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Close all sockets; new connections are refused."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()

    def restart(self, target: ids.Address) -> None:
        """Listen on the same address again and forward to another target."""
        self._target = target
        self._stopped = False
        self._listener = socket.create_server(self.address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self._listener
        while not self._stopped:
            try:
                client, _ = listener.accept()
                if self.mode is ProxyMode.CLOSED:
                    client.close()
                    continue
                server = socket.create_connection(self._target, timeout=2.0)
                server.settimeout(None)
            except OSError:
                continue
            self._open |= {client, server}
            for source, sink, is_reply in (
                (client, server, False),
                (server, client, True),
            ):
                threading.Thread(
                    target=self._forward, args=(source, sink, is_reply), daemon=True
                ).start()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_reply: bool
    ) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                time.sleep(self.delay)
                if self.mode is ProxyMode.SILENT or (
                    self.mode is ProxyMode.ONE_WAY and is_reply
                ):
                    continue  # Drop the data without an error at either end.
                sink.sendall(data)
        except OSError:
            pass  # One end has closed; the shutdown below tells the other.
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self._open.discard(sock)


class RouterProcess:
    """One router process, which keeps its addresses when it is restarted.

    Attributes
    ----------
    is_stopping : bool
        Whether a fault has stopped the router and will restart it. Another fault must
        not start a second process on the same addresses.
    """

    def __init__(
        self,
        name: str,
        store: ids.Address,
        ports: list[int],
        folder: pathlib.Path,
        *,
        threads: int = 256,
        data_centre: str = "hala-a",
        seeds: Sequence[str] = (),
        **values: object,
    ) -> None:
        self.name = name
        self.front, self.peer, self.ready, self.directory = (
            ids.Address("127.0.0.1", port) for port in ports
        )
        self._path = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        settings = {
            "router": name,
            "data_centre": data_centre,
            "caller_address": str(self.front),
            "peer_address": str(self.peer),
            "ready_address": str(self.ready),
            "directory_address": str(self.directory),
            "store_address": str(store),
            "fleet_keys": ["soak"],
            "peers": list(seeds),
            "grace_seconds": 8.0,
            "follows_evacuations": True,
            "cold_factor": COLD_FACTOR,
            "cold_slack": COLD_SLACK,
            "caller_threads": threads,
            **values,
        }
        self._path.write_text(json.dumps(settings))
        self._process: subprocess.Popen | None = None
        self.is_stopping = False

    def start(self) -> None:
        """Start the process."""
        with self._log.open("a") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "celeryspan.daemons.launch",
                    "--settings",
                    str(self._path),
                ],
                stdout=log,
                stderr=log,
                preexec_fn=_limit_descriptors,
            )

    @property
    def process(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        assert self._process is not None
        self._process.kill()
        self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process."""
        assert self._process is not None
        self._process.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Wait for the process to exit; returns its exit code, or None on timeout."""
        assert self._process is not None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def is_ready(self) -> bool:
        """Whether the readiness endpoint answers 200."""
        request = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        with contextlib.suppress(OSError):
            with socket.create_connection(self.ready, timeout=READY_SECONDS) as sock:
                sock.sendall(request)
                return b"200" in sock.recv(64)
        return False

    def has_exited(self) -> bool:
        """Whether the process has exited and has not been restarted."""
        return self._process is not None and self._process.poll() is not None


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS_MAX, DESCRIPTORS_MAX))


class ConnectionLeaker:
    """Sends requests to one router, each on a new connection that stays open.

    It draws no random numbers, so that the faults of a seed do not depend on it.
    """

    def __init__(self, router: RouterProcess) -> None:
        self._router = router
        self._open: list[socket.socket] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start opening connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop opening connections; the open ones stay open."""
        self._stopped.set()
        self._thread.join()

    def close(self) -> None:
        """Close all connections."""
        for sock in self._open:
            sock.close()

    def _run(self) -> None:
        request = f"GET /calls/1 HTTP/1.1\r\nHost: {sampleconfig.HOST}\r\n\r\n".encode()
        while not self._stopped.wait(LEAK_INTERVAL_SECONDS):
            with contextlib.suppress(OSError):
                sock = socket.create_connection(self._router.front, timeout=1.0)
                self._open.append(sock)
                sock.sendall(request)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request of a caller and its answer.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if there was none.
    mismatch : str
        How the answer does not match the request; empty if it does.
    """

    request: str
    path: str
    status: int
    at: float
    mismatch: str = ""


class Caller:
    """Sends requests one at a time, as the platform's callers do."""

    def __init__(self, name: str, routers: list[RouterProcess], seed: str) -> None:
        self.exchanges: list[Exchange] = []
        self._name = name
        self._routers = routers
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the last answer."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        count = 0
        while not self._stopped.wait(self._random.uniform(0.01, 0.08)):
            path = self._random.choice(("/calls/", "/bookings/", "/drafts/", "/notes/"))
            count += 1
            self.exchanges.append(
                self._send(f"{self._name}-{count}", path + str(count))
            )

    def _send(self, request: str, path: str) -> Exchange:
        at = time.monotonic()
        try:
            address = self._resolve()
            connection = http.client.HTTPConnection(*address, timeout=CALL_SECONDS)
            with contextlib.closing(connection):
                method = "GET" if path.startswith("/calls/") else "POST"
                headers = {
                    "Host": sampleconfig.HOST,
                    "Celeryspan-Request-Id": request,
                    "Celeryspan-Deadline-Ms": "3000",
                    "Celeryspan-Credential": sampleconfig.KEY,
                }
                connection.request(method, path, headers=headers)
                answer = connection.getresponse()
                mismatch = find_mismatch(request, path, answer, answer.read())
                return Exchange(request, path, answer.status, at, mismatch)
        except (OSError, http.client.HTTPException, ValueError):
            return Exchange(request, path, 0, at)

    def _resolve(self) -> ids.Address:
        """Query the directories in random order until one answers."""
        for router in self._random.sample(self._routers, len(self._routers)):
            connection = http.client.HTTPConnection(*router.directory, timeout=1.0)
            try:
                with contextlib.closing(connection):
                    connection.request("GET", f"/v1/resolve?name={sampleconfig.HOST}")
                    found = json.loads(connection.getresponse().read())
                return ids.Address.parse(self._random.choice(found["addresses"]))
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue
        raise OSError(f"no router directory resolved {sampleconfig.HOST!r}")


def find_mismatch(
    request: str, path: str, answer: http.client.HTTPResponse, body: bytes
) -> str:
    """Return how an answer does not match its request, or an empty string."""
    answered_id = answer.getheader("Celeryspan-Request-Id")
    if answered_id not in (None, request):
        return f"answers request {answered_id}"
    if answer.status != 200:
        return ""
    if not answer.getheader(platformserver.SERVER_STAMP):
        return "status 200 without the server's signature"
    if path.startswith(("/calls/", "/bookings/")):
        return "" if body == platformserver.BODY else f"unexpected body {body!r}"
    numbers = [int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")]
    if len(set(platformserver.list_versions(body))) > 1:
        return f"events of two software versions: {body!r}"
    is_complete = numbers == [*range(1, platformserver.EVENTS + 1)]
    return "" if is_complete else f"unexpected events {numbers}"
