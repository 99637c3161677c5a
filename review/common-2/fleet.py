"""Routers as processes, started with the commands and templates of the deploy file."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_SECONDS = 15.0
STOP_SECONDS = 10.0

SMALL_SITE = {
    "bounds": {
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 52,
        "budget_window_s": 10,
    },
    "limits": {
        "max_fds": 4100,
        "memory_mb": 300,
        "cpu_share": 0.537,
        "cpu_speedup": 2,
    },
}
"""What the settings of a machine of the small sites hold, as ``fleetbench wire``
prints them."""

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def find_ports(count: int) -> list[int]:
    """Return free ports of 127.0.0.1."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            found.append(listener.getsockname()[1])
        return found


def render(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md tells."""

    def find(name: str) -> object:
        value: object = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def write_section(match: re.Match) -> str:
        kind, name, body = match.groups()
        value = find(name)
        if kind == "^":
            return "" if value else body
        if not isinstance(value, list):
            return body if value not in (None, False) else ""
        last = len(value) - 1
        return "".join(
            body.replace("{{.}}", str(each)).replace("{{,}}", "," * (place < last))
            for place, each in enumerate(value)
        )

    def write_value(match: re.Match) -> str:
        value = find(match.group(1))
        if match.group(2) or isinstance(value, dict):
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(write_value, _SECTION.sub(write_section, template))


class Router:
    """One router process.

    Attributes
    ----------
    front, ready, directory, control : str
        The addresses at which it listens.
    log : Path
        Its standard output.
    """

    def __init__(
        self, folder: pathlib.Path, name: str, zone: str, ports: list[int], store: str
    ) -> None:
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.name, self.zone = name, zone
        self.front, self.ready, self.directory, self.control = addresses
        self.log = folder / f"{name}.log"
        self._store = store
        self._config = folder / f"{name}.yaml"
        self._folder = folder
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file from the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._run = shlex.split(role["run"])
        fields = {
            **SMALL_SITE,
            "node_name": self.name,
            "zone": self.zone,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
                "directory": self.directory,
            },
            "seeds": seeds,
            "platform": {"address": self._store},
        }
        template = (ROOT / role["template"]).read_text()
        self._config.write_text(render(template, fields))

    def start(self) -> None:
        """Start the process, the first time or again."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CELERYSPAN_CONFIG"] = str(self._config)
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._run, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def is_ready(self) -> bool:
        """Whether it answers the platform's question with 200."""
        host, _, port = self.ready.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, seconds: float = READY_SECONDS) -> bool:
        """Wait until it is ready; returns whether it is."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def read_memory(self) -> float:
        """Return the memory that the process has in use, in megabytes."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0


class Fleet:
    """The routers of a small site.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    zones : list of str
        The zone of each router.
    store : str
        Address of the platform's store.
    """

    def __init__(self, folder: pathlib.Path, zones: list[str], store: str) -> None:
        ports = find_ports(4 * len(zones))
        self.routers = [
            Router(
                folder,
                f"edge-{zone}-{place + 1}",
                zone,
                ports[4 * place : 4 * place + 4],
                store,
            )
            for place, zone in enumerate(zones)
        ]
        seeds = [router.control for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(seeds)

    def start(self) -> bool:
        """Start all routers; returns whether all became ready."""
        for router in self.routers:
            router.start()
        return all(router.wait_ready() for router in self.routers)

    def stop(self) -> None:
        """Kill all routers."""
        for router in self.routers:
            router.kill()
