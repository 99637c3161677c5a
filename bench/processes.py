"""Runs stand-ins and routers as separate processes, for loopback measurements."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import time

import urllib3
import yaml

from celeryspan import publishing, register, rules
from celeryspan.adapters import store as store_adapter
from standins import fleet, ports

READY_SECONDS = 20.0

STOP_SECONDS = 15.0

POLL_SECONDS = 0.05

ADDRESS_SECONDS = 1.0
"""Time that callers may cache router addresses; a short one lets routers stop soon."""


class Processes:
    """Context manager that starts processes and stops all of them on exit."""

    def __init__(self) -> None:
        self._running: list[subprocess.Popen] = []
        self._folder = tempfile.TemporaryDirectory(prefix="celeryspan-bench-")
        self.folder = pathlib.Path(self._folder.name)

    def __enter__(self) -> Processes:
        return self

    def __exit__(self, *_: object) -> None:
        for process in reversed(self._running):
            process.terminate()
        for process in self._running:
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def start_standin(self, kind: str, **flags: object) -> str:
        """Start a stand-in and return its address."""
        port = ports.find_port()
        values = [f"--{name}={value}" for name, value in flags.items()]
        self._start("standins.command", kind, f"--port={port}", *values)
        return f"127.0.0.1:{port}"

    def start_router(self, vm: register.VM, store: str, peers: list[str]) -> None:
        """Start the router of a VM."""
        path = self.folder / f"{vm.name}.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "router": vm.name,
                    "data_centre": vm.data_centre,
                    "caller_address": vm.caller_address,
                    "peer_address": vm.peer_address,
                    "store_address": store,
                    "fleet_keys": [fleet.FLEET_KEY],
                    "operator_key_hashes": [fleet.hash_key(fleet.OPERATOR_KEY)],
                    "peers": peers,
                    "address_seconds": ADDRESS_SECONDS,
                    "log_file": str(self.folder / f"{vm.name}.log"),
                }
            )
        )
        self._start("celeryspan.daemons.command", "router", f"--settings={path}")

    def _start(self, module: str, *arguments: str) -> None:
        self._running.append(
            subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=subprocess.DEVNULL
            )
        )


def publish(store: str, entries: register.Register) -> None:
    """Publish the first configuration generation once the store answers."""
    wait_for(store, "/_calls")
    client = store_adapter.StoreClient(store)
    stored = publishing.read_stored(client)
    publishing.publish(client, stored, entries, rules.Rules(), "bench")


def wait_for(address: str, path: str, headers: dict[str, str] | None = None) -> None:
    """Wait until a process answers a path with status 200.

    Raises
    ------
    TimeoutError
        If it does not answer with 200 within `READY_SECONDS`.
    """
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        try:
            answer = urllib3.request(
                "GET",
                f"http://{address}{path}",
                headers=headers,
                retries=False,
                timeout=1.0,
            )
            if answer.status == 200:
                return
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(POLL_SECONDS)
    raise TimeoutError(
        f"{address}{path} did not answer with status 200 in {READY_SECONDS:g} s"
    )
