"""Processor time and memory that a router uses to forward requests and streams."""

from __future__ import annotations

import dataclasses
import functools
import os
import pathlib
import threading
import time
from collections.abc import Callable

from bench import fits, overhead, processes
from standins import fleet

CALL_COUNTS = (100, 300, 600)
STREAM_COUNTS = (8, 24, 48)
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SAMPLE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds that a process has used, and its memory in bytes."""

    seconds: float
    memory: float


def find_router() -> int:
    """Return the process ID of the router among this process's children."""
    own = os.getpid()
    for entry in pathlib.Path(f"/proc/{own}/task").iterdir():
        for child in (entry / "children").read_text().split():
            line = pathlib.Path(f"/proc/{child}/cmdline").read_bytes().split(b"\0")
            if b"router" in line:
                return int(child)
    raise RuntimeError("no router process among the child processes")


def read_usage(process: int) -> Usage:
    """Return the processor time and memory of a process so far."""
    folder = pathlib.Path(f"/proc/{process}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
    return Usage(seconds, float(pages * os.sysconf("SC_PAGE_SIZE")))


def measure() -> list[fits.Slope]:
    """Return the cost per forwarded request, token and stream."""
    with processes.Processes() as running:
        setup = overhead.start(running)
        router = find_router()
        url = f"http://{setup.router}/v1/services/{fleet.GATE}/status"
        overhead.time_calls(url, 1, 50)
        calls = [
            measure_work(router, functools.partial(overhead.time_calls, url, 1, size))[
                0
            ]
            for size in CALL_COUNTS
        ]
        streams = [
            measure_work(router, functools.partial(read_streams, setup, size))
            for size in STREAM_COUNTS
        ]
    tokens = [size * overhead.STREAM_TOKENS for size in STREAM_COUNTS]
    return [
        fits.fit("request passed on", "us", CALL_COUNTS, calls),
        fits.fit("token passed on", "us", tokens, [time for time, _ in streams]),
        fits.fit("stream", "bytes", STREAM_COUNTS, [memory for _, memory in streams]),
    ]


def measure_work(router: int, work: Callable[[], object]) -> tuple[float, float]:
    """Run some work and return the router's microseconds and peak memory in bytes."""
    before = read_usage(router)
    peak_memory = before.memory
    thread = threading.Thread(target=work)
    thread.start()
    while thread.is_alive():
        time.sleep(SAMPLE_SECONDS)
        peak_memory = max(peak_memory, read_usage(router).memory)
    return (read_usage(router).seconds - before.seconds) * 1e6, peak_memory


def read_streams(setup: overhead.Setup, count: int) -> None:
    """Read streams concurrently through the router."""
    urls = [f"http://{setup.router}/v1/chat/completions"]
    tokens: list[int] = []
    overhead.run_concurrently(
        [
            overhead.make_stream(urls, index, f"slope-{count}", tokens)
            for index in range(count)
        ]
    )
    if sum(tokens) != count * overhead.STREAM_TOKENS:
        raise RuntimeError(
            f"unexpected token count: {sum(tokens)} tokens from {count} streams"
        )
