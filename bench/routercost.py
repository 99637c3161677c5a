"""Measures the router's processor time per request, stream event and refusal.

The router is a separate process. An account sends it more requests than it accepts,
each on a connection of its own. The operating system reports the processor time. A
second router then takes over what the first one hands over.
"""

from __future__ import annotations

import concurrent.futures
import contextlib
import dataclasses
import pathlib
import re
import socket
import tempfile
import time
from collections.abc import Iterator

from bench import passing, soakparts
from standins import objects, platformserver, ports, sampleconfig

THREADS = 32
"""Requests that the router handles at once; slow streams occupy all of them."""

ROUTE_TIMEOUT_SECONDS = 600
"""Timeout of the routes, longer than the measurement."""

SENDERS = 16
REQUESTS = 4_000
STREAM_REQUESTS = 400
EVENT_SECONDS = 0.01
"""Time between two events, so that each is forwarded separately, as from engines."""

WARMUP_REQUESTS = 200
CONSECUTIVE_REFUSALS = 20
"""Refusals in a row after which all threads of the router count as occupied."""

BODY = b"x" * 2_400
"""Size of the most common request body in the users' load sheets."""

HANDING_THREADS = 4
"""Requests that a router serves itself before it hands the next ones over."""

EVENTS_PER_STREAM = (2, 30)
"""Events of a short and a typical stream; the difference gives the cost per event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """One kind of request and the status that each must receive."""

    name: str
    path: str
    status: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one kind of request.

    Attributes
    ----------
    seconds : float
        Processor time of one request.
    rate : float
        Answered requests per second, as measured by the callers.
    """

    name: str
    seconds: float
    rate: float


RunningRouter = tuple[soakparts.RouterProcess, int, platformserver.PlatformServer]


@contextlib.contextmanager
def run_router(
    folder: pathlib.Path, *, threads: int = THREADS, has_peer: bool = False
) -> Iterator[RunningRouter]:
    """Yield a router with few threads, its process id and its slow engine."""
    store = objects.ObjectStore()
    store.start()
    fast = platformserver.PlatformServer("gate-1")
    slow = platformserver.PlatformServer("planner-1", streams=True)
    with contextlib.ExitStack() as stack:
        stack.callback(store.stop)
        for server, service in ((fast, "gate"), (slow, "planner")):
            server.start()
            stack.callback(server.stop)
            entry = sampleconfig.make_entry(service, server.address, slots=64)
            store.put("servers", server.name, entry)
        configuration = sampleconfig.make_configuration()
        for route in configuration["routes"]:
            route["timeout_ms"] = ROUTE_TIMEOUT_SECONDS * 1000
        store.put("config", "main", configuration)
        router = start_router("edge-1", store, folder, threads, stack)
        if has_peer:
            start_router("edge-2", store, folder, 8 * THREADS, stack)
        yield router, router.process, slow


def start_router(
    name: str,
    store: objects.ObjectStore,
    folder: pathlib.Path,
    threads: int,
    stack: contextlib.ExitStack,
) -> soakparts.RouterProcess:
    """Start a router and wait until it serves."""
    router = soakparts.RouterProcess(
        name, store.address, ports.find_ports(4), folder, threads=threads
    )
    router.start()
    stack.callback(router.kill)
    wait_ready(router)
    return router


def wait_ready(router: soakparts.RouterProcess) -> None:
    """Wait until a call is answered with 200."""
    for _ in range(200):
        with contextlib.suppress(OSError):
            if b" 200 " in send(router, sampleconfig.CALLS, "ready")[:16]:
                return
        time.sleep(0.05)
    raise RuntimeError(
        "the router did not answer a call with status 200 in 200 attempts"
    )


