"""Runs a router of the platform as a separate process with limited resources."""

from __future__ import annotations

import contextlib
import http.client
import pathlib
import re
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import yaml

from standins import ports
from tests.gateway import support

POLL_SECONDS = 0.05
ORIGINS = re.compile(r"^celeryspan_stream_origins (\S+)$", re.MULTILINE)


class ProcessRouter:
    """A router that runs as a separate process.

    Attributes
    ----------
    caller_address, peer_address, ready_address, directory_address : str
    addresses : list of str
        All of these.
    log : Path
        File with the standard output of the process.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store: str,
        descriptors: int,
        threads: int,
        name: str,
        **values: object,
    ) -> None:
        self.addresses = [f"127.0.0.1:{port}" for port in ports.find_ports(4)]
        self.caller_address, self.peer_address = self.addresses[:2]
        self.ready_address, self.directory_address = self.addresses[2:]
        path = folder / f"{name}.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "router": name,
                    "data_centre": "hala-a",
                    "caller_address": self.caller_address,
                    "peer_address": self.peer_address,
                    "ready_address": self.ready_address,
                    "directory_address": self.directory_address,
                    "store_address": store,
                    "fleet_keys": ["test"],
                    "grace_seconds": 2.0,
                    "caller_threads": threads,
                    **values,
                }
            )
        )
        self.log = folder / f"{name}.log"
        self._path = path
        self._descriptors = descriptors
        self.start()

    def start(self) -> None:
        """Start the process, also again after it was stopped."""
        limits = (self._descriptors, self._descriptors)
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "celeryspan.daemons.launch",
                f"--settings={self._path}",
            ],
            stdout=self.log.open("a"),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
        )

    @property
    def process_id(self) -> int:
        """Id of the process."""
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def connect(self) -> http.client.HTTPConnection:
        """Return a connection to the address for callers."""
        return connect(self.caller_address)

    def get(self, address: str, path: str) -> int:
        """Send a GET request to one of the router's addresses; returns the status.

        Raises
        ------
        OSError
            If there is no answer within :data:`support.WAIT_SECONDS`.
        """
        connection = connect(address)
        with contextlib.closing(connection):
            connection.request("GET", path)
            return connection.getresponse().status

    def count_origins(self) -> int:
        """Return how many origins of streams the router holds."""
        connection = connect(self.ready_address)
        with contextlib.closing(connection):
            connection.request("GET", "/v1/metrics")
            text = connection.getresponse().read().decode()
        found = ORIGINS.search(text)
        return int(float(found.group(1))) if found else 0

    def wait_ready(self) -> None:
        """Wait until the router is ready and accepts callers.

        Raises
        ------
        AssertionError
            If it is not ready within twice :data:`support.WAIT_SECONDS`.
        """
        until = time.monotonic() + 2 * support.WAIT_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                self.get(self.caller_address, "/")
                if self.get(self.ready_address, "/v1/readyz") == 200:
                    return
            time.sleep(POLL_SECONDS)
        raise AssertionError(f"router is not ready: {self.log.read_text()[-2000:]}")

    def pause(self) -> None:
        """Let the process stand still."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process run again."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Begin a planned stop of the process."""
        self._process.terminate()

    def stop(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()


def connect(address: str) -> http.client.HTTPConnection:
    """Return a connection that opens on its first request."""
    host, _, port = address.partition(":")
    return http.client.HTTPConnection(host, int(port), timeout=support.WAIT_SECONDS)


@contextlib.contextmanager
def run_router(
    folder: pathlib.Path,
    store: str,
    descriptors: int = 1024,
    threads: int = 256,
    name: str = "edge-1",
    **values: object,
) -> Iterator[ProcessRouter]:
    """Start a router with further settings, yield it once it is ready, and stop it."""
    router = ProcessRouter(folder, store, descriptors, threads, name, **values)
    try:
        router.wait_ready()
        yield router
    finally:
        router.stop()
