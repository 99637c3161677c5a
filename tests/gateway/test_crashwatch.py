"""Tests of how a router tells crashed servers from lost connections."""

from __future__ import annotations

import pytest

from celeryspan import events
from standins import crashing
from tests.gateway import support

FATAL = b"divide by zero"


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    """Return a list that receives the fields of each logged event."""
    found: list[dict[str, object]] = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: found.append({"event": event, **fields})
    )
    return found


def select(lines: list[dict], event: events.Event) -> list[dict]:
    """Return the log lines of one event."""
    return [line for line in list(lines) if line["event"] is event]


@pytest.mark.parametrize(
    "path, service", [("/bookings/1", "gate"), ("/notes/1", "planner")]
)
def test_crash_is_logged_with_the_fingerprint_of_the_lost_run(
    cluster, lines, path: str, service: str
) -> None:
    """Guards against logs in which copies of one request can't be recognized."""
    servers = crashing.CrashingServers(cluster.store, service, 2, {FATAL})
    try:
        router = cluster.start_router()
        answer = router.call(path, "r1", body=FATAL)
        assert answer.status == 502
        support.wait_for(lambda: select(lines, events.Event.SERVER_CRASHED))
        (crash,) = select(lines, events.Event.SERVER_CRASHED)
        (lost,) = select(lines, events.Event.RUN_LOST)
        assert crash["fingerprints"] == [lost["fingerprint"]]
        assert crash["evidence"] == "connection refused"
        router.call(path, "r2", body=FATAL)
        support.wait_for(lambda: len(select(lines, events.Event.SERVER_CRASHED)) == 2)
        assert (
            len({line["fingerprint"] for line in select(lines, events.Event.RUN_LOST)})
            == 1
        )
    finally:
        servers.stop()


@pytest.mark.parametrize("failure", ["reset", "cut"])
def test_lost_answer_of_a_running_server_is_no_crash(
    cluster, lines, failure: str
) -> None:
    """Guards against suspecting requests whose answers were lost without a crash."""
    server = cluster.add_server("gate-1")
    server.script.append(failure)
    router = cluster.start_router()
    assert router.call("/bookings/1").status == 502
    watch = router.container.find("crashwatch")
    support.wait_for(lambda: not watch._probes)
    assert len(select(lines, events.Event.RUN_LOST)) == 1
    assert not select(lines, events.Event.SERVER_CRASHED)
