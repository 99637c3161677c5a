"""Callers that open a connection for each request and leave it open.

What users saw: while others were served, an account got a fraction of its share, then
nothing to the end of the day. Its callers all used one router. They opened a connection
for each request and kept it; connections rose by some hundreds a second and never fell,
until the process had as many descriptors as it may have.
"""

from __future__ import annotations

import contextlib
import pathlib
import socket

from tests.gateway import processes, support

DESCRIPTORS = 300
"""What the process may have; a router at rest uses 17."""

RESOLVE = "/v1/resolve?name=desk.example&region=r&zone=hala-a"

CALLERS = 600
"""Connections left open one after the other, twice what the process may have."""


def leave_open(
    stack: contextlib.ExitStack, router: processes.ProcessRouter, number: int
) -> int:
    """Send one request on a connection that stays open; returns the status."""
    connection = stack.enter_context(
        contextlib.closing(processes.connect(router.caller_address))
    )
    return support.send_request(connection, "/bookings/1", f"r{number}").status


def test_callers_that_keep_their_connections_are_all_served(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """The account's callers use one router, each request on a connection of its own.

    Every one of them is to be answered: the router must give up connections that wait
    for nothing before it has no descriptor left.
    """
    cluster.add_server("gate-1")
    store = str(cluster.store.address)
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(processes.run_router(tmp_path, store, DESCRIPTORS))
        statuses = [leave_open(stack, router, number) for number in range(CALLERS)]
    assert statuses == [200] * CALLERS


def test_directory_and_readiness_answer_while_connections_pile_up(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """The directory beside the front could not accept either.

    Callers then keep the addresses that they have, and stay with the drowned router.
    """
    cluster.add_server("gate-1")
    store = str(cluster.store.address)
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(processes.run_router(tmp_path, store, DESCRIPTORS))
        host, _, port = router.caller_address.partition(":")
        for _ in range(CALLERS):
            silent = socket.create_connection((host, int(port)), support.WAIT_SECONDS)
            stack.enter_context(silent)
        assert router.get(router.directory_address, RESOLVE) == 200
        assert router.get(router.ready_address, "/v1/readyz") == 200
