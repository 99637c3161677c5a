"""The HTTP server's own life cycle."""

from __future__ import annotations

import threading

from celeryspan import ids
from celeryspan.services import httpserver

WAIT_SECONDS = 10.0


def test_server_does_not_wait_for_its_next_check_to_shut_down() -> None:
    """Guards against a stop that outlasts its grace period by one wait a listener."""
    server = httpserver.Server(
        ids.Address("127.0.0.1", 0),
        lambda *_: [],
        threads=4,
        body_bytes_max=1,
        log=lambda _: None,
    )
    server.expiration_interval = 10 * WAIT_SECONDS
    server.open()
    thread = threading.Thread(target=server.shut_down, daemon=True)
    thread.start()
    thread.join(WAIT_SECONDS)
    assert not thread.is_alive()
