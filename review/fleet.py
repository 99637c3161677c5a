"""Starts routers as separate processes, with the deploy file's command and template."""

from __future__ import annotations

import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]

READY_SECONDS = 30.0

STABLE_SECONDS = 3.0
"""After this time without trouble, a machine is in touch (`stable_window_ms`)."""

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)\}\}")

BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 52,
}
"""The bounds of the small sites that the template names."""

LIMITS = {"cpu_share": 0.537, "cpu_speedup": 2, "memory_mb": 300, "max_fds": 4100}
"""The machines of the small sites."""


def find_ports(count: int) -> list[int]:
    """Return free ports on loopback."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in listeners]
    for each in listeners:
        each.close()
    return ports


def render(template: str, fields: dict) -> str:
    """Fill in a template as the platform does, as far as this one needs it."""

    def find(name: str) -> object:
        found: object = fields
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def fill_section(match: re.Match[str]) -> str:
        sign, name, text = match.groups()
        found = find(name)
        if sign == "^":
            return "" if found else text
        if not isinstance(found, list):
            return text if found else ""
        filled = [
            text.replace("{{.}}", str(each)).replace(
                "{{,}}", "" if place == len(found) - 1 else ","
            )
            for place, each in enumerate(found)
        ]
        return "".join(filled)

    def fill_value(match: re.Match[str]) -> str:
        found = find(match.group(1))
        return "" if found is None else str(found)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, template))


class Router:
    """One router as a separate process.

    Attributes
    ----------
    front : tuple of str and int
        The address at which clients are served.
    """

    def __init__(
        self, name: str, zone: str, folder: pathlib.Path, command: list[str]
    ) -> None:
        self.name = name
        self.zone = zone
        ports = find_ports(4)
        self.front = ("127.0.0.1", ports[0])
        self.control = f"127.0.0.1:{ports[2]}"
        self._listen = {
            "front": f"127.0.0.1:{ports[0]}",
            "ready": f"127.0.0.1:{ports[1]}",
            "control": self.control,
            "directory": f"127.0.0.1:{ports[3]}",
        }
        self._command = command
        self._settings = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self._process: subprocess.Popen | None = None

    def write_settings(self, template: str, store: str, seeds: list[str]) -> None:
        """Write the settings file from the deploy file's template."""
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "listen": self._listen,
            "seeds": seeds,
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": store},
        }
        self._settings.write_text(render(template, fields))

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["CELERYSPAN_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Return whether the router answers that it is ready."""
        try:
            address = f"http://{self._listen['ready']}/v1/readyz"
            with urllib.request.urlopen(address, timeout=1.0) as answer:
                return answer.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self._process is not None:
            if self.is_running():
                self._process.kill()
            self._process.wait()


class Fleet:
    """The routers of one case, with their settings and logs in a temporary folder."""

    def __init__(self, store: str, zones: list[str]) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self._folder.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        template = (ROOT / role["template"]).read_text()
        command = shlex.split(role["run"])
        self.routers = [
            Router(f"edge-{zone}-{number}", zone, folder, command)
            for number, zone in enumerate(zones, 1)
        ]
        seeds = [router.control for router in self.routers[:3]]
        for router in self.routers:
            router.write_settings(template, store, seeds)

    def start(self) -> None:
        """Start all routers and wait until they are ready.

        Raises
        ------
        TimeoutError
            If one of them is not ready in time.
        """
        for router in self.routers:
            router.start()
        until = time.monotonic() + READY_SECONDS
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() > until:
                raise TimeoutError("a router is not ready")
            time.sleep(0.1)

    def find_lines(self, *events: str) -> list[dict]:
        """Return the lines of all logs that name one of some events."""
        found = []
        for router in self.routers:
            for line in router.log.read_text(errors="replace").splitlines():
                if any(event in line for event in events):
                    try:
                        found.append({"router": router.name, **json.loads(line)})
                    except ValueError:
                        continue
        return found

    def end(self) -> None:
        """Kill the routers that still run and remove the folder."""
        for router in self.routers:
            router.end()
        self._folder.cleanup()
