"""Callers that open a connection for each request and leave it open.

All callers of an account used one router and kept each connection open. The number of
connections rose by some hundreds per second until the process reached its limit of file
descriptors. The account then got a fraction of its share, and nothing for the rest of
the day, while other accounts were served.
"""

from __future__ import annotations

import contextlib
import pathlib
import socket

from tests.gateway import processes, support

DESCRIPTORS_MAX = 300
"""File descriptor limit of the process; an idle router uses 17."""

RESOLVE_PATH = "/v1/resolve?name=desk.example&region=r&zone=hala-a"

CALLERS = 600
"""Connections opened in sequence and left open, twice the descriptor limit."""


def call_and_keep_open(
    stack: contextlib.ExitStack, router: processes.ProcessRouter, number: int
) -> int:
    """Send a request on a new connection and keep it open; returns the status."""
    connection = stack.enter_context(
        contextlib.closing(processes.connect(router.caller_address))
    )
    return support.send_request(connection, "/bookings/1", f"r{number}").status


def test_callers_that_keep_their_connections_are_all_served(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """All callers use one router and a new connection for each request.

    Every request must be answered: the router must close idle connections before it
    runs out of file descriptors.
    """
    cluster.add_server("gate-1")
    store = str(cluster.store.address)
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(
            processes.run_router(tmp_path, store, DESCRIPTORS_MAX)
        )
        statuses = [
            call_and_keep_open(stack, router, number) for number in range(CALLERS)
        ]
    assert statuses == [200] * CALLERS


def test_directory_and_readiness_answer_while_connections_accumulate(
    cluster: support.Cluster, tmp_path: pathlib.Path
) -> None:
    """The process runs out of descriptors, so that its directory cannot accept either.

    Callers then keep their list of addresses and stay with the overloaded router.
    """
    cluster.add_server("gate-1")
    store = str(cluster.store.address)
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(
            processes.run_router(tmp_path, store, DESCRIPTORS_MAX)
        )
        host, _, port = router.caller_address.partition(":")
        for _ in range(CALLERS):
            silent = socket.create_connection((host, int(port)), support.WAIT_SECONDS)
            stack.enter_context(silent)
        assert router.get(router.directory_address, RESOLVE_PATH) == 200
        assert router.get(router.ready_address, "/v1/readyz") == 200
