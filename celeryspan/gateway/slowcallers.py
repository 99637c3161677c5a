"""The kernel service ``slowcallers``: buffers responses that callers read slowly.

The thread of a request reads its response on while the caller lags behind, so that the
server's slot is released when the response is complete. One thread of this service
writes what is buffered as soon as a caller's socket takes it; without it, buffered
events would wait for the next event of their stream.
"""

from __future__ import annotations

import os
import select
import threading
import time
from typing import TYPE_CHECKING

from celeryspan import events, ids, kernel, metrics
from celeryspan.decisions import heldbytes

if TYPE_CHECKING:
    from celeryspan.gateway import callersinks, orders

BYTES_PER_MEGABYTE = 1_000_000

CHECK_SECONDS = 0.25
"""Interval at which writes are tried and time limits checked without a sign of the
socket. A socket counts as writable only when a third of its send buffer is free, which
a caller on a slow line may take longer than its time limit to reach."""


@kernel.register("slowcallers", needs=("metrics",))
class SlowCallers:
    """Holds the budget of buffered bytes and writes them to callers.

    Attributes
    ----------
    is_enabled : bool
        Whether the settings name a budget; otherwise responses are not buffered.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        megabytes = container.settings.held_megabytes
        self._metrics: metrics.Metrics = container.find("metrics")
        self.is_enabled = megabytes is not None
        self._held = heldbytes.HeldBytes(int((megabytes or 0) * BYTES_PER_MEGABYTE))
        self._lock = threading.Lock()
        self._watched: dict[int, callersinks.CallerSink] = {}
        self._stopped = False
        self._poll: select.epoll | None = None
        self._wake = -1
        self._thread = threading.Thread(
            target=self._run, name="slowcallers", daemon=True
        )

    def start(self) -> None:
        """Start the writing thread if there is a budget."""
        if not self.is_enabled:
            return
        self._metrics.track_held_bytes(self.count_bytes)
        self._poll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self._poll.register(self._wake, select.EPOLLIN)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; requests that are still in progress write for themselves."""
        if self._poll is None:
            return
        self._stopped = True
        os.eventfd_write(self._wake, 1)
        self._thread.join()
        with self._lock:
            poll, self._poll = self._poll, None
            poll.close()
            os.close(self._wake)

    def report(self) -> dict[str, object]:
        """Return the budget and the bytes buffered, in total and by account."""
        with self._lock:
            return {
                "limit": self._held.limit if self.is_enabled else None,
                "bytes": self._held.total,
                "accounts": self._held.count_by_account(),
            }

    def count_bytes(self) -> int:
        """Return the number of bytes buffered now."""
        return self._held.total

    def add(
        self, sink: callersinks.CallerSink, account: ids.AccountId, wanted: int
    ) -> int:
        """Return how many bytes a sink may buffer now; these are counted.

        The caller must not hold a sink's lock, because another sink may be aborted.
        """
        with self._lock:
            grant = self._held.add(sink, account, wanted, time.monotonic())
        if grant.aborted is not None:
            self._abort(grant.aborted, grant.aborted_bytes)
        return grant.size

    def add_end(
        self, sink: callersinks.CallerSink, account: ids.AccountId, size: int
    ) -> None:
        """Count the bytes that end a response."""
        with self._lock:
            self._held.add_end(sink, account, size, time.monotonic())

    def take(self, sink: callersinks.CallerSink, size: int) -> None:
        """Record that a sink has written some of its buffered bytes."""
        with self._lock:
            self._held.take(sink, size)

    def forget(self, sink: callersinks.CallerSink) -> None:
        """Drop a sink whose response has ended."""
        with self._lock:
            self._held.forget(sink)

    def watch(self, descriptor: int, sink: callersinks.CallerSink) -> None:
        """Write what a sink has buffered whenever its socket takes some of it."""
        with self._lock:
            if self._poll is None or descriptor in self._watched:
                return
            self._watched[descriptor] = sink
            self._poll.register(descriptor, select.EPOLLOUT)
            is_first = len(self._watched) == 1
        if is_first:  # The thread waits without a time limit while nothing is watched.
            os.eventfd_write(self._wake, 1)

    def unwatch(self, descriptor: int) -> None:
        """Stop writing for a sink; must be called before its socket is closed."""
        with self._lock:
            if self._watched.pop(descriptor, None) is not None:
                if self._poll is not None:
                    self._poll.unregister(descriptor)

    def _abort(self, sink: callersinks.CallerSink, held: int) -> None:
        if sink.abort_buffered("the budget of buffered bytes is exhausted"):
            events.log(
                events.Event.RESPONSE_ABORTED,
                request=sink.request,
                account=sink.account,
                held=held,
                limit=self._held.limit,
            )

    def _run(self) -> None:
        checked_at = time.monotonic()
        while not self._stopped:
            for descriptor, _ in self._poll.poll(
                CHECK_SECONDS if self._watched else None
            ):
                if descriptor == self._wake:
                    os.eventfd_read(self._wake)
                    continue
                sink = self._watched.get(descriptor)
                if sink is not None:
                    self._advance(sink)
            if time.monotonic() - checked_at >= CHECK_SECONDS:
                for sink in list(self._watched.values()):
                    self._advance(sink)
                checked_at = time.monotonic()

    def _advance(self, sink: callersinks.CallerSink) -> None:
        """Write for one sink; an error ends its response and no other."""
        try:
            sink.advance()
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task="slowcallers", error=repr(error))
            sink.abort_buffered(repr(error))


def attach(
    service: SlowCallers, sink: callersinks.CallerSink, order: orders.Order
) -> None:
    """Let a sink buffer the response to an order, if there is a budget."""
    if service.is_enabled:
        sink.enable_buffer(
            service,
            order.request,
            order.account or ids.AccountId(""),
            order.cancellation,
        )
