"""Detection of closed caller connections."""

from __future__ import annotations

import os
import select
import socket
import threading

from celeryspan.services import sockets


class SwappingPoll:
    """Reuses a descriptor for another connection between an event and its handling."""

    def __init__(self, real: select.epoll, swap) -> None:
        self._real = real
        self._swap = swap
        self.handled = threading.Event()

    def __getattr__(self, name: str):
        return getattr(self._real, name)

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Poll; on the first event, call ``swap`` before returning it."""
        if self._swap is None:
            self.handled.set()
            return self._real.poll(timeout)
        events = self._real.poll(timeout)
        if events:
            swap, self._swap = self._swap, None
            swap()
        return events


def test_close_event_is_not_applied_to_a_reused_descriptor() -> None:
    """A caller reads its answer and closes; the next one gets the same descriptor.

    Guards against applying the first caller's close event to the second one, whose
    request was refused as `caller-left` or cut after sending while its caller waited.
    """
    first, first_caller = socket.socketpair()
    second, second_caller = socket.socketpair()
    descriptor = first.fileno()
    left: list[str] = []
    watcher = sockets.CloseWatcher()
    watcher.add(first, lambda: left.append("first"))

    def swap() -> None:
        watcher.remove(first)
        os.dup2(second.fileno(), descriptor)
        watcher.add(first, lambda: left.append("second"))

    watcher._poll = poll = SwappingPoll(watcher._poll, swap)
    first_caller.close()
    watcher.start()
    try:
        assert poll.handled.wait(10)
        assert left == []
        second_caller.close()
        for _ in range(1000):
            if left:
                break
            poll.handled.clear()
            poll.handled.wait(0.01)
        assert left == ["second"]
    finally:
        watcher.stop()
        for each in (first, second):
            each.close()
