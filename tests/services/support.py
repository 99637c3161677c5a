"""Starts a kernel with selected services, for tests of single services."""

from __future__ import annotations

import time
from collections.abc import Callable

from celeryspan import ids, kernel, settings
from celeryspan.daemons import router as daemon
from standins import ports


def make_settings(router: str, **fields: object) -> settings.Settings:
    """Return settings of a router that listens on free ports."""
    values = {
        "router": router,
        "data_centre": "hala-a",
        "caller_address": f"127.0.0.1:{ports.find_port()}",
        "peer_address": f"127.0.0.1:{ports.find_port()}",
        "store_address": "127.0.0.1:1",
        "fleet_keys": ("secret",),
    }
    return settings.Settings(**{**values, **fields})


def start_kernel(names: list[str], router: str, **fields: object) -> kernel.Kernel:
    """Start services, and those they need, in a new kernel."""
    daemon.import_services()
    container = kernel.Kernel(make_settings(router, **fields))
    container.start(names)
    return container


def peer_address(container: kernel.Kernel) -> ids.Address:
    """Return the peer address of the router of a kernel."""
    return ids.Address.parse(container.settings.peer_address)


def wait_until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds; fail after the given time."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, (
            f"the condition did not hold within {seconds} s"
        )
        time.sleep(0.005)
