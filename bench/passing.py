"""Processor time and memory of a router that passes requests and streams on."""

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

CALLS = (100, 300, 600)
STREAMS = (8, 24, 48)
TICK = os.sysconf("SC_CLK_TCK")
SAMPLE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds that a process has used, and its memory in bytes."""

    seconds: float
    memory: float


def find_router() -> int:
    """Return the process of the router that this one has started."""
    own = os.getpid()
    for entry in pathlib.Path(f"/proc/{own}/task").iterdir():
        for child in (entry / "children").read_text().split():
            line = pathlib.Path(f"/proc/{child}/cmdline").read_bytes().split(b"\0")
            if b"router" in line:
                return int(child)
    raise RuntimeError("expected a router among the children, found none")


def read_usage(process: int) -> Usage:
    """Return what a process has used so far."""
    folder = pathlib.Path(f"/proc/{process}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    seconds = (int(fields[11]) + int(fields[12])) / TICK
    return Usage(seconds, float(pages * os.sysconf("SC_PAGE_SIZE")))


def measure() -> list[fits.Slope]:
    """Return the slopes of requests, tokens and streams passed on."""
    with processes.Processes() as running:
        setup = overhead.start(running)
        router = find_router()
        url = f"http://{setup.router}/v1/services/{fleet.GATE}/status"
        overhead.time_calls(url, 1, 50)
        calls = [
            spend(router, functools.partial(overhead.time_calls, url, 1, size))[0]
            for size in CALLS
        ]
        streams = [
            spend(router, functools.partial(read_streams, setup, size))
            for size in STREAMS
        ]
    tokens = [size * overhead.STREAM_TOKENS for size in STREAMS]
    return [
        fits.fit("request passed on", "us", CALLS, calls),
        fits.fit("token passed on", "us", tokens, [time for time, _ in streams]),
        fits.fit("stream", "bytes", STREAMS, [memory for _, memory in streams]),
    ]


def spend(router: int, work: Callable[[], object]) -> tuple[float, float]:
    """Return the router's microseconds during some work, and its greatest memory."""
    before = read_usage(router)
    greatest = before.memory
    thread = threading.Thread(target=work)
    thread.start()
    while thread.is_alive():
        time.sleep(SAMPLE_SECONDS)
        greatest = max(greatest, read_usage(router).memory)
    return (read_usage(router).seconds - before.seconds) * 1e6, greatest


def read_streams(setup: overhead.Setup, count: int) -> None:
    """Read streams at once, through the router."""
    urls = [f"http://{setup.router}/v1/chat/completions"]
    tokens: list[int] = []
    overhead.run_concurrently(
        [
            overhead.make_stream(urls, place, f"slope-{count}", tokens)
            for place in range(count)
        ]
    )
    if sum(tokens) != count * overhead.STREAM_TOKENS:
        raise RuntimeError(f"{sum(tokens)} tokens of {count} streams")
