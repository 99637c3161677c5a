"""A small kernel for tests of single services."""

from __future__ import annotations

import time
from collections.abc import Callable

from celeryspan import ids, kernel, settings
from celeryspan.daemons import router as daemon
from standins import ports


def make_settings(router: str, **fields: object) -> settings.Settings:
    """Return settings of a router on free ports."""
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
    """Start services under a kernel of their own."""
    daemon.import_services()
    box = kernel.Kernel(make_settings(router, **fields))
    box.start(names)
    return box


def peer_address(box: kernel.Kernel) -> ids.Address:
    """Return where the router of a kernel listens for peers."""
    return ids.Address.parse(box.settings.peer_address)


def wait_until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds; fail if it never does."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.005)
