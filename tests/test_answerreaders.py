"""Heads of answers that break off at any byte."""

from __future__ import annotations

import http.client
import io
import socket

import pytest

from celeryspan import answerreaders
from standins import invalidheads

HEAD = b"HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n"


def read_answer(sent: bytes, *, by_parts: bool = False) -> tuple[int, bytes]:
    """Return status and body of an answer after which the connection ends.

    Parameters
    ----------
    by_parts : bool
        Whether the body is read as it arrives.
    """
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(sent)
        theirs.shutdown(socket.SHUT_WR)
        answer = answerreaders.Answer(ours, method="GET")
        answer.begin()
        if by_parts:
            parts = iter(lambda: answer.read1(answerreaders.READ_BYTES), b"")
            return answer.status, b"".join(parts)
        return answer.status, answer.read()


@pytest.mark.parametrize("size", range(len(HEAD)))
def test_answer_cut_off_in_its_head_is_no_answer(size: int) -> None:
    """Guards against headers that end with the connection and look complete."""
    with pytest.raises((http.client.HTTPException, ConnectionError)):
        read_answer(HEAD[:size])


@pytest.mark.parametrize("tail", [b"", b"0", b"0\r", b"03", b"03\r\nab"])
def test_answer_cut_off_in_the_size_of_a_chunk_is_incomplete(tail: bytes) -> None:
    """Guards against half a size that is read as the last chunk."""
    with pytest.raises(http.client.HTTPException):
        read_answer(HEAD + b"2\r\nok\r\n" + tail)


@pytest.mark.parametrize("tail", [b"0\r\n", b"0\r\n\r\n"])
def test_answer_with_its_last_chunk_is_whole(tail: bytes) -> None:
    assert read_answer(HEAD + b"2\r\nok\r\n" + tail) == (200, b"ok")


@pytest.mark.parametrize("kind", invalidheads.INVALID)
def test_answer_with_an_invalid_head_is_no_answer(kind: str) -> None:
    """Guards against an answer whose end, status or fields are guessed."""
    answer = invalidheads.INVALID[kind].format_answer(HEAD, [b"served"])
    with pytest.raises(http.client.HTTPException):
        read_answer(answer)


@pytest.mark.parametrize("kind", invalidheads.VALID)
def test_answer_with_a_rare_valid_head_is_whole(kind: str) -> None:
    """Guards against sound answers that are taken for invalid ones."""
    answer = invalidheads.VALID[kind].format_answer(HEAD, [b"served"])
    assert read_answer(answer) == (200, b"served")


def test_lines_of_a_head_may_end_without_a_carriage_return() -> None:
    """Guards against sound answers that are taken for invalid ones."""
    assert read_answer(HEAD.replace(b"\r", b"") + b"0\r\n\r\n") == (200, b"")


@pytest.mark.parametrize("value", ["6", "06", "6 ", "\t6\t"])
def test_length_is_read(value: str) -> None:
    """Guards against sound answers that are taken for invalid ones."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {value}\r\n\r\n"
    assert read_answer(head.encode() + b"served, and more") == (200, b"served")


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("field", ["Transfer-Encoding: chunked", "Content-Length: 6"])
def test_status_without_a_body_has_none_whatever_its_fields_say(
    status: int, field: str
) -> None:
    """Guards against a reader that waits for a body which never comes."""
    head = f"HTTP/1.1 {status} Text\r\n{field}\r\n\r\n".encode()
    for by_parts in (False, True):
        assert read_answer(head, by_parts=by_parts) == (status, b"")


CHUNKS = {
    "sign": b"+6\r\nserved\r\n",
    "negative size": b"-6\r\nserved\r\n",
    "prefix": b"0x6\r\nserved\r\n",
    "underscore": b"0_6\r\nserved\r\n",
    "blank before the size": b" 6\r\nserved\r\n",
    "no size": b"\r\nserved\r\n",
    "size and no extension": b"6 x\r\nserved\r\n",
    "control byte": b"6\0\r\nserved\r\n",
    "size too small": b"3\r\nserved\r\n",
    "size too small by the end of a line": b"4\r\nserved\r\n0\r\n",
    "size too small before a zero": b"4\r\nserved0\r\n\r\n",
    "size of 17 digits": b"00000000000000006\r\nserved\r\n",
}


@pytest.mark.parametrize("by_parts", [False, True], ids=["whole", "parts"])
@pytest.mark.parametrize("chunk", CHUNKS.values(), ids=CHUNKS)
def test_answer_with_an_invalid_chunk_is_incomplete(
    chunk: bytes, by_parts: bool
) -> None:
    """Guards against a body whose parts are guessed."""
    for before in (b"", b"2\r\nab\r\n"):
        with pytest.raises(http.client.HTTPException):
            read_answer(HEAD + before + chunk + b"0\r\n\r\n", by_parts=by_parts)


@pytest.mark.parametrize(
    "chunk", [b"6;a=b", b"6 ;a", b"006", b"6\t", b'6;a="b;c"', b"6;\xe4"]
)
def test_answer_with_a_rare_valid_chunk_is_whole(chunk: bytes) -> None:
    """Guards against sound answers that are taken for invalid ones."""
    body = chunk + b"\r\nserved\r\n2\r\nab\r\n0\r\n\r\n"
    for by_parts in (False, True):
        assert read_answer(HEAD + body, by_parts=by_parts) == (200, b"servedab")


def test_connection_that_ends_without_an_answer_is_told_apart() -> None:
    with pytest.raises(http.client.RemoteDisconnected):
        read_answer(b"")


class EndlessSocket:
    """A connection that repeats bytes for as long as they are read."""

    limits = answerreaders.Limits(head=4096, body=100_000)

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self._start, self._repeated = start, repeated * (4096 // len(repeated))
        self.bytes_read = 0

    def makefile(self, _: str) -> io.BufferedReader:
        """Return a reader of the connection."""
        endless = self

        class Raw(io.RawIOBase):
            def readable(self) -> bool:
                return True

            def readinto(self, buffer: memoryview) -> int:
                data = endless._start or endless._repeated
                endless._start = b""
                data = data[: len(buffer)]
                buffer[: len(data)] = data
                endless.bytes_read += len(data)
                return len(data)

        return io.BufferedReader(Raw())


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    "status line": (b"", b"HTTP/1.1 "),
    "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "small chunks with extensions": (CHUNKED, b"1;%b\r\nx\r\n" % (b"a" * 200)),
    "chunks": (CHUNKED, b"1000\r\n%b\r\n" % (b"x" * 4096)),
    "huge chunk": (CHUNKED + b"f" * 12 + b"\r\n", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X: x\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n", b"x"),
}


@pytest.mark.parametrize("sent", ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_end_are_read_within_the_limits(sent: tuple) -> None:
    """Guards against a server that is read for as long as it sends."""
    connection = EndlessSocket(*sent)
    answer = answerreaders.Answer(connection, method="GET")
    with pytest.raises(http.client.HTTPException):
        answer.begin()
        answer.read()
    assert connection.bytes_read < 2 * (4096 + 100_000) + io.DEFAULT_BUFFER_SIZE


@pytest.mark.parametrize("status", [100, 102, 103])
def test_interim_answers_are_skipped(status: int) -> None:
    """Guards against an interim answer that is passed on as the answer."""
    interim = b"HTTP/1.1 %d Interim\r\nLink: </a>\r\n\r\n" % status
    answer = interim * 2 + HEAD + b"2\r\nok\r\n0\r\n\r\n"
    assert read_answer(answer) == (200, b"ok")
