"""Connections to backend servers, opened separately from sending and pooled."""

from __future__ import annotations

import collections
import http.client
import socket
import threading
import time
from typing import TYPE_CHECKING

from urllib3 import exceptions as urllib3_exceptions

from celeryspan import errors, ids, kernel
from celeryspan.adapters import backend

if TYPE_CHECKING:
    from celeryspan import configuration

# A TCP connection inside a data centre takes a few milliseconds, and one second more
# after a lost packet. Two seconds allow for one lost packet.
CONNECT_TIMEOUT_SECONDS = 2.0

# Maximum time between two bytes of an answer. Engines emit a token every few tens of
# milliseconds, and the first one within a few seconds.
READ_TIMEOUT_SECONDS = 5.0

# Shortest time for an answer of which a part may have arrived.
DEADLINE_SECONDS_MIN = 0.1

# Idle connections kept for each server, and for how long. Servers commonly close idle
# connections after 5 s or more. With a shorter time, few requests are sent on a
# connection that the server is closing.
MAX_IDLE_CONNECTIONS = 16
MAX_IDLE_SECONDS = 4.0

# TCP keep-alive detects connections that a device on the path has dropped during a slow
# call: 5 s idle, then 3 probes 2 s apart.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 11_000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

# Errors of an open link.
LINK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
    ValueError,
)
TIMEOUT_ERRORS = (TimeoutError, urllib3_exceptions.TimeoutError)


@kernel.register("backends", needs=("configuration",))
class BackendConnections:
    """Opens links to backend servers and keeps idle ones for reuse."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._configuration = container.find("configuration")
        self._limits = container.settings.make_response_limits()
        self._lock = threading.Lock()
        self._idle: dict[
            ids.ServerId, collections.deque[tuple[float, backend.Connection]]
        ] = {}
        self._opened = 0
        self._reused = 0

    def start(self) -> None:
        """Do nothing: links are opened on demand."""

    def stop(self) -> None:
        """Close the idle links."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for links in idle.values():
            for _, link in links:
                link.close()

    def report(self) -> dict[str, object]:
        """Return counts of opened, reused and idle links, for the operator."""
        with self._lock:
            idle = {server: len(links) for server, links in self._idle.items()}
        return {"opened": self._opened, "reused": self._reused, "idle": idle}

    def connect(self, server: ids.ServerId, *, fresh: bool) -> backend.Connection:
        """Return an open link on which nothing of the request has been sent.

        Parameters
        ----------
        fresh : bool
            Open a new connection. The server may close an idle one just as the
            request is sent, and then it is unknown whether the request was read.
            Requests that must not be repeated therefore need a new connection.

        Raises
        ------
        NotRun
            If the server is not in the register or the connection fails.
        """
        link = None if fresh else self._take_idle(server)
        if link is None:
            link = self._open(server)
            self._opened += 1
        else:
            self._reused += 1
        return link

    def release(self, link: backend.Connection) -> None:
        """Keep a link for reuse; its last answer must have been read completely."""
        if not link.is_connected:
            link.close()
            return
        with self._lock:
            links = self._idle.setdefault(link.server, collections.deque())
            links.append((time.monotonic(), link))
            surplus = links.popleft()[1] if len(links) > MAX_IDLE_CONNECTIONS else None
        if surplus is not None:
            surplus.close()

    def _take_idle(self, server: ids.ServerId) -> backend.Connection | None:
        while True:
            with self._lock:
                links = self._idle.get(server)
                if not links:
                    return None
                since, link = links.pop()
            if time.monotonic() - since < MAX_IDLE_SECONDS and link.is_connected:
                link.clear_deadline()
                return link
            link.close()

    def _open(self, server: ids.ServerId) -> backend.Connection:
        host, port = self._find_address(server)
        link = backend.Connection(
            host,
            port,
            timeout=CONNECT_TIMEOUT_SECONDS,
            socket_options=list(KEEPALIVE_OPTIONS),
        )
        link.server = server
        link.limits = self._limits
        try:
            link.connect()
        except LINK_ERRORS as error:
            raise errors.NotRun(
                f"connection failed: {error}",
                code="server-unreachable",
                status=503,
                step="connect",
                peer=server,
            ) from error
        set_timeout(link, READ_TIMEOUT_SECONDS)
        return link

    def _find_address(self, server: ids.ServerId) -> ids.Address:
        current: configuration.Configuration | None = self._configuration.current()
        entry = current.servers.get(server) if current else None
        if entry is None:
            raise errors.NotRun(
                f"server {server!r} is not in the register",
                code="server-unknown",
                status=503,
                step="connect",
                peer=server,
            )
        return ids.Address.parse(entry.address)


def set_deadline(link: backend.Connection, until: float, pause_max: float) -> None:
    """Set the time at which an answer must be whole, and its longest pause.

    Parameters
    ----------
    until : float
        Monotonic time, in seconds; one that has passed leaves a moment for an answer.
    pause_max : float
        Longest time without data, in seconds.
    """
    left = max(until - time.monotonic(), DEADLINE_SECONDS_MIN)
    set_timeout(link, min(pause_max, left))
    link.set_deadline(time.monotonic() + left, pause_max)


def set_timeout(link: backend.Connection, seconds: float) -> None:
    """Set the read timeout of a link."""
    link.timeout = seconds
    if link.sock is not None:
        link.sock.settimeout(seconds)
