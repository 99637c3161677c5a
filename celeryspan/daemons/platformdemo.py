"""The command ``demo-platform``: runs the platform's routers with stand-in servers."""

from __future__ import annotations

import collections
import concurrent.futures
import contextlib
import time

import rich.console
import rich.table
import urllib3
from absl import flags

from celeryspan import ids, kernel
from celeryspan.daemons import gateway, registry
from celeryspan.gateway import settings
from standins import objects, platformserver, ports, sampleconfig

ROUTERS = 3
SERVERS = {"gate": 2, "planner": 2}
REQUESTS = 200
CALLERS = 8
CALL_SECONDS = 5.0
PATHS = (
    sampleconfig.CALLS,
    sampleconfig.BOOKINGS,
    sampleconfig.DRAFTS,
    sampleconfig.NOTES,
)


class PlatformDemo:
    """Runs a store, backend servers and routers, and sends requests to them.

    Parameters
    ----------
    stack : ExitStack
        Stops the started components when it closes.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.store = objects.ObjectStore()
        self.store.start()
        stack.callback(self.store.stop)
        self.store.put("config", "main", sampleconfig.make_configuration())
        self.servers = [
            self._start_server(stack, f"{service}-{number}", service)
            for service, count in SERVERS.items()
            for number in range(count)
        ]
        gateway.import_services()
        self.containers = [
            self._start_router(stack, f"edge-{number}") for number in range(ROUTERS)
        ]
        self._pool = urllib3.PoolManager(
            maxsize=CALLERS, retries=False, timeout=CALL_SECONDS
        )
        stack.callback(self._pool.clear)

    def wait(self) -> None:
        """Wait until each router is ready and has found all routers and servers."""
        sampleconfig.wait_for(
            lambda: all(
                len(container.find("membership").alive()) == ROUTERS
                and len(container.find("servers").usable()) == len(self.servers)
                and container.find("directory").is_ready()
                for container in self.containers
            )
        )

    def ask(self, number: int) -> tuple[str, int]:
        """Send a request to one of the routers and return its path and status."""
        container = self.containers[number % ROUTERS]
        path = PATHS[number % len(PATHS)]
        answer = self._pool.request(
            "GET" if path == sampleconfig.CALLS else "POST",
            f"http://{container.settings.caller_address}{path}{number}",
            headers={
                "Host": sampleconfig.HOST,
                "Celeryspan-Request-Id": f"demo-{number}",
                "Celeryspan-Deadline-Ms": "3000",
                "Celeryspan-Credential": sampleconfig.KEY,
            },
        )
        return path, answer.status

    def _start_server(
        self, stack: contextlib.ExitStack, name: str, service: str
    ) -> platformserver.PlatformServer:
        server = platformserver.PlatformServer(name, streams=service == "planner")
        server.start()
        stack.callback(server.stop)
        self.store.put(
            "servers", name, sampleconfig.make_entry(service, server.address)
        )
        return server

    def _start_router(self, stack: contextlib.ExitStack, name: str) -> kernel.Kernel:
        found = ports.find_ports(4)
        front, peer, ready, directory = (
            str(ids.Address("127.0.0.1", port)) for port in found
        )
        container = kernel.Kernel(
            settings.Settings(
                router=name,
                data_centre="hala-a",
                caller_address=front,
                peer_address=peer,
                ready_address=ready,
                directory_address=directory,
                store_address=str(self.store.address),
                fleet_keys=("demo",),
            )
        )
        container.start(gateway.SERVICES)
        stack.callback(container.stop)
        return container


@registry.command("demo-platform")
def run(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Run three routers of the users' platform with stand-in servers.

    A store, four backend servers and three routers run in this process, and two hundred
    requests of four kinds are sent. The last line summarises their answers.
    """
    started_at = time.monotonic()
    with contextlib.ExitStack() as stack:
        demo = PlatformDemo(stack)
        demo.wait()
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            responses = list(pool.map(demo.ask, range(REQUESTS)))
        run_counts = collections.Counter(name for s in demo.servers for name in s.ran)
    print_table(responses)
    answered = sum(status == 200 for _, status in responses)
    served_twice = sum(count > 1 for count in run_counts.values())
    seconds = time.monotonic() - started_at
    print(
        f"asked {len(responses)}, answered {answered}, ran_twice {served_twice},"
        f" {seconds:.1f} s",
        flush=True,
    )
    succeeded = answered == len(responses) and not served_twice
    return registry.Exit.DONE if succeeded else registry.Exit.FAILED


def print_table(responses: list[tuple[str, int]]) -> None:
    """Print the number of requests by path and status."""
    counts = collections.Counter(responses)
    table = rich.table.Table("path", "status", "requests")
    for (path, status), count in sorted(counts.items()):
        table.add_row(path, str(status), str(count))
    rich.console.Console().print(table)
