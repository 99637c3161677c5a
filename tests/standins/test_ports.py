"""Tests of the search for free ports."""

from __future__ import annotations

import socket

from standins import ports


def test_free_ports_are_below_the_ephemeral_range() -> None:
    """Guards against a router that can't bind the port it was given.

    A port from the ephemeral range can be assigned to another socket before the router
    starts; the router then exits, and a soak test waits for it until it times out.
    """
    free = ports.find_ports(12)
    assert len(set(free)) == 12
    with socket.create_server(("127.0.0.1", 0)) as other:
        ephemeral = other.getsockname()[1]
    assert max(free) < min(ephemeral, 32_768)
