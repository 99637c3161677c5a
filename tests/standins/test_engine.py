"""Tests of the model engine's stand-in over HTTP."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
import urllib3

from standins import batch, engine

MESSAGES = [{"role": "user", "content": "plan " * 40}]


@pytest.fixture
def server() -> Iterator[engine.Engine]:
    standin = engine.Engine(token_seconds=0.001, slots=2)
    standin.start()
    yield standin
    standin.stop()


def call(standin: engine.Engine, method: str, path: str, **body: object):
    return urllib3.request(
        method,
        f"http://{standin.address}{path}",
        body=json.dumps(body).encode() if body else None,
        retries=False,
        timeout=5.0,
    )


def read_lines(response: urllib3.BaseHTTPResponse) -> list[dict]:
    return [json.loads(line) for line in response.data.splitlines()]


def generate(standin: engine.Engine, name: str = "r1", tokens: int = 20):
    return call(
        standin,
        "POST",
        "/generate",
        request=name,
        model="m",
        messages=MESSAGES,
        max_tokens=tokens,
    )


def join_tokens(lines: list[dict]) -> list[str]:
    return [token for line in lines for token in line.get("tokens", [])]


def test_streams_every_token_of_the_prompt(server: engine.Engine) -> None:
    lines = read_lines(generate(server))
    digest = batch.digest_prompt(MESSAGES)
    assert join_tokens(lines) == [f"{digest}.{index} " for index in range(20)]
    assert lines[-1]["done"] and lines[-1]["finish_reason"] == "length"


def test_repeated_prompt_hits_the_cache_and_events_are_listed(
    server: engine.Engine,
) -> None:
    generate(server, "r1")
    lines = read_lines(generate(server, "r2"))
    assert lines[-1]["cached_tokens"] == 32
    listed = call(server, "GET", "/cache-events?after=0").json()
    assert [event["kind"] for event in listed["events"]] == ["stored", "stored"]
    server.control(gap_every=2)
    listed = call(server, "GET", "/cache-events?after=0").json()
    assert len(listed["events"]) == 1 and listed["last"] == 2


def test_interrupted_stream_resumes_without_a_second_run(
    server: engine.Engine,
) -> None:
    server.control(cut_after_tokens=5)
    with pytest.raises(urllib3.exceptions.HTTPError):
        generate(server)
    lines = read_lines(call(server, "GET", "/generate/r1?offset=5"))
    assert len(join_tokens(lines)) == 15 and lines[-1]["done"]
    assert len(server.read_journal()["runs"]) == 1


def test_cancel_ends_the_run(server: engine.Engine) -> None:
    server.control(token_seconds=0.05)
    run = server.batch.add("r1", MESSAGES, 1000)
    assert call(server, "DELETE", "/generate/r1").status == 204
    assert run.state is batch.RunState.CANCELLED
    assert call(server, "DELETE", "/generate/r9").status == 404


def test_leaving_refuses_before_running(server: engine.Engine) -> None:
    server.control(leaving=True)
    answer = generate(server)
    assert (answer.status, answer.json()) == (503, {"error": "leaving"})
    assert server.read_journal()["runs"] == []
    assert call(server, "GET", "/load").json()["leaving"]


def test_outdated_fence_is_rejected_only_if_checked(
    server: engine.Engine,
) -> None:
    order = {"kind": "load", "model": "m2", "adapters": [], "version": "1"}
    for checks, expected in ((False, 202), (True, 409)):
        server.checks_fence = checks
        assert call(server, "POST", "/orders", fence=7, **order).status == 202
        assert call(server, "POST", "/orders", fence=6, **order).status == expected
    assert call(server, "GET", "/state").json()["fence"] == 7


def test_queued_runs_finish_once_slots_are_free(server: engine.Engine) -> None:
    server.control(token_seconds=0.0)
    runs = [server.batch.add(f"r{index}", MESSAGES, 3) for index in range(5)]
    for run in runs:
        assert [token for _, part in server.batch.read(run, 0) for token in part]
    assert all(run.state is batch.RunState.DONE for run in runs)
