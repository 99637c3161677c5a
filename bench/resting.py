"""What a fleet without callers costs: the start of each router, then its rest.

The routers are processes of their own in several data centres, with one store. Printed
are processor time and calls to the store, of the start and of each second at rest.
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
"""Long after all have met: what is measured next is rest."""

REST_SECONDS = 20.0

START_SECONDS_MAX = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What all routers together had used at one moment.

    Attributes
    ----------
    at : float
        Moment, in seconds.
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
    """Return what has been used up to now."""
    used = sum(passing.read_usage(router.process).seconds for router in routers)
    return Sample(time.monotonic(), used, collections.Counter(store.calls_by_kind))


def start_fleet(
    stack: contextlib.ExitStack, store: objects.ObjectStore, count: int
) -> list[soakparts.RouterProcess]:
    """Start all routers at once; they end with the stack."""
    folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
    found = ports.find_ports(4 * count)
    routers = [
        soakparts.RouterProcess(
            f"edge-{index}",
            store.address,
            found[4 * index : 4 * index + 4],
            folder,
            data_centre=f"hala-{index % DATA_CENTRES}",
            seeds=[_peer_address(found, seed) for seed in range(min(3, count))],
        )
        for index in range(count)
    ]
    for router in routers:
        router.start()
        stack.callback(router.kill)
    return routers


def _peer_address(found: list[int], index: int) -> str:
    """Return the address for peers of the router with an index."""
    return f"127.0.0.1:{found[4 * index + 1]}"


def wait_ready(routers: list[soakparts.RouterProcess]) -> None:
    """Wait until all routers are ready; raises TimeoutError."""
    until = time.monotonic() + START_SECONDS_MAX
    while not all(router.is_ready() for router in routers):
        if time.monotonic() > until:
            raise TimeoutError("expected all routers to be ready")
        time.sleep(0.2)


def describe(name: str, before: Sample, after: Sample, routers: int) -> str:
    """Return a line on what was used between two samples."""
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
    """Print what start and rest cost; the arguments are routers and seconds."""
    count = int(arguments[0]) if arguments else ROUTERS
    seconds = float(arguments[1]) if len(arguments) > 1 else REST_SECONDS
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
        empty = Sample(time.monotonic(), 0.0, collections.Counter())
        routers = start_fleet(stack, store, count)
        wait_ready(routers)
        ready = take_sample(routers, store)
        print(describe("until all are ready", empty, ready, count), flush=True)
        time.sleep(SETTLE_SECONDS)
        settled = take_sample(routers, store)
        print(describe("until settled", ready, settled, count), flush=True)
        time.sleep(seconds)
        rested = take_sample(routers, store)
        print(describe("at rest", settled, rested, count), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
