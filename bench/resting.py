"""Measures the cost of a fleet without callers, during startup and while idle.

The routers are separate processes in several data centres and share one store. The
output is processor time and calls to the store, for startup and for the idle period.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import time

from bench import passing, soakparts
from standins import objects, platformserver, ports, sampleconfig

ROUTERS = 40
DATA_CENTRES = 5
SERVERS = 10

SETTLE_SECONDS = 10.0
"""Time after which all routers know each other and startup work is over."""

IDLE_SECONDS = 20.0

START_SECONDS_MAX = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Total usage of all routers at one moment.

    Attributes
    ----------
    at : float
        Monotonic time, in seconds.
    seconds : float
        Processor time, in seconds.
    calls : Counter
        Calls to the store, by method and kind.
    """

    at: float
    seconds: float
    calls: collections.Counter[str]


def take_sample(
    routers: list[soakparts.RouterProcess], store: objects.ObjectStore
) -> Sample:
    """Return the total usage until now."""
    processor_seconds = sum(
        passing.read_usage(router.process).seconds for router in routers
    )
    return Sample(
        time.monotonic(), processor_seconds, collections.Counter(store.calls_by_kind)
    )


def start_fleet(
    stack: contextlib.ExitStack, store: objects.ObjectStore, count: int
) -> list[soakparts.RouterProcess]:
    """Start all routers at once; the exit stack stops them."""
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    port_numbers = ports.find_ports(4 * count)
    routers = [
        soakparts.RouterProcess(
            f"edge-{index}",
            store.address,
            port_numbers[4 * index : 4 * index + 4],
            folder,
            data_centre=f"hala-{index % DATA_CENTRES}",
            seeds=[_peer_address(port_numbers, seed) for seed in range(min(3, count))],
        )
        for index in range(count)
    ]
    for router in routers:
        router.start()
        stack.callback(router.kill)
    return routers


def _peer_address(port_numbers: list[int], index: int) -> str:
    """Return the peer address of the router with an index."""
    return f"127.0.0.1:{port_numbers[4 * index + 1]}"


def wait_ready(routers: list[soakparts.RouterProcess]) -> None:
    """Wait until all routers are ready; raises TimeoutError."""
    deadline = time.monotonic() + START_SECONDS_MAX
    while not all(router.is_ready() for router in routers):
        if time.monotonic() > deadline:
            raise TimeoutError("expected all routers to be ready")
        time.sleep(0.2)


def describe(name: str, before: Sample, after: Sample, routers: int) -> str:
    """Return a line that describes the usage between two samples."""
    seconds = after.at - before.at
    calls = after.calls - before.calls
    parts = ", ".join(f"{key} {count}" for key, count in sorted(calls.items()))
    return (
        f"{name}: {seconds:.1f} s, {(after.seconds - before.seconds) / routers:.3f} s "
        f"of a core each ({(after.seconds - before.seconds) / routers / seconds:.2%}), "
        f"{calls.total()} calls to the store ({calls.total() / seconds:.2f} a second: "
        f"{parts})"
    )


def run(arguments: list[str]) -> int:
    """Print startup and idle cost; the arguments are routers and idle seconds."""
    count = int(arguments[0]) if arguments else ROUTERS
    seconds = float(arguments[1]) if len(arguments) > 1 else IDLE_SECONDS
    store = objects.ObjectStore(threads=max(64, 3 * count))
    store.start()
    with contextlib.ExitStack() as stack:
        stack.callback(store.stop)
        store.put("config", "main", sampleconfig.make_configuration())
        server = platformserver.PlatformServer("gate-1")
        server.start()
        stack.callback(server.stop)
        for index in range(SERVERS):
            entry = sampleconfig.make_entry("gate", server.address, slots=64)
            store.put("servers", f"gate-{index}", entry)
        initial = Sample(time.monotonic(), 0.0, collections.Counter())
        routers = start_fleet(stack, store, count)
        wait_ready(routers)
        ready = take_sample(routers, store)
        print(describe("until all are ready", initial, ready, count), flush=True)
        time.sleep(SETTLE_SECONDS)
        settled = take_sample(routers, store)
        print(describe("until settled", ready, settled, count), flush=True)
        time.sleep(seconds)
        idle = take_sample(routers, store)
        print(describe("at rest", settled, idle, count), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
