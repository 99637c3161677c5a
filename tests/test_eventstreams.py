"""Where events of a stream end, whatever ends their lines and however they arrive."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import eventstreams

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def make_events(line_end: bytes, count: int = 3) -> list[bytes]:
    """Return events of two lines each, after a comment."""
    return [
        line_end.join([b": comment", b"id: %d" % number, b"data: x", b"", b""])
        for number in range(1, count + 1)
    ]


@hypothesis.given(
    line_end=strategies.sampled_from(LINE_ENDS),
    cuts=strategies.sets(strategies.integers(1, 90)),
)
def test_events_are_complete_however_the_stream_is_cut(
    line_end: bytes, cuts: set[int]
) -> None:
    """Guards against a blank line that is missed where two parts meet."""
    stream = b"".join(make_events(line_end))
    ends = sorted({cut for cut in cuts if cut < len(stream)} | {len(stream)})
    splitter = eventstreams.EventSplitter()
    received, start = b"", 0
    for end in ends:
        block = splitter.add(stream[start:end])
        assert b"".join(eventstreams.split_events(block)) == block
        received, start = received + block, end
    assert (received + splitter.rest, splitter.is_inside_event()) == (stream, False)


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_every_end_within_an_event_is_inside_it(line_end: bytes) -> None:
    """Guards against a stream that counts as whole though its last event is cut."""
    event = line_end.join([b"id: 7", b"data: x", b""])
    for size in range(1, len(event) + 1):
        splitter = eventstreams.EventSplitter()
        splitter.add(make_events(line_end, 1)[0] + event[:size])
        assert splitter.is_inside_event()


@pytest.mark.parametrize("rest", [b"", b"\n", b": bye", b": bye\n", b"\r\n: a\r\n"])
def test_comments_after_the_last_event_are_inside_none(rest: bytes) -> None:
    """Guards against keep-alive comments that make a whole stream look broken."""
    splitter = eventstreams.EventSplitter()
    splitter.add(b"data: x\n\n" + rest)
    assert not splitter.is_inside_event()


def test_last_id_of_a_block_is_found_with_any_line_end() -> None:
    for line_end in LINE_ENDS:
        assert eventstreams.find_id(b"".join(make_events(line_end))) == "3"
    assert eventstreams.find_id(b"data: id: 4\n\n") == ""


@pytest.mark.parametrize(
    "content_type, expected",
    [
        (None, True),
        ("text/event-stream", True),
        ("Text/Event-Stream; charset=utf-8", True),
        ("application/json", False),
    ],
)
def test_streams_of_events_are_known_by_their_type(
    content_type: str | None, expected: bool
) -> None:
    assert eventstreams.is_event_stream(content_type) is expected
