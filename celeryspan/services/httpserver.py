"""An HTTP server based on cheroot: a thread per whole request, time and size limits."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

from celeryspan import events, ids, logthrottle
from celeryspan.decisions import descriptors
from celeryspan.services import (
    arrivals,
    callerconnections,
    framing,
    requestcollector,
    requestconnection,
    requestmemory,
    requestthreads,
    sockets,
)

# Maximum header size of one request; common servers allow 8 to 64 KiB.
HEADER_BYTES_MAX = 32_768

# Maximum time without progress on a caller's connection. Retransmission pauses of
# mobile networks last a few seconds; a longer limit would keep threads of unresponsive
# callers busy.
CALLER_TIMEOUT_SECONDS = 10.0

# Maximum time for receiving a whole request: 4 MiB at 140 KB/s.
REQUEST_SECONDS = 30.0

# Maximum time for receiving the head of a request.
REQUEST_HEAD_SECONDS = 10.0

# Interval for closing expired idle connections; a stop waits up to two intervals.
IDLE_CHECK_SECONDS = 0.5

LISTEN_BACKLOG = 512

# Time for which arrivals are dispatched before the next ones are accepted.
DISPATCH_SECONDS = 0.01

STOP_TIMEOUT_SECONDS = 2.0

# Time for the own listener to accept the connection that wakes its thread.
WAKE_SECONDS = 0.2


class _Gateway(wsgi.Gateway_10):
    """Adds the HTTP request to the WSGI environment and runs cleanup callbacks."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["celeryspan.request"] = self.req
        return environ

    def respond(self) -> None:
        """Run the application, then its cleanup callbacks in reverse order."""
        with contextlib.ExitStack() as stack:
            self.env["celeryspan.finally"] = stack
            super().respond()


