"""An HTTP server on cheroot: one thread a request, limits on time and size."""

from __future__ import annotations

import contextlib
import queue
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import server as cheroot_server, wsgi

from celeryspan import ids, logthrottle
from celeryspan.decisions import descriptors
from celeryspan.services import callerconnections, framing, sockets, streams

# Headers of one request; the usual servers allow 8 to 64 KiB.
HEADER_BYTES_MAX = 32_768

# A caller that neither sends nor takes a byte for so long is given up, in seconds.
# Longer than any retransmission pause of a mobile network seen in practice (a few
# seconds), short enough that a silent connection frees its thread soon.
CALLER_TIMEOUT_SECONDS = 10.0

# Threads kept for answering "overloaded" while all others are busy.
REFUSAL_THREADS = 32

# Time in which a whole request must have been sent, in seconds: 4 MiB at 140 KB/s.
# Without it a caller that sends a byte now and then would hold a thread for good.
REQUEST_READ_SECONDS = 30.0

# What is read and dropped after an early answer: enough for what is in flight.
LINGER_SECONDS = 0.5
LINGER_READS_MAX = 64
LINGER_READ_BYTES = 65_536

# How often idle connections are looked at, in seconds; a stop waits for it twice.
IDLE_CHECK_SECONDS = 0.5

# Threads that wait for a next request once theirs is done, and for how long: to start
# one for each request costs 0.1 ms.
IDLE_THREADS_MAX = 16
IDLE_THREAD_SECONDS = 5.0

LISTEN_BACKLOG = 512

# Connections accepted in one go.
ACCEPT_BATCH_MAX = 64
STOP_TIMEOUT_SECONDS = 2.0


class Connection(cheroot_server.HTTPConnection):
    """A caller's connection.

    Attributes
    ----------
    overloaded : bool
        All threads are busy; the application should refuse at once.
    has_unread_input : bool
        The caller may still be sending when the connection is closed.
    request_began_at : float
        When the request in progress began to come, on the monotonic clock, in seconds.
    """

    RequestHandlerClass = framing.Request
    overloaded = False
    has_unread_input = False

    def __init__(self, server: Server, sock: socket.socket, *_: object) -> None:
        super().__init__(server, sock, streams.open_stream)
        self.request_began_at = time.monotonic()

    def communicate(self) -> bool:
        """Serve one request; returns whether the connection stays open."""
        self.server.close_watcher.set_read_deadline(self.socket, REQUEST_READ_SECONDS)
        try:
            return super().communicate()
        finally:
            self.server.close_watcher.remove(self.socket)

    def mark_request_read(self) -> None:
        """Note that the request has been read to its end."""
        self.server.close_watcher.remove(self.socket)

    def close(self) -> None:
        """Close, but let the caller read its last answer first.

        Closing a socket that holds unread bytes resets the connection, and the reset
        destroys an answer that the caller has not read yet.
        """
        if self.has_unread_input:
            self._linger()
        super().close()

    def _linger(self) -> None:
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_SECONDS)
            for _ in range(LINGER_READS_MAX):
                if not self.socket.recv(LINGER_READ_BYTES):
                    return
        except OSError:
            pass  # The caller is gone or goes on sending nothing.


class _Gateway(wsgi.Gateway_10):
    """Hands the request to the application beside the usual environment."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ["celeryspan.request"] = self.req
        return environ

    def respond(self) -> None:
        """Run the application, then the callbacks it left for the end, last first."""
        with contextlib.ExitStack() as stack:
            self.env["celeryspan.finally"] = stack
            super().respond()


class _ThreadPool:
    """Gives each request a thread of its own, up to a limit.

    cheroot's own pool lets requests wait unread when all threads are busy, so a
    caller could not tell a full router from a dead one. Here those above the limit
    reach the application marked as overloaded and are answered at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._busy = 0
        self._idle_count = 0
        self._handoff: queue.SimpleQueue[Connection] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._all_done = threading.Condition(self._lock)

    @property
    def busy(self) -> int:
        """Requests that are read or served now."""
        return self._busy

    @property
    def idle(self) -> int:
        """Threads that may still be started."""
        return max(self._limit - self._busy, 0)

    def start(self) -> None:
        """Do nothing: threads start with their requests."""

    def put(self, connection: Connection) -> None:
        """Serve the next request of a connection."""
        with self._lock:
            if self._busy >= self._limit + REFUSAL_THREADS:
                connection.close()
                return
            connection.overloaded = self._busy >= self._limit
            self._busy += 1
            has_idle_thread = self._idle_count > 0
            if has_idle_thread:
                self._idle_count -= 1
        if has_idle_thread:
            self._handoff.put(connection)
            return
        threading.Thread(
            target=self._run, args=(connection,), name="caller", daemon=True
        ).start()

    def stop(self, timeout: float | None = STOP_TIMEOUT_SECONDS) -> None:
        """Wait for the requests in progress, up to a time in seconds."""
        with self._all_done:
            self._all_done.wait_for(lambda: self._busy == 0, timeout)

    def _run(self, connection: Connection | None) -> None:
        """Serve one request after the other while there are any."""
        while connection is not None:
            self._serve(connection)
            with self._lock:
                if self._idle_count >= IDLE_THREADS_MAX:
                    return
                self._idle_count += 1
            connection = self._wait_for_connection()

    def _wait_for_connection(self) -> Connection | None:
        try:
            return self._handoff.get(timeout=IDLE_THREAD_SECONDS)
        except queue.Empty:
            pass
        with self._lock:
            if self._idle_count > 0:
                self._idle_count -= 1
                return None
        return self._handoff.get()  # It was given to this thread as its time ended.

    def _serve(self, connection: Connection) -> None:
        keep = False
        try:
            keep = connection.communicate()
        except OSError:
            pass  # The caller is gone; there is nobody to tell.
        finally:
            with self._all_done:
                self._busy -= 1
                self._all_done.notify_all()
            self._return_connection(connection, keep)

    def _return_connection(self, connection: Connection, keep: bool) -> None:
        try:
            if keep:
                connection.server.put_conn(connection)
            else:
                connection.close()
        except (OSError, ValueError, KeyError):
            pass  # The server has stopped and closed its selector.


