"""Runs each request of an HTTP server on a thread of its own, up to a limit."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryspan.services import requestconnection

# Additional threads that only refuse requests while all others are busy.
REFUSAL_THREADS = 32

# Maximum number and lifetime of idle threads, which are reused because starting a
# thread for each request costs 0.1 ms.
IDLE_THREADS_MAX = 16
IDLE_THREAD_SECONDS = 5.0

STOP_TIMEOUT_SECONDS = 2.0


class RequestThreads:
    """Runs each request on its own thread, up to a limit.

    cheroot's own pool leaves requests unread when all threads are busy, so that callers
    cannot tell an overloaded router from a dead one. This pool passes requests above
    the limit to the application marked as overloaded, and they are refused at once.

    A request counts toward the limit until its answer has been written. Its thread ends
    later, when the caller may have sent its next request already.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._busy = 0
        self._counted = 0
        self._idle_count = 0
        self._handoff: queue.SimpleQueue[requestconnection.Connection] = (
            queue.SimpleQueue()
        )
        self._lock = threading.Lock()
        self._all_done = threading.Condition(self._lock)

    @property
    def busy(self) -> int:
        """Number of threads that read or serve a request or end one."""
        return self._busy

    @property
    def idle(self) -> int:
        """Number of further requests that can be served."""
        return max(self._limit - self._counted, 0)

    @property
    def is_half_used(self) -> bool:
        """Whether at most half of the threads are left."""
        return 2 * self._counted >= self._limit

    def start(self) -> None:
        """Do nothing: threads are started on demand."""

    def put(self, connection: requestconnection.Connection) -> None:
        """Serve the next request of a connection."""
        with self._lock:
            if self._busy >= self._limit + REFUSAL_THREADS:
                connection.close()
                return
            connection.overloaded = self._counted >= self._limit
            self._busy += 1
            self._counted += 1
            connection.is_counted = True
            has_idle_thread = self._idle_count > 0
            if has_idle_thread:
                self._idle_count -= 1
        if has_idle_thread:
            self._handoff.put(connection)
            return
        threading.Thread(
            target=self._run, args=(connection,), name="caller", daemon=True
        ).start()

    def set_counted(
        self, connection: requestconnection.Connection, value: bool
    ) -> None:
        """Count the request of a connection toward the limit, or no longer."""
        with self._lock:
            if connection.is_counted != value:
                connection.is_counted = value
                self._counted += 1 if value else -1

    def stop(self, timeout: float | None = STOP_TIMEOUT_SECONDS) -> None:
        """Wait for the requests in progress, for at most ``timeout`` seconds."""
        with self._all_done:
            self._all_done.wait_for(lambda: self._busy == 0, timeout)

    def _run(self, connection: requestconnection.Connection | None) -> None:
        """Serve requests until the thread has been idle for too long."""
        while connection is not None:
            self._serve(connection)
            with self._lock:
                if self._idle_count >= IDLE_THREADS_MAX:
                    return
                self._idle_count += 1
            connection = self._wait_for_connection()

    def _wait_for_connection(self) -> requestconnection.Connection | None:
        try:
            return self._handoff.get(timeout=IDLE_THREAD_SECONDS)
        except queue.Empty:
            pass
        with self._lock:
            if self._idle_count > 0:
                self._idle_count -= 1
                return None
        # A connection was assigned to this thread while its wait timed out.
        return self._handoff.get()

    def _serve(self, connection: requestconnection.Connection) -> None:
        keep = False
        try:
            keep = connection.communicate()
        except OSError:
            pass  # The caller has disconnected.
        finally:
            self.set_counted(connection, False)
            with self._all_done:
                self._busy -= 1
                self._all_done.notify_all()
            self._return_connection(connection, keep)

    def _return_connection(
        self, connection: requestconnection.Connection, keep: bool
    ) -> None:
        try:
            if connection.is_incomplete:
                connection.server.collector.add(connection)
            elif keep:
                connection.server.put_conn(connection)
            else:
                connection.close()
        except (OSError, ValueError, KeyError):
            pass  # The server has been stopped and its selector closed.
