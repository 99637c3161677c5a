"""The answer of a backend server: its head, and its body as it comes."""

from __future__ import annotations

import http.client
import re
from collections.abc import Iterator

from celeryspan.adapters import backend
from celeryspan.gateway import channels, orders
from celeryspan.platform import names, requests

READ_BYTES = 65_536

BODY_BYTES_MAX = 1_048_576
"""Answers of plain services up to this size are read whole before the first byte is
passed on, so that one that breaks off can be repeated or told as a failure."""

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)


class Reply:
    """One answer, read from a channel.

    Attributes
    ----------
    status : int
    headers : list of (name, value)
        Those that the caller gets.
    """

    def __init__(
        self,
        order: orders.Order,
        channel: channels.Channel,
        answer: http.client.HTTPResponse,
    ) -> None:
        self.status = answer.status
        self.reason = answer.reason
        self.headers = requests.filter_answer(answer.getheaders())
        self._order = order
        self._channel = channel
        self._answer = answer

    @property
    def is_success(self) -> bool:
        """Whether the status says so."""
        return 200 <= self.status < 300

    @property
    def is_not_run(self) -> bool:
        """Whether the server says that it did not run the request."""
        return self.status == 421 or self._answer.getheader(names.NOT_RUN) is not None

    @property
    def is_signed(self) -> bool:
        """Whether the server's signature is there."""
        return bool(self._answer.getheader(names.SIGNATURE))

    def read(self) -> Iterator[bytes]:
        """Yield the body as it comes; ends only if it is whole.

        Raises
        ------
        backend.AnswerLost
            If the connection breaks, or the time is over.
        """
        try:
            while True:
                self._channel.set_read_deadline(self._order.deadline)
                piece = self._answer.read1(READ_BYTES)
                if not piece:
                    break
                yield piece
        except channels.CONNECTION_ERRORS as error:
            raise self.make_answer_lost(error) from error
        if self._answer.length:
            raise self.make_answer_lost("the body is shorter than announced")
        self._channel.update_keep_alive(self._answer)

    def read_whole(self) -> bytes:
        """Return the body; raises backend.AnswerLost."""
        return b"".join(self.read())

    def read_events(self, last_event: str) -> Iterator[EventBlock]:
        """Yield whole events last_number an id, as they come.

        Part of an event is held back until its end: a server may stop in its middle,
        and the next one sends it from its beginning.
        """
        last_number = _parse_number(last_event)
        buffer = b""
        for piece in self.read():
            buffer += piece
            end = buffer.rfind(EVENT_END)
            if end < 0:
                continue
            block, buffer = (
                buffer[: end + len(EVENT_END)],
                buffer[end + len(EVENT_END) :],
            )
            event = _drop_delivered(block, last_number)
            if event is not None:
                yield event
        if buffer:
            yield EventBlock(buffer, "")

    def make_answer_lost(self, reason: object) -> backend.AnswerLost:
        """Return the error of an answer that is not whole."""
        return backend.AnswerLost(
            f"no whole answer: {reason!r}",
            step="read answer",
            peer=self._channel.server,
        )


class EventBlock:
    """One or more whole events of a stream.

    Attributes
    ----------
    last_id : str
        Id of the last of them, or the empty text.
    """

    __slots__ = ("data", "last_id")

    def __init__(self, data: bytes, last_id: str) -> None:
        self.data = data
        self.last_id = last_id


def _drop_delivered(block: bytes, last_number: int | None) -> EventBlock | None:
    """Return a block without events that were passed on before, or None."""
    if last_number is not None:
        new_events = [
            event
            for event in block.split(EVENT_END)[:-1]
            if (number := _parse_number(_find_id(event))) is None
            or number > last_number
        ]
        if not new_events:
            return None
        block = EVENT_END.join(new_events) + EVENT_END
    return EventBlock(block, _find_id(block))


def _find_id(block: bytes) -> str:
    found = EVENT_ID.findall(block)
    return found[-1].decode("latin-1") if found else ""


def _parse_number(text: str) -> int | None:
    return int(text) if text.isdecimal() else None