class Server(wsgi.Server):
    """Serves one WSGI application on one address.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 lets the system choose.
    application : callable
        The WSGI application.
    threads : int
        Greatest number of requests in progress.
    body_bytes_max : int
        Greatest body of a request.
    log : callable
        Takes the text of an error that the server itself meets.
    connections_max : int, optional
        Greatest number of connections; by default the callers' part of what the system
        lets the process have.
    """

    ConnectionClass = Connection
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
        self.requests = _ThreadPool(threads)
        self.close_watcher = sockets.CloseWatcher()
        if connections_max is None:
            connections_max = callerconnections.compute_budget().callers
        self._connections_max = connections_max
        # Above it answers announce the end of their connections.
        self.keep_alive_conn_limit = int(
            connections_max * descriptors.CLOSE_NOTICE_SHARE
        )
        self._log = log
        self._throttle = logthrottle.Throttle()
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> ids.Address:
        """Where the server listens."""
        host, port = self.bind_addr[:2]
        return ids.Address(host, port)

    def count_connections(self) -> tuple[int, int]:
        """Return how many connections wait for a request, and how many are served."""
        return max(0, self._connections._num_connections), self.requests.busy

    def open(self) -> None:
        """Listen, and serve on a thread of its own.

        Raises
        ------
        OSError
            If the address can't be listened on.
        """
        self.close_watcher.start()
        self.prepare()
        self._thread = threading.Thread(target=self.serve, name="accept", daemon=True)
        self._thread.start()

    def prepare(self) -> None:
        """Bind and listen; raises OSError if the address can't be listened on."""
        super().prepare()
        self._connections.close()  # The one of cheroot has no bound.
        self._connections = callerconnections.CallerConnections(
            self, self._connections_max
        )

    def is_accepting_thread(self) -> bool:
        """Whether the thread that accepts connections calls."""
        return threading.current_thread() is self._thread

    def process_conn(self, conn: Connection) -> None:
        """Give a connection's request to a thread, and take in all that wait.

        cheroot accepts one connection each time that its thread has the processor.
        With hundreds of busy threads that is once in a second, and callers meet a
        full line of connections that nobody accepts.
        """
        self.dispatch_connection(conn)
        if self.is_accepting_thread():
            self.accept_pending()

    def dispatch_connection(self, connection: Connection) -> None:
        """Give the request that has come on a connection to a thread."""
        connection.request_began_at = time.monotonic()
        super().process_conn(connection)

    def accept_pending(self) -> None:
        """Take in the connections that wait, up to a number."""
        for _ in range(ACCEPT_BATCH_MAX):
            if not sockets.has_pending_connection(self.socket):
                return
            accepted = self._connections.accept()
            if accepted is None:
                return
            self._add_connection(accepted)

    def _add_connection(self, connection: Connection) -> None:
        """Give a new connection to a thread once its caller sends something.

        A caller that connects and sends nothing would hold a thread for half a minute;
        some hundred of them would leave none for others.
        """
        if callerconnections.has_data(connection.socket):
            self.dispatch_connection(connection)
        else:
            self.put_conn(connection)

    def stop_listening(self) -> None:
        """Take no new connections; those that are open are served on.

        Connections that the system has accepted and this process has not are taken
        first: their callers may have sent a request already.
        """
        manager = self._connections
        manager._selector.unregister(self.socket.fileno())
        self.socket.setblocking(False)
        while (connection := manager.accept()) is not None:
            self.process_conn(connection)
        self.socket.close()

    def shut_down(self) -> None:
        """Stop listening and wait a moment for requests in progress."""
        self.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_SECONDS)
        self.close_watcher.stop()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Pass an error of cheroot on to the log, with its reason.

        A listener that can't accept fails again at once, some thousand times a second.
        """
        error = sys.exc_info()[1]
        text = f"{msg}: {error!r}" if error is not None else str(msg)
        count = self._throttle.admit(text, time.monotonic())
        if count:
            self._log(text if count == 1 else f"{text} ({count} times)")
