"""Answers of backend servers: the head, and the body as a stream."""

from __future__ import annotations

import enum
import http.client
import time
from collections.abc import Iterator

from celeryspan import answerreaders, eventstreams, untrusted
from celeryspan.adapters import backend
from celeryspan.gateway import channels, orders, replybuffers
from celeryspan.platform import names, requests


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Reply:
    """One answer, read from a channel.

    Attributes
    ----------
    status : int
    headers : list of (name, value)
        Headers to forward to the caller.
    framing : Framing
        What marks the end of the body.
    rest_bytes : int
        Bytes of a stream that followed its last complete event.
    entry : ServerEntry
        Entry of the server that answers.
    version : SoftwareVersion
        Its version, by that entry.
    """

    def __init__(
        self,
        order: orders.Order,
        channel: channels.Channel,
        answer: http.client.HTTPResponse,
    ) -> None:
        self.status = answer.status
        self.reason = answer.reason
        self.headers = requests.filter_response_headers(answer.getheaders())
        self.entry = channel.entry
        self.version = channel.entry.version
        self.framing = _find_framing(answer)
        self.rest_bytes = 0
        self._order = order
        self._channel = channel
        self._answer = answer

    @property
    def connection_age(self) -> float:
        """Time since the connection to the server was opened, in seconds."""
        return time.monotonic() - self._channel.opened_at

    @property
    def is_success(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_not_run(self) -> bool:
        """Whether the server states that it did not run the request."""
        return self.status == 421 or self._answer.getheader(names.NOT_RUN) is not None

    @property
    def is_unproved_refusal(self) -> bool:
        """Whether callers read "not run", which the server does not state."""
        return self.status in requests.NOT_RUN_STATUSES and not self.is_not_run

    @property
    def is_signed(self) -> bool:
        """Whether the answer has the server's signature header."""
        return bool(self._answer.getheader(names.SIGNATURE))

    def read(self) -> Iterator[bytes]:
        """Yield the body as it arrives; returns only after the complete body.

        Raises
        ------
        backend.AnswerLost
            If the connection fails or the deadline passes.
        """
        try:
            self._channel.set_read_deadline(self._order.deadline)
            while piece := self._answer.read1(answerreaders.READ_BYTES):
                yield piece
        except channels.CONNECTION_ERRORS as error:
            raise self.make_answer_lost(error) from error
        if self._answer.length:
            raise self.make_answer_lost("the body is shorter than its Content-Length")
        self._channel.update_keep_alive(self._answer)

    def read_into(self, buffer: replybuffers.ReplyBuffer) -> Iterator[bytes] | None:
        """Read the body into a buffer.

        Returns
        -------
        iterator of bytes or None
            The rest of the body if the buffer takes no more; None if it is complete.

        Raises
        ------
        backend.AnswerLost
            If the connection fails or the deadline passes.
        """
        try:
            self._channel.check_length(self.length or 0)
        except answerreaders.AnswerTooLong as error:
            raise self.make_answer_lost(error) from error
        pieces = self.read()
        for piece in pieces:
            if not buffer.add(piece):
                return pieces
        return None

    @property
    def length(self) -> int | None:
        """Length of the body that is not read yet; None if it is not stated."""
        return None if self._answer.chunked else self._answer.length

    def read_events(
        self, last_event: str, buffer: replybuffers.ReplyBuffer
    ) -> Iterator[EventBlock]:
        """Yield complete events with an id above ``last_event`` as they arrive.

        A partial event is buffered until its end: if a server fails in the middle of an
        event, the next server sends the event from its start. Comments before the first
        event are buffered until it comes, so that another server may send it.

        Raises
        ------
        backend.AnswerLost
            If the stream ends inside an event or, unless its length or the caller's
            last event explains that, before the first one.
        """
        if not eventstreams.is_event_stream(self._answer.getheader("Content-Type")):
            yield EventBlock(self._read_other(buffer), "")
            return
        last_number = _parse_number(last_event)
        # A stream may be of any length, but not what it sends beside its events.
        self._channel.lift_body_limit()
        splitter = eventstreams.EventSplitter(self._channel.limits.event)
        is_empty, has_begun = True, False
        early = bytearray()
        for piece in self.read():
            try:
                block = splitter.add(piece)
            except eventstreams.EventTooLong as error:
                raise self.make_answer_lost(error) from error
            if (splitter.size or buffer.held) and not buffer.reserve(splitter.size):
                raise self.make_answer_lost("no memory is left for its events")
            if not block:
                continue
            is_empty = False
            if not has_begun:
                early += block
                if not eventstreams.has_event(block):
                    continue
                has_begun, block = True, bytes(early)
                early.clear()
            event = _drop_delivered(block, last_number)
            if event is not None:
                yield event
        self.rest_bytes = len(splitter.rest)
        if splitter.is_inside_event():
            raise self.make_answer_lost("the stream ends inside an event")
        if is_empty and not self._may_have_no_events(last_event):
            raise self.make_answer_lost("the stream ends before its first event")
        if early or splitter.rest:
            yield EventBlock(bytes(early) + splitter.rest, "")

    def _read_other(self, buffer: replybuffers.ReplyBuffer) -> bytes:
        """Return the body of a stream's answer that is no stream of events."""
        if self.read_into(buffer) is not None:
            raise self.make_answer_lost(
                "a body that is no stream of events exceeds its buffer "
                "(response_buffer_bytes_max)"
            )
        return bytes(buffer.data)

    def _may_have_no_events(self, last_event: str) -> bool:
        """Whether a stream without events can be complete.

        That a connection has ended says nothing. A server that has sent the last chunk
        has no events after the one that the caller names.
        """
        if self.framing is Framing.CHUNKS:
            return bool(last_event or self._order.incoming.last_event)
        return self.framing is Framing.LENGTH

    def make_answer_lost(self, reason: object) -> backend.AnswerLost:
        """Return the error for an incomplete answer."""
        return backend.AnswerLost(
            f"incomplete answer: {reason!r}",
            step="read answer",
            peer=self._channel.server,
        )


class EventBlock:
    """One or more complete events of a stream.

    Attributes
    ----------
    last_id : str
        The last event id in the block; empty if there is none.
    """

    __slots__ = ("data", "last_id")

    def __init__(self, data: bytes, last_id: str) -> None:
        self.data = data
        self.last_id = last_id


def _find_framing(answer: http.client.HTTPResponse) -> Framing:
    if answer.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION if answer.length is None else Framing.LENGTH


def _drop_delivered(block: bytes, last_number: int | None) -> EventBlock | None:
    """Return a block without events that were delivered before; None if empty."""
    if last_number is not None:
        block = b"".join(
            event
            for event in eventstreams.split_events(block)
            if (number := _parse_number(eventstreams.find_id(event))) is None
            or number > last_number
        )
        if not block:
            return None
    return EventBlock(block, eventstreams.find_id(block))


def _parse_number(text: str) -> int | None:
    return untrusted.parse_digits(text)
