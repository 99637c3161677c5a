"""Counts of what a router sends to and hears from its peers, by kind of message."""

from __future__ import annotations

import collections
import threading

from celeryspan.wire import codec, messages


class Traffic:
    """Messages and bytes by direction and kind, and refused peers."""

    def __init__(self) -> None:
        self.refused = 0
        self._lock = threading.Lock()
        self._messages: collections.Counter[tuple[str, str]] = collections.Counter()
        self._bytes: collections.Counter[tuple[str, str]] = collections.Counter()

    def count(
        self, direction: str, batch: tuple[messages.Message, ...], size: int
    ) -> None:
        """Count one frame of ``size`` bytes, ``"sent"`` or ``"received"``.

        The body of a configuration counts as what it is; the rest of the frame is
        split evenly over its messages.
        """
        bodies = [len(getattr(message, "body", b"")) for message in batch]
        share = max(0, size - sum(bodies)) / max(1, len(batch))
        with self._lock:
            for message, body in zip(batch, bodies, strict=True):
                key = (direction, codec.metric_name(type(message)))
                self._messages[key] += 1
                self._bytes[key] += min(size, round(share + body))

    def refuse(self) -> None:
        """Count a peer that could not prove itself or sent something malformed."""
        with self._lock:
            self.refused += 1

    def report(self) -> dict[str, object]:
        """Return the counts as ``{direction: {kind: {messages, bytes}}}``."""
        with self._lock:
            result: dict[str, object] = {"refused": self.refused}
            for direction in ("sent", "received"):
                result[direction] = {
                    kind: {"messages": number, "bytes": self._bytes[way, kind]}
                    for (way, kind), number in sorted(self._messages.items())
                    if way == direction
                }
            return result
