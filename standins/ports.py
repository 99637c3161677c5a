"""Free loopback ports for processes that bind them later.

A router gets its ports before it starts. A port from the kernel's ephemeral range can
be assigned to another socket in the meantime; the router then fails to bind it and
exits, and its callers wait until they time out. Each process therefore takes its ports
from a block of its own, below that range, so that concurrent test runs do not find the
same port free.
"""

from __future__ import annotations

import contextlib
import fcntl
import functools
import itertools
import pathlib
import random
import socket
import tempfile
from collections.abc import Iterator

HOST = "127.0.0.1"

PORTS = range(20_000, 32_000)
"""Below the default ephemeral port range of Linux, which begins at 32,768."""


BLOCK_PORTS = 400
"""Ports of one process, several times as many as a test run uses at once."""

_locks = []
"""Open files whose locks reserve the block of this process until it ends."""


def find_ports(count: int) -> list[int]:
    """Return distinct TCP ports that are free at the moment."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = next(_reserve_ports())
            with contextlib.suppress(OSError):
                stack.enter_context(socket.create_server((HOST, port)))
                found.append(port)
    return found


def find_port() -> int:
    """Return one TCP port that is free at the moment."""
    return find_ports(1)[0]


@functools.cache
def _reserve_ports() -> Iterator[int]:
    """Return the ports that no other process uses, in turn; all if none are left.

    In turn, because a port that was found earlier may not be bound yet.
    """
    folder = pathlib.Path(tempfile.gettempdir())
    starts = list(PORTS[::BLOCK_PORTS])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        file = (folder / f"celeryspan-ports-{start}.lock").open("a")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            continue
        _locks.append(file)
        return itertools.cycle(range(start, start + BLOCK_PORTS))
    return itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))
