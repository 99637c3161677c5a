"""Ports that are kept for processes that start later."""

from __future__ import annotations

import socket

from standins import ports


def test_free_port_is_none_that_the_kernel_hands_out() -> None:
    """A router is told its ports before it starts; meanwhile others open sockets.

    The kernel gives one of the ports to a connection, the router can't bind it and
    ends, and a soak waits for a router that never comes.
    """
    found = ports.find_ports(12)
    assert len(set(found)) == 12
    with socket.create_server(("127.0.0.1", 0)) as other:
        given = other.getsockname()[1]
    assert max(found) < min(given, 32_768)
