"""Ports of loopback for processes that bind them later.

Failure answered: a router is told its ports before it starts. If they are of those that
the kernel hands out by itself, a connection or a stand-in may be given one meanwhile;
the router can't bind it and ends, and whoever waits for it waits in vain. Of twelve
ports found that way one was taken by 43 sockets opened later in 3 of 300 rounds.
"""

from __future__ import annotations

import contextlib
import random
import socket

HOST = "127.0.0.1"

PORTS = range(20_000, 32_000)
"""Below those that Linux gives to sockets by itself (32,768 and up)."""


def find_ports(count: int) -> list[int]:
    """Return ports that are free now, for TCP, each another one."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            # Other processes look for ports too: a seed would let them collide.
            port = random.SystemRandom().choice(PORTS)
            with contextlib.suppress(OSError):
                stack.enter_context(socket.create_server((HOST, port)))
                found.append(port)
    return found


def find_port() -> int:
    """Return one such port."""
    return find_ports(1)[0]
