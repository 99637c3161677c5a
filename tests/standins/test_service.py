"""Tests of the plain service's stand-in over HTTP."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import urllib3

from standins import service


@pytest.fixture
def server() -> Iterator[service.Service]:
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


def test_echoes_and_records_calls(server: service.Service) -> None:
    assert call(server).json() == {
        "request": "r1",
        "path": "/tow",
        "method": "POST",
        "body": "gate 7",
    }
    calls = call(server, "GET", "/_journal").json()["calls"]
    assert [(item["request"], item["path"]) for item in calls] == [("r1", "/tow")]


@pytest.mark.parametrize(
    ("cut", "executed"), [("before", 0), ("after", 1), ("middle", 1)]
)
def test_dropped_connections(server: service.Service, cut: str, executed: int) -> None:
    server.control(cut=cut, cut_count=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(server)
    assert len(server.journal) == executed
    assert call(server).status == 200


def test_leaving_refuses_without_executing(server: service.Service) -> None:
    server.control(leaving=True)
    answer = call(server)
    assert (answer.status, answer.json()) == (503, {"error": "leaving"})
    assert server.journal == []


def test_only_open_connections_go_silent(
    server: service.Service,
) -> None:
    pool = urllib3.HTTPConnectionPool(*server.address, maxsize=1, timeout=0.2)
    assert pool.request("GET", "/load").status == 200
    server.control(silence_open=True)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        pool.request("POST", "/tow", retries=False)
    assert server.journal == []
    assert call(server).status == 200
