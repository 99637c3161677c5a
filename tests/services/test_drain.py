"""Tests for draining a router: graceful shutdown, cancellation and time limit."""

from __future__ import annotations

import http.client
import json
import threading

import pytest
import urllib3

from celeryspan.services import drain
from tests import scripted
from tests.services import support, test_caller, test_streams


class PausedEngine:
    """An engine whose stream pauses until the test allows it to finish."""

    def __init__(self) -> None:
        self.started = threading.Event()
        self.may_finish = threading.Event()

    def serve(self, connection, received):
        if not received.line.startswith("POST"):
            return False
        test_streams.begin(connection, received)
        self.started.set()
        self.may_finish.wait(10)
        scripted.write_tokens(connection, received.run, 2, "three")
        scripted.write_done(connection, received.run, 3)
        return True


@pytest.fixture(autouse=True)
def shorten_leave_spread(monkeypatch):
    monkeypatch.setattr(drain, "LEAVE_SPREAD_SECONDS", 0.2)


def start_stream(router, answers):
    def ask():
        answer = test_streams.ask(router)
        answers.append(test_streams.read_text(answer))

    thread = threading.Thread(target=ask)
    thread.start()
    return thread


def test_drain_completes_streams_and_serves_late_callers():
    """Guards against errors for callers when a router is stopped for an upgrade.

    One caller reads a stream that must not be cut. Others still have a cached address
    answer that names the router and must not be refused.
    """
    engine = PausedEngine()
    answers = []
    gates = [test_caller.echo]
    with scripted.run_router(gates=gates, engines=[engine.serve]) as router:
        stream = start_stream(router, answers)
        assert engine.started.wait(10)
        stop = threading.Thread(target=router.drain.begin)
        stop.start()
        while not router.caller.draining:
            pass
        listed = test_caller.ask(router, "GET", "/v1/addresses", headers={})
        assert str(router.address) not in listed.json()["addresses"]
        late = test_caller.ask(router, "POST", "/v1/services/gate-desk/x", body="x")
        assert (late.status, late.headers["Connection"]) == (200, "close")
        assert not router.drain.finished.wait(1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            test_caller.ask(router, "GET", "/v1/addresses", headers={})
        engine.may_finish.set()
        assert router.drain.finished.wait(10)
        stream.join()
        stop.join()
        assert router.membership.left
    assert answers == [("one two three", "[DONE]")]


def test_call_on_a_kept_connection_late_in_a_drain_is_refused():
    """Guards against calls that are passed on late and cut by the end of the drain."""
    engine = PausedEngine()
    with scripted.run_router(
        gates=[test_caller.echo], engines=[engine.serve]
    ) as router:
        stream = start_stream(router, [])
        assert engine.started.wait(10)
        kept = http.client.HTTPConnection(*router.address, timeout=10)
        kept.connect()
        # Accepted before the listener closes.
        kept.request("GET", "/v1/addresses")
        kept.getresponse().read()
        threading.Thread(target=router.drain.begin, daemon=True).start()
        support.wait_until(lambda: router.caller.refusing)
        kept.request("POST", "/v1/services/gate-desk/x", b"x", test_caller.HEADERS)
        answer = kept.getresponse()
        error = json.loads(answer.read())["error"]
        assert (answer.status, error["code"]) == (503, "stopping")
        assert error["outcome"] == "not-run"
        assert answer.headers["Connection"] == "close"
        assert router.gates[0].received == []
        kept.close()
        engine.may_finish.set()
        assert router.drain.finished.wait(10)
        stream.join()


def test_short_drain_keeps_time_for_requests_in_progress():
    """Guards against callers who are served until the end of the drain cuts them."""
    engine = PausedEngine()
    with scripted.run_router(
        engines=[engine.serve], drain_seconds=2.0, address_seconds=60.0
    ) as router:
        stream = start_stream(router, [])
        assert engine.started.wait(10)
        threading.Thread(target=router.drain.begin, daemon=True).start()
        support.wait_until(lambda: router.caller.refusing)
        assert not router.drain.finished.is_set()
        engine.may_finish.set()
        assert router.drain.finished.wait(10)
        stream.join()


def test_second_signal_cancels_requests_and_tells_callers():
    engine = PausedEngine()
    answers = []
    with scripted.run_router(engines=[engine.serve]) as router:
        stream = start_stream(router, answers)
        assert engine.started.wait(10)
        stop = threading.Thread(target=router.drain.begin)
        stop.start()
        router.drain.finished.set()
        router.drain.stop()
        stream.join(10)
        stop.join(10)
        engine.may_finish.set()
    ((text, last),) = answers
    assert text == "one two "
    assert json.loads(last)["error"]["code"] == "answer-incomplete"


def test_drain_ends_after_drain_seconds():
    engine = PausedEngine()
    with scripted.run_router(engines=[engine.serve], drain_seconds=0.3) as router:
        stream = start_stream(router, [])
        assert engine.started.wait(10)
        router.drain.begin()
        assert router.drain.finished.is_set()
        assert router.caller.in_progress
        router.drain.stop()
        stream.join(10)
        engine.may_finish.set()


def test_planned_stop_in_the_rules_drains_the_router():
    with scripted.run_router() as router:
        value = router.configuration.value
        rules = value.rules.model_copy(update={"planned_stops": ("entry-1",)})
        router.configuration.handler(value.model_copy(update={"rules": rules}))
        assert router.drain.finished.wait(10)


def test_operator_starts_a_drain_over_http():
    operator = {"Authorization": f"Bearer {scripted.OPERATOR_KEY}"}
    with scripted.run_router() as router:
        refused = test_caller.ask(router, "POST", "/v1/drain")
        assert (refused.status, router.caller.draining) == (401, False)
        begun = test_caller.ask(router, "POST", "/v1/drain", headers=operator)
        assert begun.status == 202
        assert router.drain.finished.wait(10)
