"""Streams that are cut, stalled, mixed up, abandoned or read slowly."""

from __future__ import annotations

import json
import socket

import pytest

from celeryspan import dispatch
from celeryspan.services import backends, buffers
from tests import scripted
from tests.services import test_caller

STREAM = test_caller.CHAT | {"stream": True}


def ask(router, asked=STREAM):
    return test_caller.ask(router, "POST", "/v1/chat/completions", json=asked)


def read_text(answer):
    lines = answer.data.decode().splitlines()
    lines = [line.removeprefix("data: ") for line in lines if line.startswith("data:")]
    texts = []
    for line in lines:
        chunk = {} if line == "[DONE]" else json.loads(line)
        for choice in chunk.get("choices", ()):
            texts.append(choice["delta"].get("content", ""))
    return "".join(texts), lines[-1]


def make_resumable_engine(first):
    """Return an engine that handles POST with ``first`` and resumes streams."""

    def serve(connection, received):
        if received.line.startswith("POST"):
            serve.run = received.run
            return first(connection, received)
        if received.line.startswith("DELETE"):
            scripted.write_answer(connection, b"", "204 No Content")
            return True
        serve.offset = int(received.line.split("offset=")[1].split()[0])
        scripted.write_head(connection)
        scripted.write_tokens(connection, serve.run, serve.offset, "rest")
        scripted.write_done(connection, serve.run, serve.offset + 1)
        return True

    return serve


def begin(connection, received):
    scripted.write_head(connection)
    scripted.write_tokens(connection, received.run, 0, "one ", "two ")


def cut(connection, received):
    begin(connection, received)
    return False


def count_posts(router):
    return sum(item.line.startswith("POST") for item in router.engines[0].received)


def test_a_cut_stream_is_resumed_from_its_last_offset():
    """A connection to the engine fails in the middle of an answer.

    Guards against restarting the request: the engine would generate another answer, and
    the caller would get half of each.
    """
    engine = make_resumable_engine(cut)
    with scripted.run_router(engines=[engine]) as router:
        assert read_text(ask(router)) == ("one two rest", "[DONE]")
        assert engine.offset == 2
        assert count_posts(router) == 1


@pytest.mark.parametrize("begins", [True, False])
def test_a_silent_connection_is_replaced(monkeypatch, begins):
    """A firewall drops the state of a connection, which delivers neither data nor FIN.

    Without a read timeout the caller waits indefinitely.
    """
    monkeypatch.setattr(backends, "READ_TIMEOUT_SECONDS", 0.2)

    def fall_silent(connection, received):
        if begins:
            begin(connection, received)
        return True

    engine = make_resumable_engine(fall_silent)
    with scripted.run_router(engines=[engine]) as router:
        text, last = read_text(ask(router))
        assert (text, last) == ("one two rest" if begins else "rest", "[DONE]")
        assert count_posts(router) == 1


def test_lines_of_other_runs_and_repeated_tokens_are_dropped():
    """The stream contains a line of another caller's run and a repeated token.

    Guards against passing either of them on to the caller.
    """

    def cross(connection, received):
        begin(connection, received)
        scripted.write_tokens(connection, "another-run", 2, "SECRET")
        scripted.write_tokens(connection, received.run, 1, "two ", "three")
        scripted.write_done(connection, received.run, 3)
        return True

    with scripted.run_router(engines=[cross]) as router:
        assert read_text(ask(router)) == ("one two three", "[DONE]")


def test_a_caller_is_told_that_its_stream_is_incomplete():
    """The engine fails and the stream cannot be resumed.

    Guards against a truncated answer that looks complete to the caller.
    """

    def die(connection, received):
        return received.line.startswith("POST") and cut(connection, received)

    with scripted.run_router(engines=[die]) as router:
        answer = ask(router)
        text, last = read_text(answer)
        error = json.loads(last)["error"]
        assert text == "one two "
        assert (error["code"], error["outcome"]) == ("answer-incomplete", "ran")
        assert b"event: error" in answer.data
        assert b"[DONE]" not in answer.data
        assert router.dispatch.slots[0].ended.wait(10)
        assert router.dispatch.slots[0].endings[0][0] is dispatch.Ending.FAILED


