"""Server-sent events: where they end, and which one is the last of a received part."""

from __future__ import annotations

import re

EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""Sequences that contain the blank line after an event, whichever line ends it uses."""

EVENT = re.compile(rb".*?(?>\r\n|\n|\r)(?>\r\n|\n|\r)", re.DOTALL)
EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
LINE_END = re.compile(rb"\r\n|\n|\r")

MEDIA_TYPE = "text/event-stream"


class EventSplitter:
    """Separates the complete events of a stream from the one that still arrives.

    Attributes
    ----------
    rest : bytes
        What has arrived since the last complete event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def add(self, piece: bytes) -> bytes:
        """Add a received part; return the events that it completes."""
        data = self.rest + piece
        end = max(_find_end(data, mark) for mark in EVENT_ENDS)
        self.rest = data[end:]
        return data[:end]

    def is_inside_event(self) -> bool:
        """Return whether a stream that ends here ends inside an event.

        Comments and blank lines after the last event belong to none.
        """
        return any(
            line and not line.startswith(b":") for line in LINE_END.split(self.rest)
        )


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


def _find_end(data: bytes, mark: bytes) -> int:
    found = data.rfind(mark)
    return 0 if found < 0 else found + len(mark)
