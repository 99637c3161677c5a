"""The model engine's stand-in, over its protocol."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
import urllib3

from standins import batch, engine

MESSAGES = [{"role": "user", "content": "plan " * 40}]


@pytest.fixture
def serving() -> Iterator[engine.Engine]:
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


def test_streams_every_token_of_its_own_prompt(serving: engine.Engine) -> None:
    lines = read_lines(generate(serving))
    digest = batch.digest_prompt(MESSAGES)
    assert join_tokens(lines) == [f"{digest}.{place} " for place in range(20)]
    assert lines[-1]["done"] and lines[-1]["finish_reason"] == "length"


def test_second_prompt_hits_the_cache_and_events_tell(serving: engine.Engine) -> None:
    generate(serving, "r1")
    lines = read_lines(generate(serving, "r2"))
    assert lines[-1]["cached_tokens"] == 32
    told = call(serving, "GET", "/cache-events?after=0").json()
    assert [event["kind"] for event in told["events"]] == ["stored", "stored"]
    serving.control(gap_every=2)
    told = call(serving, "GET", "/cache-events?after=0").json()
    assert len(told["events"]) == 1 and told["last"] == 2


def test_cut_stream_resumes_without_running_again(serving: engine.Engine) -> None:
    serving.control(cut_after_tokens=5)
    with pytest.raises(urllib3.exceptions.HTTPError):
        generate(serving)
    lines = read_lines(call(serving, "GET", "/generate/r1?offset=5"))
    assert len(join_tokens(lines)) == 15 and lines[-1]["done"]
    assert len(serving.show_journal()["runs"]) == 1


def test_cancel_ends_the_run(serving: engine.Engine) -> None:
    serving.control(token_seconds=0.05)
    run = serving.batch.add("r1", MESSAGES, 1000)
    assert call(serving, "DELETE", "/generate/r1").status == 204
    assert run.state is batch.RunState.CANCELLED
    assert call(serving, "DELETE", "/generate/r9").status == 404


def test_leaving_refuses_before_running(serving: engine.Engine) -> None:
    serving.control(leaving=True)
    answer = generate(serving)
    assert (answer.status, answer.json()) == (503, {"error": "leaving"})
    assert serving.show_journal()["runs"] == []
    assert call(serving, "GET", "/load").json()["leaving"]


def test_old_fence_is_refused_only_by_an_engine_that_checks(
    serving: engine.Engine,
) -> None:
    order = {"kind": "load", "model": "m2", "adapters": [], "version": "1"}
    for checks, expected in ((False, 202), (True, 409)):
        serving.checks_fence = checks
        assert call(serving, "POST", "/orders", fence=7, **order).status == 202
        assert call(serving, "POST", "/orders", fence=6, **order).status == expected
    assert call(serving, "GET", "/state").json()["fence"] == 7


def test_no_more_than_its_slots_run_at_once(serving: engine.Engine) -> None:
    serving.control(token_seconds=0.0)
    runs = [serving.batch.add(f"r{place}", MESSAGES, 3) for place in range(5)]
    for run in runs:
        assert [token for _, part in serving.batch.read(run, 0) for token in part]
    assert all(run.state is batch.RunState.DONE for run in runs)
