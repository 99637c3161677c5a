"""Streams that are cut, silent, crossed, left or read slowly."""

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


def resume_or(first):
    """Return an engine that begins each run by a script and resumes it properly."""

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
    """A connection to the engine breaks in the middle of a draft.

    Asked again from the start, the engine would write another draft, and the planner
    would read half of each.
    """
    engine = resume_or(cut)
    with scripted.run_router(engines=[engine]) as router:
        assert read_text(ask(router)) == ("one two rest", "[DONE]")
        assert engine.offset == 2
        assert count_posts(router) == 1


@pytest.mark.parametrize("begins", [True, False])
def test_a_silent_connection_is_replaced(monkeypatch, begins):
    """A firewall forgets a connection; nothing comes on it any more, no end either.

    Without a limit on silence the planner waits for good.
    """
    monkeypatch.setattr(backends, "READ_TIMEOUT_SECONDS", 0.2)

    def fall_silent(connection, received):
        if begins:
            begin(connection, received)
        return True

    engine = resume_or(fall_silent)
    with scripted.run_router(engines=[engine]) as router:
        text, last = read_text(ask(router))
        assert (text, last) == ("one two rest" if begins else "rest", "[DONE]")
        assert count_posts(router) == 1


def test_lines_of_another_run_are_dropped_and_repeats_cut():
    """A confused device sends a line of another caller, and a line twice."""

    def cross(connection, received):
        begin(connection, received)
        scripted.write_tokens(connection, "another-run", 2, "SECRET")
        scripted.write_tokens(connection, received.run, 1, "two ", "three")
        scripted.write_done(connection, received.run, 3)
        return True

    with scripted.run_router(engines=[cross]) as router:
        assert read_text(ask(router)) == ("one two three", "[DONE]")


def test_a_caller_is_told_that_its_stream_is_not_whole():
    """The engine dies for good: the caller must not take half a draft for a whole."""

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


def test_an_incomplete_answer_in_one_value_is_an_error():
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
    """An engine leaves, or loads another model, while a draft is on its way to it.

    It says that it did not run the request, so that another engine may.
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
    """A gang leader drives into a valley; the engine writes on for nobody."""
    engine = resume_or(lambda *args: begin(*args) is None)
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


def test_a_caller_that_leaves_is_taken_out_of_its_queue():
    with scripted.run_router(engines=[begin]) as router:
        router.dispatch.full = True
        connection = open_stream(router)
        assert router.dispatch.waiting.wait(10)
        connection.close()
        (event,) = router.dispatch.cancelled.values()
        assert event.wait(10)
        assert router.engines[0].received == []


def test_a_slow_reader_does_not_hold_the_slot():
    """A phone in a barn reads a token a second; others wait for the same engine."""

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