class Server(wsgi.Server):
    """Serves one WSGI application on one address.

    Parameters
    ----------
    address : Address
        Address to listen on; with port 0 the system selects a port.
    application : callable
        The WSGI application.
    threads : int
        Maximum number of requests in progress.
    body_bytes_max : int
        Maximum size of a request body.
    log : callable
        Receives the text of each error of the server itself.
    connections_max : int, optional
        Maximum number of connections; by default the callers' share of the process's
        descriptor limit.
    memory_max : int
        Bytes that the requests in arrival and in progress may hold at once.

    Attributes
    ----------
    request_seconds, request_head_seconds : float
        Maximum time for receiving a request, and the head of one.
    memory : RequestMemory
        What the requests hold.
    collector : RequestCollector
        Connections on which a part of a request has arrived.
    """

    ConnectionClass = requestconnection.Connection
    max_request_header_size = HEADER_BYTES_MAX
    expiration_interval = IDLE_CHECK_SECONDS

    def __init__(
        self,
        address: ids.Address,
        application: Callable[..., Iterable[bytes]],
        *,
        threads: int,
        body_bytes_max: int,
        log: Callable[[str], None],
        connections_max: int | None = None,
        memory_max: int = requestmemory.REQUEST_BYTES_DEFAULT,
        request_seconds: float = REQUEST_SECONDS,
        request_head_seconds: float = REQUEST_HEAD_SECONDS,
    ) -> None:
        super().__init__(
            tuple(address),
            application,
            request_queue_size=LISTEN_BACKLOG,
            timeout=CALLER_TIMEOUT_SECONDS,
            server_name="celeryspan",
        )
        self.gateway = _Gateway
        self.max_request_body_size = body_bytes_max
        self.request_seconds = request_seconds
        self.request_head_seconds = request_head_seconds
        self.requests = requestthreads.RequestThreads(threads)
        self.memory = requestmemory.RequestMemory(memory_max)
        self.collector = requestcollector.RequestCollector(self)
        self.close_watcher = sockets.CloseWatcher()
        if connections_max is None:
            connections_max = callerconnections.compute_budget().callers
        self._connections_max = connections_max
        # Above this number answers carry "Connection: close".
        self.keep_alive_conn_limit = int(
            connections_max * descriptors.CLOSE_NOTICE_SHARE
        )
        self._log = log
        self._throttle = logthrottle.Throttle()
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> ids.Address:
        """Address on which the server listens."""
        host, port = self.bind_addr[:2]
        return ids.Address(host, port)

    def count_connections(self) -> tuple[int, int]:
        """Return the numbers of idle connections and of those being served."""
        return max(0, self._connections._num_connections), self.requests.busy

    def open(self) -> None:
        """Bind the address and start the accepting thread.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self.close_watcher.start()
        self.prepare()
        self.collector.start()
        self._thread = threading.Thread(target=self.serve, name="accept", daemon=True)
        self._thread.start()

    def prepare(self) -> None:
        """Bind and listen; raises OSError if the address cannot be bound."""
        super().prepare()
        self._connections.close()  # cheroot's own manager has no bound.
        self._connections = callerconnections.CallerConnections(
            self, self._connections_max
        )

    def count_arrivals(self) -> int:
        """Return the number of connections that wait to be dispatched."""
        return len(self._connections.arrivals)

    def reserve(self, connection: requestconnection.Connection, size: int) -> bool:
        """Return whether the request of a connection may hold a number of bytes.

        If the memory is used up, requests that arrive slowly make room for it.
        """
        while not self.memory.resize(connection, size):
            if not self.collector.give_up_slowest(connection):
                return False
        return True

    def refuse_incomplete(self, connection: requestconnection.Connection) -> None:
        """Answer that a request did not arrive in time, and close its connection.

        Never waits for the caller: one thread does this for all.
        """
        if connection.lingers_until:
            connection.close()
            return
        count = self._throttle.admit("too-slow", time.monotonic())
        if count:
            events.log(
                events.Event.REQUESTS_TOO_SLOW,
                count=count,
                arriving=self.collector.count_requests(),
                held=self.memory.count_bytes(),
            )
        answer = self.format_late_answer(connection)
        with contextlib.suppress(OSError):  # The caller has disconnected.
            connection.wfile.write_available(answer)
            connection.socket.shutdown(socket.SHUT_WR)
        connection.close()

    def format_late_answer(self, connection: requestconnection.Connection) -> bytes:
        """Return the answer to a request that did not arrive in time."""
        return framing.format_refusal(
            self.protocol, "408 Request Timeout", "The request came too slowly."
        )

    @property
    def accept_delay(self) -> float:
        """Longest time that an arrival has waited since the last reset, in seconds."""
        return self._connections.arrivals.measure_delay(time.monotonic())

    def take_accept_delay(self) -> float:
        """Return and reset the longest time that an arrival has waited."""
        return self._connections.arrivals.take_delay(time.monotonic())

    def is_accepting_thread(self) -> bool:
        """Return whether the calling thread is the accepting thread."""
        return threading.current_thread() is self._thread

    def process_conn(self, conn: requestconnection.Connection) -> None:
        """Dispatch a connection; called by cheroot if its next request is there."""
        conn.request_began_at = time.monotonic()
        self.dispatch_connection(conn)

    def dispatch_arrivals(self) -> None:
        """Dispatch arrivals until none is left or the time for it is over."""
        now = time.monotonic()
        until = now + DISPATCH_SECONDS
        while now < until and (arrival := self._connections.arrivals.take(now)):
            self.dispatch(arrival)
            now = time.monotonic()

    def divert(self, arrival: arrivals.Arrival) -> bool:
        """Return whether an arrival was dealt with, so that no thread serves it."""
        return False

    def has_left(self, arrival: arrivals.Arrival) -> bool:
        """Return whether a caller has closed its connection and no data is unread."""
        return sockets.has_ended(arrival.socket)

    def drop(self, arrival: arrivals.Arrival) -> None:
        """Close the connection of a caller that has left."""
        with contextlib.suppress(OSError):  # The caller has reset it.
            arrival.close()

    def dispatch_connection(self, connection: requestconnection.Connection) -> None:
        """Serve the next request of a connection on a thread of the pool."""
        super().process_conn(connection)

    def dispatch(self, arrival: arrivals.Arrival) -> None:
        """Dispatch an arrival, unless its caller has left.

        While the machine is busy, closed connections would occupy as many threads as
        requests do.
        """
        if self.has_left(arrival):
            self.drop(arrival)
            return
        if arrival.is_new and not callerconnections.has_data(arrival.socket):
            # Without a request it would occupy a thread.
            self.put_conn(self._open_connection(arrival))
        elif not self.divert(arrival):
            connection = self._open_connection(arrival)
            connection.request_began_at = arrival.since
            self.dispatch_connection(connection)

    def _open_connection(
        self, arrival: arrivals.Arrival
    ) -> requestconnection.Connection:
        """Return the state of a connection, which is created for a new one."""
        if arrival.connection is not None:
            return arrival.connection
        arrival.socket.settimeout(self.timeout)
        connection = self.ConnectionClass(self, arrival.socket)
        connection.remote_addr, connection.remote_port = arrival.address[:2]
        connection.ssl_env = {}
        return connection

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are still served.

        Connections in the listen backlog are accepted first, because their callers may
        have sent requests already.
        """
        manager = self._connections
        manager._selector.unregister(self.socket.fileno())
        while (arrival := manager.accept()) is not None:
            self.dispatch(arrival)
        self.socket.close()

    def shut_down(self) -> None:
        """Stop the server and wait briefly for requests in progress."""
        self._end_accepting()
        self.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_SECONDS)
        self.collector.stop()
        self.close_watcher.stop()

    def _end_accepting(self) -> None:
        """Wake the accepting thread by a connection, and let it end.

        It would otherwise sleep until the next check of idle connections. A process
        with several servers would outlast the grace period of its stop.
        """
        self._connections._stop_requested = True
        try:
            socket.create_connection(self.socket.getsockname(), WAKE_SECONDS).close()
        except (AttributeError, OSError):
            pass  # It does not listen; the thread wakes up by itself.

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log an error reported by cheroot, with the current exception.

        Equal messages are throttled: a listener that cannot accept connections fails
        thousands of times a second.
        """
        error = sys.exc_info()[1]
        text = f"{msg}: {error!r}" if error is not None else str(msg)
        count = self._throttle.admit(text, time.monotonic())
        if count:
            self._log(text if count == 1 else f"{text} ({count} times)")
