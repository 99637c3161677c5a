"""Parts of the soak: a proxy that spoils connections, routers as processes, callers."""

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

DESCRIPTORS = 200
"""What a router's process may have open: few enough that callers who leave their
connections open come to the bound within a short run."""

HOARD_SECONDS = 0.03
"""Time between two connections of a hoarder."""

PIECE = 65_536
CALL_SECONDS = 4.0
READY_SECONDS = 5.0
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""


class Way(enum.Enum):
    """What a proxy does with bytes."""

    OPEN = "open"
    SILENT = "silent"
    ONE_WAY = "one way"
    CLOSED = "closed"


class Proxy:
    """Stands before one address and passes bytes on, or does not.

    Attributes
    ----------
    way : Way
        What happens to bytes; of all connections, also those that are open.
    delay : float
        Seconds by which each piece is late.
    """

    def __init__(self, target: ids.Address) -> None:
        self.way = Way.OPEN
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
        """Close everything; new connections are refused."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()

    def start_again(self, target: ids.Address) -> None:
        """Listen where it did before, for another target."""
        self._target = target
        self._stopped = False
        self._listener = socket.create_server(self.address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self._listener
        while not self._stopped:
            try:
                near, _ = listener.accept()
                if self.way is Way.CLOSED:
                    near.close()
                    continue
                far = socket.create_connection(self._target, timeout=2.0)
                far.settimeout(None)
            except OSError:
                continue
            self._open |= {near, far}
            for source, sink, back in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._pass, args=(source, sink, back), daemon=True
                ).start()

    def _pass(self, source: socket.socket, sink: socket.socket, back: bool) -> None:
        try:
            while piece := source.recv(PIECE):
                time.sleep(self.delay)
                if self.way is Way.SILENT or (self.way is Way.ONE_WAY and back):
                    continue  # The bytes are lost, and neither end is told.
                sink.sendall(piece)
        except OSError:
            pass  # One end is gone; the other learns by the closing below.
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self._open.discard(sock)


class RouterProcess:
    """One router as a process of its own, started again under the same addresses.

    Attributes
    ----------
    is_ending : bool
        Whether a fault has asked it to end and will start it again: a second one must
        not start a second process at the same addresses.
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
    ) -> None:
        self.name = name
        self.front, self.peer, self.ready, self.directory = (
            ids.Address("127.0.0.1", port) for port in ports
        )
        self._path = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        values = {
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
            "caller_threads": threads,
        }
        self._path.write_text(json.dumps(values))
        self._process: subprocess.Popen | None = None
        self.is_ending = False

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

    def end(self) -> None:
        """End the process at once."""
        assert self._process is not None
        self._process.kill()
        self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object has started."""
        assert self._process is not None
        self._process.send_signal(number)

    def wait(self, seconds: float) -> int | None:
        """Wait for the end; returns the exit code, or None if it goes on."""
        assert self._process is not None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        question = b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        with contextlib.suppress(OSError):
            with socket.create_connection(self.ready, timeout=READY_SECONDS) as sock:
                sock.sendall(question)
                return b"200" in sock.recv(64)
        return False

    def ends_by_itself(self) -> bool:
        """Whether the process has ended though nothing asked it to."""
        return self._process is not None and self._process.poll() is not None


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class Hoarder:
    """Opens a connection for each request at one router, and leaves all of them open.

    It runs beside the seeded faults and draws nothing, so that they stay as they are.
    """

    def __init__(self, router: RouterProcess) -> None:
        self._router = router
        self._open: list[socket.socket] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to open connections."""
        self._thread.start()

    def stop(self) -> None:
        """Open nothing more; what is open stays so."""
        self._stopped.set()
        self._thread.join()

    def close(self) -> None:
        """Close all connections."""
        for sock in self._open:
            sock.close()

    def _run(self) -> None:
        question = (
            f"GET /calls/1 HTTP/1.1\r\nHost: {sampleconfig.HOST}\r\n\r\n".encode()
        )
        while not self._stopped.wait(HOARD_SECONDS):
            with contextlib.suppress(OSError):
                sock = socket.create_connection(self._router.front, timeout=1.0)
                self._open.append(sock)
                sock.sendall(question)


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told of one request.

    Attributes
    ----------
    status : int
        0 if there was no answer.
    fault : str
        What is wrong with the answer itself, or the empty text.
    """

    request: str
    path: str
    status: int
    at: float
    fault: str = ""


class Caller:
    """Sends requests one after the other, as the platform's callers do."""

    def __init__(self, name: str, routers: list[RouterProcess], seed: str) -> None:
        self.told: list[Told] = []
        self._name = name
        self._routers = routers
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send nothing more, and wait for the last answer."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        count = 0
        while not self._stopped.wait(self._random.uniform(0.01, 0.08)):
            path = self._random.choice(("/calls/", "/bookings/", "/drafts/", "/notes/"))
            count += 1
            self.told.append(self._ask(f"{self._name}-{count}", path + str(count)))

    def _ask(self, request: str, path: str) -> Told:
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
                fault = find_fault(request, path, answer, answer.read())
                return Told(request, path, answer.status, at, fault)
        except (OSError, http.client.HTTPException, ValueError):
            return Told(request, path, 0, at)

    def _resolve(self) -> ids.Address:
        """Ask directories in random order until one answers."""
        for router in self._random.sample(self._routers, len(self._routers)):
            connection = http.client.HTTPConnection(*router.directory, timeout=1.0)
            try:
                with contextlib.closing(connection):
                    connection.request("GET", f"/v1/resolve?name={sampleconfig.HOST}")
                    found = json.loads(connection.getresponse().read())
                return ids.Address.parse(self._random.choice(found["addresses"]))
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue
        raise OSError("no directory answers")


def find_fault(
    request: str, path: str, answer: http.client.HTTPResponse, body: bytes
) -> str:
    """Return what is wrong with an answer whatever has happened, or nothing."""
    named = answer.getheader("Celeryspan-Request-Id")
    if named not in (None, request):
        return f"belongs to {named}"
    if answer.status != 200:
        return ""
    if not answer.getheader(platformserver.SERVER_STAMP):
        return "a success without signature"
    if path.startswith(("/calls/", "/bookings/")):
        return "" if body == platformserver.BODY else f"body {body!r}"
    numbers = [int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")]
    whole = numbers == [*range(1, platformserver.EVENTS + 1)]
    return "" if whole else f"events {numbers}"
