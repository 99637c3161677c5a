"""Receives requests that do not arrive in one piece, on one thread for all of them.

A request gets a thread of its own once it is whole. Otherwise callers that send single
bytes, or stop in the middle of a request, would occupy the threads that others need. So
would those that go on sending after they have been refused: what they send is discarded
here for a moment before their connections are closed.
"""

from __future__ import annotations

import os
import select
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import events

if TYPE_CHECKING:
    from celeryspan.services import httpserver, requestconnection

CHECK_SECONDS = 0.25
"""Interval at which time limits are checked."""

YOUNG_SECONDS = 1.0
"""A request that began to arrive within this time is not given up for others."""


class RequestCollector:
    """Connections on which a part of a request has arrived, or that are about to close.

    Any thread may give a connection up, but not the one that is being read: its
    descriptor could by then belong to another caller.

    Parameters
    ----------
    server : Server
        Dispatches the requests that are whole and answers those that come too late.
    """

    def __init__(self, server: httpserver.Server) -> None:
        self._server = server
        self._connections: dict[int, requestconnection.Connection] = {}
        self._lock = threading.Lock()
        self._read_now: requestconnection.Connection | None = None
        self._poll = select.epoll()
        self._wake = os.eventfd(0)
        self._poll.register(self._wake, select.EPOLLIN)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="collect", daemon=True)

    def __len__(self) -> int:
        return len(self._connections)

    def count_requests(self) -> int:
        """Return the number of requests that have arrived in part."""
        with self._lock:
            return sum(not each.lingers_until for each in self._connections.values())

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close all connections."""
        self._stopped.set()
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join()
        with self._lock:
            left = list(self._connections.values())
            self._connections.clear()
        for connection in left:
            connection.close()
        self._poll.close()
        os.close(self._wake)

    def add(self, connection: requestconnection.Connection) -> None:
        """Receive the rest of a request, then dispatch it.

        Raises
        ------
        ValueError, OSError
            If the collector was stopped, or the connection closed.
        """
        descriptor = connection.socket.fileno()
        with self._lock:
            if self._stopped.is_set():
                raise ValueError("the collector has been stopped")
            self._poll.register(descriptor, select.EPOLLIN)
            self._connections[descriptor] = connection
            if len(self._connections) == 1:  # The thread waits without a time limit.
                os.eventfd_write(self._wake, 1)

    def give_up_slowest(
        self, newcomer: requestconnection.Connection | None = None
    ) -> bool:
        """Refuse the request that arrives at the lowest rate, to make room for another.

        Parameters
        ----------
        newcomer : Connection, optional
            The connection that needs room.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = time.monotonic()
        with self._lock:
            candidates = [
                connection
                for connection in self._connections.values()
                if connection is not newcomer
                and connection is not self._read_now
                and now - connection.request_began_at > YOUNG_SECONDS
            ]
            if not candidates:
                return False
            slowest = min(candidates, key=lambda each: each.measure_rate(now))
            self._remove(slowest)
        self._server.refuse_incomplete(slowest)
        return True

    def _run(self) -> None:
        checked_at = time.monotonic()
        while not self._stopped.is_set():
            timeout = CHECK_SECONDS if self._connections else None
            for descriptor, _ in self._poll.poll(timeout):
                if descriptor == self._wake:
                    os.eventfd_read(self._wake)
                    continue
                with self._lock:
                    self._read_now = self._connections.get(descriptor)
                if self._read_now is not None:
                    self._receive_safely(self._read_now)
            now = time.monotonic()
            if now - checked_at >= CHECK_SECONDS:
                self._expire(now)
                checked_at = now

    def _receive_safely(self, connection: requestconnection.Connection) -> None:
        """Receive what has arrived; an error ends this request and no other."""
        try:
            is_done = connection.receive()
        except OSError:
            is_done = None  # The caller has reset the connection.
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task="collect", error=repr(error))
            is_done = None
        with self._lock:
            self._read_now = None
            if is_done is False:
                return
            self._remove(connection)
        if is_done:
            self._server.dispatch_connection(connection)
        else:
            connection.close()

    def _expire(self, now: float) -> None:
        """Refuse requests that take longer to arrive than they may."""
        with self._lock:
            late = [
                connection
                for connection in self._connections.values()
                if connection.is_late(now)
            ]
            for connection in late:
                self._remove(connection)
        for connection in late:
            self._server.refuse_incomplete(connection)

    def _remove(self, connection: requestconnection.Connection) -> None:
        """Stop receiving on a connection; the lock must be held."""
        descriptor = connection.socket.fileno()
        del self._connections[descriptor]
        self._poll.unregister(descriptor)
