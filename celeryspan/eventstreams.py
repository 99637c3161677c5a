"""Server-sent events: where they end, and which one is the last of a received part."""

from __future__ import annotations

import re

from celeryspan import answerreaders

EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""Sequences that contain the blank line after an event, whichever line ends it uses."""

EVENT = re.compile(rb".*?(?>\r\n|\n|\r)(?>\r\n|\n|\r)", re.DOTALL)
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
FIELD = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
EVENT_FIELD = re.compile(rb"(?:\A|[\r\n])(?:data|id)(?=[:\r\n])")

USUAL_FIELDS = (b"id:", b"data:")
"""Fields with which most events begin, found faster than by a pattern."""

MEDIA_TYPE = "text/event-stream"


LAST_BYTES = max(map(len, EVENT_ENDS)) - 1
"""Bytes before a received part with which it may complete the end of an event."""


class EventTooLong(ValueError):
    """An event exceeds its limit; the message names the setting."""


class EventSplitter:
    """Separates the complete events of a stream from the one that still arrives.

    Parameters
    ----------
    bytes_max : int
        Largest event, and most bytes between two events.
    """

    def __init__(self, bytes_max: int = answerreaders.EVENT_BYTES_MAX) -> None:
        self._bytes_max = bytes_max
        self._rest = bytearray()
        self._bytes_without_event = 0

    @property
    def rest(self) -> bytes:
        """What has arrived since the last complete event."""
        return bytes(self._rest)

    @property
    def size(self) -> int:
        """Size of the rest, in bytes."""
        return len(self._rest)

    def add(self, piece: bytes) -> bytes:
        """Add a received part; return the events that it completes.

        Raises
        ------
        EventTooLong
            If an event does not end within the limit.
        """
        if not self._rest and piece.endswith(EVENT_ENDS):
            self._count(piece)
            return piece
        start = max(0, len(self._rest) - LAST_BYTES)
        self._rest += piece
        end = max(_find_end(self._rest, mark, start) for mark in EVENT_ENDS)
        if len(self._rest) - end > self._bytes_max:
            raise EventTooLong(
                f"an event exceeds {self._bytes_max} bytes (response_event_bytes_max)"
            )
        if not end:
            return b""
        block = bytes(self._rest[:end])
        del self._rest[:end]
        self._count(block)
        return block

    def _count(self, block: bytes) -> None:
        """Count the bytes since the last event; raises EventTooLong."""
        if block.startswith(USUAL_FIELDS) or has_event(block):
            self._bytes_without_event = 0
            return
        self._bytes_without_event += len(block)
        if self._bytes_without_event > self._bytes_max:
            raise EventTooLong(
                f"no event within {self._bytes_max} bytes (response_event_bytes_max)"
            )

    def is_inside_event(self) -> bool:
        """Return whether a stream that ends here ends inside an event.

        Comments and blank lines after the last event belong to none.
        """
        return _has_field(self.rest)


def has_event(block: bytes) -> bool:
    """Return whether a block holds more than comments and unknown fields."""
    return EVENT_FIELD.search(block) is not None


def _has_field(data: bytes) -> bool:
    """Whether any line is neither blank nor a comment."""
    return FIELD.search(data) is not None


def is_event_stream(content_type: str | None) -> bool:
    """Return whether a body is a stream of events; without a type it counts as one."""
    if not content_type:
        return True
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


def split_events(block: bytes) -> list[bytes]:
    """Return each complete event of a block, with the blank line that ends it."""
    return EVENT.findall(block)


def find_id(block: bytes) -> str:
    """Return the id of the last event that has one; empty if none has."""
    found = EVENT_ID.findall(block)
    return found[-1].decode("latin-1") if found else ""


def _find_end(data: bytearray, mark: bytes, start: int) -> int:
    found = data.rfind(mark, start)
    return 0 if found < 0 else found + len(mark)
