"""Counts messages and bytes exchanged with peers, by kind of message."""

from __future__ import annotations

import collections
import threading

from celeryspan.wire import codec, messages


class Traffic:
    """Counters of messages and bytes by direction and kind, and of refused peers."""

    def __init__(self) -> None:
        self.refused = 0
        self._lock = threading.Lock()
        self._messages: collections.Counter[tuple[str, str]] = collections.Counter()
        self._bytes: collections.Counter[tuple[str, str]] = collections.Counter()

    def count(
        self, direction: str, batch: tuple[messages.Message, ...], size: int
    ) -> None:
        """Count one frame of ``size`` bytes; direction is ``"sent"`` or ``"received"``.

        Message bodies, as of a configuration, count with their own size. The rest of
        the frame is divided evenly among its messages.
        """
        bodies = [len(getattr(message, "body", b"")) for message in batch]
        share = max(0, size - sum(bodies)) / max(1, len(batch))
        with self._lock:
            for message, body in zip(batch, bodies, strict=True):
                key = (direction, codec.metric_name(type(message)))
                self._messages[key] += 1
                self._bytes[key] += min(size, round(share + body))

    def count_refused_peer(self) -> None:
        """Count a peer that failed authentication or sent a malformed frame."""
        with self._lock:
            self.refused += 1

    def report(self) -> dict[str, object]:
        """Return the counts as ``{direction: {kind: {messages, bytes}}}``."""
        with self._lock:
            result: dict[str, object] = {"refused": self.refused}
            for direction in ("sent", "received"):
                result[direction] = {
                    kind: {"messages": count, "bytes": self._bytes[direction, kind]}
                    for (key, kind), count in sorted(self._messages.items())
                    if key == direction
                }
            return result
