"""Heads of answers that break off at any byte."""

from __future__ import annotations

import http.client
import socket

import pytest

from celeryspan import answerheads

HEAD = b"HTTP/1.1 200 OK\r\nServer: s\r\nTransfer-Encoding: chunked\r\n\r\n"


def read_answer(sent: bytes) -> tuple[int, bytes]:
    """Return status and body of an answer after which the connection ends."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(sent)
        theirs.shutdown(socket.SHUT_WR)
        answer = answerheads.Answer(ours, method="GET")
        answer.begin()
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


def test_connection_that_ends_without_an_answer_is_told_apart() -> None:
    with pytest.raises(http.client.RemoteDisconnected):
        read_answer(b"")