def write(path: str, request: str) -> bytes:
    """Return the bytes of one HTTP request."""
    lines = [
        f"POST {path}1 HTTP/1.1",
        f"Host: {sampleconfig.HOST}",
        f"Celeryspan-Request-Id: {request}",
        f"Celeryspan-Deadline-Ms: {ROUTE_TIMEOUT_SECONDS * 1000}",
        f"Celeryspan-Credential: {sampleconfig.KEY}",
        "Celeryspan-Model: m",
        "Celeryspan-Token-Count: 1460,80",
        "Celeryspan-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + BODY


def send(router: soakparts.RouterProcess, path: str, request: str) -> bytes:
    """Send one request on a new connection and return the complete response."""
    with socket.create_connection(tuple(router.front), 10.0) as caller:
        caller.sendall(write(path, request))
        answer = b""
        while not is_whole(answer):
            chunk = caller.recv(65_536)
            if not chunk:
                raise RuntimeError(
                    f"connection closed before the response was complete: {answer!r}"
                )
            answer += chunk
    return answer


def is_whole(answer: bytes) -> bool:
    """Whether a response is complete."""
    head, found, body = answer.partition(b"\r\n\r\n")
    if not found:
        return False
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    if length is None:
        return body.endswith(b"0\r\n\r\n")
    return len(body) >= int(length.group(1))


def measure(
    load: Load, router: soakparts.RouterProcess, process: int, count: int
) -> Cost:
    """Send requests of one kind and return the cost of each."""

    def call(number: int) -> None:
        answer = send(router, load.path, f"{load.name}-{number}".replace(" ", "-"))
        if not answer.startswith(b"HTTP/1.1 " + load.status):
            raise RuntimeError(f"expected status {load.status!r}, received {answer!r}")

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        list(pool.map(call, range(WARMUP_REQUESTS)))
        before, began = passing.read_usage(process), time.monotonic()
        list(pool.map(call, range(count)))
        elapsed = time.monotonic() - began
    used = passing.read_usage(process).seconds - before.seconds
    return Cost(load.name, used / count, count / elapsed)


def occupy_threads(
    router: soakparts.RouterProcess, stack: contextlib.ExitStack
) -> None:
    """Occupy all threads of the router with slow streams."""
    refused = 0
    for number in range(40 * THREADS):
        if refused == CONSECUTIVE_REFUSALS:
            return
        if b" 503 " in send(router, sampleconfig.CALLS, f"probe-{number}")[:16]:
            refused += 1
            time.sleep(0.02)
            continue
        refused = 0
        caller = socket.create_connection(tuple(router.front), 60.0)
        stack.enter_context(caller)
        caller.sendall(write(sampleconfig.NOTES, f"slow-{number}"))
    raise RuntimeError(
        f"the router did not refuse {CONSECUTIVE_REFUSALS} requests in a row"
    )


def occupy_with_streams(
    router: soakparts.RouterProcess, stack: contextlib.ExitStack
) -> None:
    """Occupy the threads of a router with streams until it hands requests over."""
    for number in range(HANDING_THREADS):
        caller = stack.enter_context(socket.create_connection(tuple(router.front), 60))
        caller.sendall(write(sampleconfig.NOTES, f"occupy-{number}"))
        if not caller.recv(1):
            raise RuntimeError("the router closed the connection of a slow stream")
    wait_ready(router)


def measure_handover() -> list[Cost]:
    """Return what requests cost a router that hands them over to its peer."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        router, process, engine = stack.enter_context(
            run_router(pathlib.Path(folder), threads=HANDING_THREADS, has_peer=True)
        )
        engine.event_seconds = float(ROUTE_TIMEOUT_SECONDS)
        occupy_with_streams(router, stack)
        call = Load("handed-over call", sampleconfig.CALLS, b"200")
        costs = [measure(call, router, process, REQUESTS)]
        engine.event_seconds, engine.events = EVENT_SECONDS, EVENTS_PER_STREAM[-1]
        stream = Load(
            f"handed-over stream of {engine.events} events", sampleconfig.NOTES, b"200"
        )
        return [*costs, measure(stream, router, process, STREAM_REQUESTS)]


def run(_: list[str]) -> int:
    """Print the cost of calls, of streams of two lengths and of a refusal."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        router, process, engine = stack.enter_context(run_router(pathlib.Path(folder)))
        call = Load("plain call", sampleconfig.CALLS, b"200")
        costs = [measure(call, router, process, REQUESTS)]
        engine.event_seconds = EVENT_SECONDS
        for engine.events in EVENTS_PER_STREAM:
            stream = Load(
                f"stream of {engine.events} events", sampleconfig.NOTES, b"200"
            )
            costs.append(measure(stream, router, process, STREAM_REQUESTS))
        engine.event_seconds = float(ROUTE_TIMEOUT_SECONDS)
        occupy_threads(router, stack)
        refusal = Load("refusal", sampleconfig.CALLS, b"503")
        costs.append(measure(refusal, router, process, REQUESTS))
    costs += measure_handover()
    for cost in costs:
        print(
            f"{cost.name}: {cost.seconds * 1e3:.2f} ms of a core, "
            f"{1 / cost.seconds:.0f} a second and core; {cost.rate:.0f} a second seen"
        )
    event = (costs[2].seconds - costs[1].seconds) / (
        EVENTS_PER_STREAM[1] - EVENTS_PER_STREAM[0]
    )
    print(f"event: {event * 1e6:.0f} us of a core")
    return 0
