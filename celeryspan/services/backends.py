"""Connections to backend servers: opened apart from sending, reused with care."""

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

# A TCP connection inside a data centre takes a few milliseconds; one lost packet
# costs one second more. Two seconds allow for one loss.
CONNECT_SECONDS = 2.0

# Time without a byte after which a connection counts as silent, in seconds. Engines
# emit a token every few ten milliseconds and answer their first within a few seconds.
PROGRESS_SECONDS = 5.0

# Idle connections kept for each server, and for how long. Servers commonly close
# idle connections after 5 s or more; staying below avoids most lost races.
IDLE_MAX = 16
IDLE_SECONDS = 4.0

# Keep-alive probes of TCP find a connection that a device between the ends has
# forgotten while a slow call is waited for: 5 s idle, then 3 probes 2 s apart.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 11_000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

# What can go wrong on a link once it is open.
LINK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
    ValueError,
)
TIMEOUT_ERRORS = (TimeoutError, urllib3_exceptions.TimeoutError)


@kernel.register("backends", needs=("configuration",))
class Backends:
    """Opens links to backend servers and keeps some of them open."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._configuration = box.find("configuration")
        self._lock = threading.Lock()
        self._idle: dict[
            ids.ServerId, collections.deque[tuple[float, backend.Connection]]
        ] = {}
        self._opened = 0
        self._reused = 0

    def start(self) -> None:
        """Do nothing: links are opened when they are needed."""

    def stop(self) -> None:
        """Close the idle links."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for links in idle.values():
            for _, link in links:
                link.close()

    def report(self) -> dict[str, object]:
        """Return counts for the operator."""
        with self._lock:
            idle = {server: len(links) for server, links in self._idle.items()}
        return {"opened": self._opened, "reused": self._reused, "idle": idle}

    def connect(self, server: ids.ServerId, *, fresh: bool) -> backend.Connection:
        """Return an open link; no byte of a request has been sent on it.

        Parameters
        ----------
        fresh : bool
            Open a new connection. A kept one may be closed by the server at the
            moment when it is used, and then nobody knows whether the request was
            read; a request that may not be repeated does not take that chance.

        Raises
        ------
        NotRun
            If the server is not in the register or does not accept.
        """
        link = None if fresh else self._take_idle(server)
        if link is None:
            link = self._open(server)
            self._opened += 1
        else:
            self._reused += 1
        return link

    def keep(self, link: backend.Connection) -> None:
        """Keep a link whose last answer has been read to its end."""
        if not link.is_connected:
            link.close()
            return
        with self._lock:
            links = self._idle.setdefault(link.server, collections.deque())
            links.append((time.monotonic(), link))
            surplus = links.popleft()[1] if len(links) > IDLE_MAX else None
        if surplus is not None:
            surplus.close()

    def _take_idle(self, server: ids.ServerId) -> backend.Connection | None:
        while True:
            with self._lock:
                links = self._idle.get(server)
                if not links:
                    return None
                since, link = links.pop()
            if time.monotonic() - since < IDLE_SECONDS and link.is_connected:
                return link
            link.close()

    def _open(self, server: ids.ServerId) -> backend.Connection:
        host, port = self._find_address(server)
        link = backend.Connection(
            host,
            port,
            timeout=CONNECT_SECONDS,
            socket_options=list(KEEPALIVE_OPTIONS),
        )
        link.server = server
        try:
            link.connect()
        except LINK_ERRORS as error:
            raise errors.NotRun(
                f"no connection: {error}",
                code="server-unreachable",
                status=503,
                step="connect",
                peer=server,
            ) from error
        set_timeout(link, PROGRESS_SECONDS)
        return link

    def _find_address(self, server: ids.ServerId) -> ids.Address:
        current: configuration.Configuration | None = self._configuration.current()
        entry = current.servers.get(server) if current else None
        if entry is None:
            raise errors.NotRun(
                "not in the register",
                code="server-unknown",
                status=503,
                step="connect",
                peer=server,
            )
        return ids.Address.parse(entry.address)


def set_timeout(link: backend.Connection, seconds: float) -> None:
    """Set how long a link may be silent."""
    link.timeout = seconds
    if link.sock is not None:
        link.sock.settimeout(seconds)


def abort(link: backend.Connection) -> None:
    """Wake the thread that reads from a link; it meets an end of file."""
    sock = link.sock
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # The connection has ended already.
