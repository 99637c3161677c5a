"""The router daemon as a process: start, failed start and stop by signal."""

from __future__ import annotations

import contextlib
import pathlib
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import msgspec
import pytest
import yaml

from bench import processes
from celeryspan import kernel, publishing, rules
from celeryspan.adapters import store as store_adapter
from celeryspan.daemons import gateway, router
from standins import fleet

EXIT_SECONDS = 30


@pytest.fixture
def small() -> Iterator[fleet.Fleet]:
    """Start a store with a configuration; tests start the router as a process."""
    found = fleet.Fleet(
        fleet.FleetOptions(accounts=("tower",), routers=1, engines=1, gates=1)
    )
    found.store.start()
    client = store_adapter.StoreClient(str(found.store.address))
    entries = found.make_configuration().register
    publishing.publish(
        client, publishing.read_stored(client), entries, rules.Rules(), "test"
    )
    yield found
    found.stop()


def write_settings(
    small: fleet.Fleet, folder: pathlib.Path, *, address_seconds: float = 5.0
) -> pathlib.Path:
    values = msgspec.to_builtins(small.routers[0].kernel.settings)
    values |= {"address_seconds": address_seconds, "log_file": str(folder / "log")}
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(values))
    return path


@contextlib.contextmanager
def start_router(path: pathlib.Path) -> Iterator[subprocess.Popen]:
    command = [sys.executable, "-m", "celeryspan.daemons.command", "router"]
    process = subprocess.Popen(
        [*command, f"--settings={path}"], stderr=subprocess.PIPE, text=True
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def test_signal_stops_the_router_gracefully(
    small: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    path = write_settings(small, tmp_path, address_seconds=0.1)
    with start_router(path) as process:
        processes.wait_for(str(small.addresses[0]), "/v1/addresses")
        process.terminate()
        assert process.wait(EXIT_SECONDS) == 0
        assert process.stderr.read() == ""
    assert "service_stopped" in (tmp_path / "log").read_text()


@pytest.mark.parametrize("daemon", [router, gateway])
def test_daemons_start_every_registered_service(daemon) -> None:
    """Guards against a service that is registered but never started.

    Nothing would fail, but the function of the service would be missing. Each daemon
    has its own services; together they must start all that are registered.
    """
    daemon.import_services()
    started = find_started_services(daemon.SERVICES)
    daemon_services = {
        name
        for name, found in kernel.REGISTRY.items()
        if found.factory.__module__.startswith(OWN_PACKAGES[daemon])
    }
    assert started >= daemon_services
    router.import_services()
    gateway.import_services()
    both = find_started_services(router.SERVICES) | find_started_services(
        gateway.SERVICES
    )
    assert both == set(kernel.REGISTRY)


OWN_PACKAGES = {router: "celeryspan.services.", gateway: "celeryspan.gateway."}


def find_started_services(names: tuple[str, ...]) -> set[str]:
    """Return the services that a daemon starts, with their dependencies."""
    started: set[str] = set()
    pending = list(names)
    while pending:
        name = pending.pop()
        started.add(name)
        pending += set(kernel.REGISTRY[name].needs) - started
    return started


SIGNAL_IN_START = """
import os, signal, sys, threading
from celeryspan.daemons import gateway, router

class Drain:
    finished = threading.Event()
    def begin(self):
        print("drain begins")
        self.finished.set()

class Kernel:
    def find(self, name):
        return Drain()

class Router:
    kernel = Kernel()
    def start(self):
        os.kill(os.getpid(), signal.SIGTERM)
        print("started")
    def stop(self):
        print("stopped")

sys.exit(int(router.serve(Router())))
"""


def test_signal_during_start_begins_a_drain() -> None:
    """Guards against a signal that ends the process while services start.

    Unhandled, it would end the process at once with exit code -15 and interrupt the
    requests that were already accepted.
    """
    done = subprocess.run(
        [sys.executable, "-c", SIGNAL_IN_START],
        capture_output=True,
        text=True,
        timeout=EXIT_SECONDS,
        check=False,
    )
    assert done.stdout.split("\n") == ["started", "drain begins", "stopped", ""]
    assert done.returncode == 0


def test_second_signal_aborts_a_graceful_stop(
    small: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """An operator cannot wait until callers no longer use the address.

    The first signal begins a stop of ten minutes; the second must end it at once.
    Otherwise the VM is switched off while the router is still listed as an address.
    """
    path = write_settings(small, tmp_path, address_seconds=600.0)
    with start_router(path) as process:
        processes.wait_for(str(small.addresses[0]), "/v1/addresses")
        process.terminate()
        wait_for_log(tmp_path, "signal_received")
        process.terminate()
        assert process.wait(EXIT_SECONDS) == 0


def wait_for_log(folder: pathlib.Path, text: str) -> None:
    ends = time.monotonic() + EXIT_SECONDS
    path = folder / "log"
    while not path.exists() or text not in path.read_text():
        assert time.monotonic() < ends, f"no {text} in the log"
        time.sleep(0.05)


def test_address_in_use_prints_one_line_and_exits_with_1(
    small: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """Another process listens on the router's address.

    The printed line must name the service and the reason, or an operator sees only that
    the process exited. A service that is left running would keep the process alive.
    """
    path = write_settings(small, tmp_path)
    with socket.create_server(small.addresses[0]), start_router(path) as process:
        assert process.wait(EXIT_SECONDS) == 1
        printed = process.stderr.read()
    assert "service 'caller' did not start" in printed
    assert "Address already in use" in printed
    assert printed.count("\n") == 1