def test_an_incomplete_answer_without_streaming_is_an_error():
    def forget(connection, received):
        if received.line.startswith("POST"):
            return cut(connection, received)
        scripted.write_answer(connection, b"", "404 Not Found")
        return True

    with scripted.run_router(engines=[forget]) as router:
        answer = ask(router, test_caller.CHAT)
    assert answer.status == 502
    assert answer.json()["error"]["outcome"] == "ran"
    assert answer.headers["Celeryspan-Outcome"] == "ran"


@pytest.mark.parametrize(
    ("status", "reason", "ending"),
    [
        ("503 Service Unavailable", "leaving", dispatch.Ending.LEAVING),
        ("409 Conflict", "model not loaded", dispatch.Ending.FAILED),
    ],
)
def test_a_request_that_an_engine_declines_goes_to_another(status, reason, ending):
    """An engine that is leaving or loads another model declines a request.

    The engine has not run the request, so it may be sent to another one.
    """

    def decline(connection, received):
        body = json.dumps({"error": reason}).encode()
        scripted.write_answer(connection, body, status)
        return True

    engines = [decline, test_caller.generate]
    with scripted.run_router(engines=engines) as router:
        assert read_text(ask(router))[1] == "[DONE]"
        assert router.dispatch.slots[0].endings[0][0] is ending


def test_an_engine_that_fails_leaves_the_outcome_unknown():
    def fail(connection, received):
        scripted.write_answer(connection, b"{}", "500 Internal Server Error")
        return True

    with scripted.run_router(engines=[fail, test_caller.generate]) as router:
        answer = ask(router)
        assert (answer.status, answer.headers["Celeryspan-Outcome"]) == (502, "unknown")
        assert router.engines[1].received == []


def open_stream(router):
    connection = socket.create_connection(router.address)
    body = json.dumps(STREAM)
    connection.sendall(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        f"\r\nAuthorization: Bearer {scripted.KEY}\r\n\r\n{body}".encode()
    )
    return connection


def read_until(connection, text):
    data = b""
    while text not in data:
        data += connection.recv(65536)


def test_a_caller_that_leaves_frees_its_slot_and_stops_the_engine():
    """A caller loses its connection in the middle of a stream.

    Guards against an engine that keeps generating an answer that nobody reads.
    """
    engine = make_resumable_engine(lambda *args: begin(*args) is None)
    with scripted.run_router(engines=[engine]) as router:
        connection = open_stream(router)
        read_until(connection, b"two")
        connection.close()
        (slot,) = router.dispatch.slots
        assert slot.ended.wait(10)
        assert slot.endings == [(dispatch.Ending.CANCELLED, 2.0)]
        assert router.engines[0].closed.wait(10)
        while not any("DELETE" in item.line for item in router.engines[0].received):
            pass


def test_a_caller_that_leaves_is_removed_from_its_queue():
    with scripted.run_router(engines=[begin]) as router:
        router.dispatch.full = True
        connection = open_stream(router)
        assert router.dispatch.waiting.wait(10)
        connection.close()
        (event,) = router.dispatch.cancelled.values()
        assert event.wait(10)
        assert router.engines[0].received == []


def test_a_slow_reader_does_not_hold_the_slot():
    """A caller with a slow connection reads about a token a second.

    Guards against its slot staying occupied while other requests wait for the engine.
    """

    def write_much(connection, received):
        scripted.write_head(connection)
        texts = ["gate "] * 100
        for offset in range(0, 20_000, 100):
            scripted.write_tokens(connection, received.run, offset, *texts)
        scripted.write_done(connection, received.run, 20_000)
        return True

    with scripted.run_router(engines=[write_much]) as router:
        connection = open_stream(router)
        assert connection.recv(100)
        assert router.dispatch.slots[0].ended.wait(10)
        connection.close()


def test_a_full_buffer_stops_reading():
    taken = []

    def write():
        for offset in range(100):
            taken.append(offset)
            yield buffers.backend.Tokens(offset, ("x" * 10,))

    buffer = buffers.StreamBuffer(write(), limit=50)
    reader = buffer.read()
    first = next(reader)
    assert len(taken) <= 5 + len(first.texts) + 1
    texts = [*first.texts, *(text for piece in reader for text in piece.texts)]
    assert len(texts) == 100
    buffer.close()
