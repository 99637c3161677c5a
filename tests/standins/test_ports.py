"""Ports of stand-ins and routers in tests."""

from __future__ import annotations

import subprocess
import sys

from standins import ports

COMMAND = "from standins import ports; print(*ports.find_ports(20))"


def test_processes_do_not_find_the_same_ports_free() -> None:
    """Guards against routers of concurrent test runs that can't bind their ports."""
    blocks = {port // ports.BLOCK_PORTS for port in ports.find_ports(20)}
    found = subprocess.run(
        [sys.executable, "-c", COMMAND], capture_output=True, check=True, text=True
    )
    others = {int(port) // ports.BLOCK_PORTS for port in found.stdout.split()}
    assert len(blocks) == len(others) == 1
    assert blocks.isdisjoint(others)


def test_port_that_may_not_be_bound_yet_is_not_found_again() -> None:
    """Guards against two services of one process that get the same port."""
    found = [ports.find_port() for _ in range(ports.BLOCK_PORTS // 2)]
    assert len(set(found)) == len(found)
