"""The plain service's stand-in, over its protocol."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import urllib3

from standins import service


@pytest.fixture
def serving() -> Iterator[service.Service]:
    standin = service.Service(work_seconds=0.0)
    standin.start()
    yield standin
    standin.stop()


def call(
    standin: service.Service, method: str = "POST", path: str = "/tow", **options
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        method,
        f"http://{standin.address}{path}",
        headers={"Celeryspan-Request-Id": "r1"},
        body=b"gate 7",
        retries=False,
        timeout=options.get("timeout", 5.0),
    )


def test_echoes_and_keeps_a_journal(serving: service.Service) -> None:
    assert call(serving).json() == {
        "request": "r1",
        "path": "/tow",
        "method": "POST",
        "body": "gate 7",
    }
    calls = call(serving, "GET", "/_journal").json()["calls"]
    assert [(item["request"], item["path"]) for item in calls] == [("r1", "/tow")]


@pytest.mark.parametrize(
    ("cut", "carried_out"), [("before", 0), ("after", 1), ("middle", 1)]
)
def test_cut_connections(serving: service.Service, cut: str, carried_out: int) -> None:
    serving.control(cut=cut, cut_count=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(serving)
    assert len(serving.journal) == carried_out
    assert call(serving).status == 200


def test_leaving_refuses_and_does_not_carry_out(serving: service.Service) -> None:
    serving.control(leaving=True)
    answer = call(serving)
    assert (answer.status, answer.json()) == (503, {"error": "leaving"})
    assert serving.journal == []


def test_open_connections_go_silent_while_new_ones_work(
    serving: service.Service,
) -> None:
    pool = urllib3.HTTPConnectionPool(*serving.address, maxsize=1, timeout=0.2)
    assert pool.request("GET", "/load").status == 200
    serving.control(silence_open=True)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        pool.request("POST", "/tow", retries=False)
    assert serving.journal == []
    assert call(serving).status == 200
