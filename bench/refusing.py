"""What an accepted request and a refused one cost a router of the platform.

The router is a process of its own; an account sends it more than it takes, each request
on a connection of its own. Processor time is the router's, as the system counts it.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import pathlib
import socket
import tempfile
import time
from collections.abc import Iterator

from bench import passing, soakparts
from standins import desk, objects, platformserver, ports

THREADS = 32
"""Requests that the router takes at a time; the slow ones below hold all of them."""

HELD_SECONDS = 600
"""Timeout of the routes: longer than the measurement."""

SENDERS = 4
REQUESTS = 4_000
WARMUP = 200
REFUSED_IN_A_ROW = 20
"""Refusals after which all that the router takes is held."""

BODY = b"x" * 2_400
"""As long as the body of the commonest request of the users' sheets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one kind of request.

    Attributes
    ----------
    seconds : float
        Processor time of one request.
    rate : float
        Requests a second that this machine's callers got answered.
    """

    name: str
    seconds: float
    rate: float


@contextlib.contextmanager
def run_router(folder: pathlib.Path) -> Iterator[tuple[soakparts.RouterProcess, int]]:
    """Yield a router that takes few requests, and its process."""
    store = objects.ObjectStore()
    store.start()
    quick = platformserver.PlatformServer("gate-1")
    slow = platformserver.PlatformServer("planner-1", streams=True)
    slow.event_seconds = float(HELD_SECONDS)
    with contextlib.ExitStack() as stack:
        stack.callback(store.stop)
        for server, service in ((quick, "gate"), (slow, "planner")):
            server.start()
            stack.callback(server.stop)
            entry = desk.make_entry(service, server.address, slots=64)
            store.put("servers", server.name, entry)
        configuration = desk.make_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = HELD_SECONDS * 1000
        store.put("config", "main", configuration)
        router = soakparts.RouterProcess(
            "edge-1", store.address, ports.find_ports(4), folder, threads=THREADS
        )
        router.start()
        stack.callback(router.end)
        wait_ready(router)
        yield router, router.process


def wait_ready(router: soakparts.RouterProcess) -> None:
    """Wait until a call is answered."""
    for _ in range(200):
        with contextlib.suppress(OSError):
            if b" 200 " in send(router, desk.CALLS, "ready")[:16]:
                return
        time.sleep(0.05)
    raise RuntimeError("the router never answered")


def write(path: str, request: str) -> bytes:
    """Return one request."""
    lines = [
        f"POST {path}1 HTTP/1.1",
        f"Host: {desk.HOST}",
        f"Celeryspan-Request-Id: {request}",
        f"Celeryspan-Deadline-Ms: {HELD_SECONDS * 1000}",
        f"Celeryspan-Credential: {desk.KEY}",
        "Celeryspan-Model: m",
        "Celeryspan-Token-Count: 1460,80",
        "Celeryspan-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + BODY


def send(router: soakparts.RouterProcess, path: str, request: str) -> bytes:
    """Send one request on a connection of its own; returns the whole answer."""
    with socket.create_connection(tuple(router.front), 10.0) as caller:
        caller.sendall(write(path, request))
        answer = caller.recv(65_536)
        expected = int(answer.lower().partition(b"content-length: ")[2].split()[0])
        while len(answer.partition(b"\r\n\r\n")[2]) < expected:
            answer += caller.recv(65_536)
    return answer


def measure(
    name: str, router: soakparts.RouterProcess, process: int, status: bytes
) -> Cost:
    """Send plain calls and return what each cost."""

    def call(number: int) -> None:
        answer = send(router, desk.CALLS, f"{name}-{number}")
        if not answer.startswith(b"HTTP/1.1 " + status):
            raise RuntimeError(f"expected {status!r}, found {answer!r}")

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        list(pool.map(call, range(WARMUP)))
        before, began = passing.read_usage(process), time.monotonic()
        list(pool.map(call, range(REQUESTS)))
        took = time.monotonic() - began
    used = passing.read_usage(process).seconds - before.seconds
    return Cost(name, used / REQUESTS, REQUESTS / took)


def hold_threads(router: soakparts.RouterProcess, stack: contextlib.ExitStack) -> None:
    """Let slow streams take all that the router takes at a time."""
    refused = 0
    for number in range(40 * THREADS):
        if refused == REFUSED_IN_A_ROW:
            return
        if b" 503 " in send(router, desk.CALLS, f"probe-{number}")[:16]:
            refused += 1
            time.sleep(0.02)
            continue
        refused = 0
        caller = socket.create_connection(tuple(router.front), 60.0)
        stack.enter_context(caller)
        caller.sendall(write(desk.NOTES, f"slow-{number}"))
    raise RuntimeError("the router took requests all the while")


def run(_: list[str]) -> int:
    """Print the cost of a plain call and of a refusal."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        router, process = stack.enter_context(run_router(pathlib.Path(folder)))
        costs = [measure("plain call", router, process, b"200")]
        hold_threads(router, stack)
        costs.append(measure("refusal", router, process, b"503"))
    for cost in costs:
        print(
            f"{cost.name}: {cost.seconds * 1e3:.2f} ms of a core, "
            f"{1 / cost.seconds:.0f} a second and core; {cost.rate:.0f} a second seen"
        )
    return 0
