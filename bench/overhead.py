"""Measures the latency that one router adds and its token throughput.

Usage: ``make bench NAME=overhead``. The router, store, plain service and engines are
separate processes; the callers are threads of this one.
"""

from __future__ import annotations

import dataclasses
import json
import os
import platform
import re
import statistics
import threading
import time
from collections.abc import Callable

import urllib3

from bench import processes
from celeryspan import register, states
from standins import fleet, ports

CALLERS = (1, 50)
CALLS = 2000
WARMUP_CALLS = 200

STREAMS = (8, 16, 32, 64, 96)
STREAM_TOKENS = 500
TOKEN_SECONDS = 0.01
ENGINES = 2
ENGINE_SLOTS = 48

TOKEN = re.compile(rb"[0-9a-f]{8}\.\d+ ")
"""A token of the stand-in engine; each chunk of a stream contains whole tokens."""

ACCOUNT = "bench"
HEADERS = {"Authorization": f"Bearer {ACCOUNT}", "Content-Type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """Addresses of the started processes."""

    gate: str
    engines: tuple[str, ...]
    router: str


def run(arguments: list[str]) -> int:
    """Measure, print a line per case, and print one JSON object last."""
    with processes.Processes() as running:
        setup = start(running)
        result: dict[str, object] = {
            "python": platform.python_version(),
            "cores": os.cpu_count(),
            "load_average": os.getloadavg()[0],
        }
        for callers in CALLERS:
            result[f"plain_{callers}"] = measure_plain(setup, callers)
        result["tokens"] = [measure_tokens(setup, count) for count in STREAMS]
    print(json.dumps(result))
    return 0


def start(running: processes.Processes) -> Setup:
    """Start all processes and wait until the router serves both services."""
    store = running.start_standin("store")
    gate = running.start_standin("service", slots=64, work_seconds=0)
    engines = tuple(
        running.start_standin("engine", slots=ENGINE_SLOTS, token_seconds=TOKEN_SECONDS)
        for _ in range(ENGINES)
    )
    vm = register.VM(
        name="entry-1",
        data_centre="hala-a",
        caller_address=f"127.0.0.1:{ports.find_port()}",
        peer_address=f"127.0.0.1:{ports.find_port()}",
    )
    processes.publish(store, make_register(vm, gate, engines))
    running.start_router(vm, store, [])
    setup = Setup(gate, engines, vm.caller_address)
    processes.wait_for(setup.router, f"/v1/services/{fleet.GATE}/status", HEADERS)
    return setup


def make_register(
    vm: register.VM, gate: str, engines: tuple[str, ...]
) -> register.Register:
    """Return the register of one router, one plain server and some engines."""
    servers = [(fleet.GATE, "gate-1", gate, 64)] + [
        (fleet.MODEL, f"engine-{index}", address, ENGINE_SLOTS)
        for index, address in enumerate(engines)
    ]
    return register.Register(
        firm="bench",
        data_centres=(register.DataCentre(name="hala-a", region="bohemia"),),
        vms=(vm,),
        services=(
            register.Service(
                name=fleet.GATE,
                kind=states.ServiceKind.PLAIN,
                idempotent_paths=("/status",),
            ),
            register.Service(
                name=fleet.MODEL, kind=states.ServiceKind.MODEL, cost_hint=STREAM_TOKENS
            ),
        ),
        servers=tuple(
            register.Server(
                name=name,
                service=service,
                data_centre="hala-a",
                address=address,
                slots=slots,
            )
            for service, name, address, slots in servers
        ),
        accounts=(
            register.Account(name=ACCOUNT, key_hashes=(fleet.hash_key(ACCOUNT),)),
        ),
    )


def measure_plain(setup: Setup, callers: int) -> dict[str, float]:
    """Return latencies of direct and routed calls in ms, and calls per second."""
    urls = {
        "direct": f"http://{setup.gate}/status",
        "routed": f"http://{setup.router}/v1/services/{fleet.GATE}/status",
    }
    found: dict[str, float] = {}
    for name, url in urls.items():
        time_calls(url, callers, WARMUP_CALLS)
        began = time.perf_counter()
        times = sorted(time_calls(url, callers, CALLS))
        elapsed = time.perf_counter() - began
        found[f"{name}_median_ms"] = round(1000 * statistics.median(times), 2)
        found[f"{name}_p99_ms"] = round(1000 * times[int(len(times) * 0.99)], 2)
        found[f"{name}_calls_per_second"] = round(len(times) / elapsed)
    for name in ("median_ms", "p99_ms"):
        difference = found[f"routed_{name}"] - found[f"direct_{name}"]
        found[f"added_{name}"] = round(difference, 2)
    print(f"plain calls, {callers} at once: {found}", flush=True)
    return found


def time_calls(url: str, callers: int, calls: int) -> list[float]:
    """Return the latency of each call, in seconds; raise if a status is not 200."""
    pool = urllib3.PoolManager(maxsize=callers, retries=False, timeout=30.0)
    times: list[float] = []

    def call() -> None:
        for _ in range(calls // callers):
            began = time.perf_counter()
            answer = pool.request("GET", url, headers=HEADERS)
            times.append(time.perf_counter() - began)
            if answer.status != 200:
                raise RuntimeError(f"expected status 200, received {answer.status}")

    run_concurrently([call] * callers)
    return times


def measure_tokens(setup: Setup, streams: int) -> dict[str, float]:
    """Return the tokens per second of callers, direct and through the router."""
    found: dict[str, float] = {"streams": streams, "offered": streams / TOKEN_SECONDS}
    direct = [f"http://{address}/generate" for address in setup.engines]
    routed = [f"http://{setup.router}/v1/chat/completions"]
    for name, urls in (("direct", direct), ("routed", routed)):
        began = time.perf_counter()
        tokens: list[int] = []
        run_concurrently(
            [make_stream(urls, index, name, tokens) for index in range(streams)]
        )
        elapsed = time.perf_counter() - began
        if sum(tokens) != streams * STREAM_TOKENS:
            raise RuntimeError(
                f"{name}: received {sum(tokens)} tokens from {streams} streams, "
                f"expected {streams * STREAM_TOKENS}"
            )
        found[f"{name}_tokens_per_second"] = round(sum(tokens) / elapsed)
    print(f"streams: {found}", flush=True)
    return found


def make_stream(
    urls: list[str], index: int, name: str, tokens: list[int]
) -> Callable[[], None]:
    """Return a call that reads one stream and counts its tokens."""
    body = {
        "request": f"{name}-{index}-{time.time_ns()}",
        "model": fleet.MODEL,
        "messages": [{"role": "user", "content": f"{name} {index}"}],
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }

    def read() -> None:
        answer = urllib3.request(
            "POST",
            urls[index % len(urls)],
            headers=HEADERS,
            body=json.dumps(body).encode(),
            preload_content=False,
            retries=False,
            timeout=60.0,
        )
        tokens.append(sum(len(TOKEN.findall(part)) for part in answer.stream()))

    return read


def run_concurrently(calls: list[Callable[[], None]]) -> None:
    """Run each call in a thread of its own and wait for all of them.

    Raises
    ------
    ExceptionGroup
        With the errors of all calls, if any failed.
    """
    failures: list[Exception] = []

    def collect_error(call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:
            failures.append(error)

    threads = [threading.Thread(target=collect_error, args=(call,)) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise ExceptionGroup("some calls failed", failures)
