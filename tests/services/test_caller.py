"""Requests from the caller's connection to the complete answer."""

from __future__ import annotations

import json

import urllib3

from celeryspan import dispatch
from tests import scripted

HEADERS = {"Authorization": f"Bearer {scripted.KEY}"}
CHAT = {"model": "planner-llm", "messages": [{"role": "user", "content": "stands"}]}


def ask(router, method, path, *, headers=HEADERS, **kwargs):
    url = f"http://{router.address}{path}"
    return urllib3.request(
        method, url, headers=headers, retries=False, timeout=20, **kwargs
    )


def echo(connection, received):
    scripted.write_answer(connection, received.body)
    return True


def generate(connection, received):
    run = received.run
    scripted.write_head(connection)
    scripted.write_tokens(connection, run, 0, "stand ", "12 ")
    scripted.write_tokens(connection, run, 2, "is free")
    scripted.write_done(connection, run, 3)
    return True


def test_plain_call_reaches_the_service_and_its_answer_the_caller():
    with scripted.run_router(gates=[echo]) as router:
        answer = ask(router, "POST", "/v1/services/gate-desk/stands/12?at=5", body="x")
        sent = router.gates[0].received[0]
    assert (answer.status, answer.data) == (200, b"x")
    assert sent.line == "POST /stands/12?at=5 HTTP/1.1"
    assert (
        sent.headers["celeryspan-request-id"] == answer.headers["Celeryspan-Request-Id"]
    )
    assert "authorization" not in sent.headers
    assert answer.headers["Celeryspan-Outcome"] == "ran"
    assert router.dispatch.slots[0].endings[0][0] is dispatch.Ending.ANSWERED


def test_chat_answer_is_one_json_value():
    with scripted.run_router(engines=[generate]) as router:
        answer = ask(router, "POST", "/v1/chat/completions", json=CHAT)
    choice = answer.json()["choices"][0]
    assert choice["message"]["content"] == "stand 12 is free"
    assert answer.json()["usage"]["completion_tokens"] == 3
    slot = router.dispatch.slots[0]
    assert slot.units == 3
    assert slot.endings == [(dispatch.Ending.ANSWERED, 3 + 0.1 * 2)]


def test_chat_stream_ends_with_done():
    with scripted.run_router(engines=[generate]) as router:
        asked = CHAT | {"stream": True}
        answer = ask(router, "POST", "/v1/chat/completions", json=asked)
    events = answer.data.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-1]]
    texts = [item["choices"][0]["delta"].get("content", "") for item in chunks]
    assert "".join(texts) == "stand 12 is free"
    assert chunks[-1]["choices"][0]["finish_reason"] == "stop"


def test_addresses_name_live_routers_nearest_first():
    with scripted.run_router() as router:
        far = scripted.make_member("far", ("10.0.0.9", 1), data_centre="hala-b")
        router.membership.members = [far, scripted.make_member("me", router.address)]
        answer = ask(router, "GET", "/v1/addresses", headers={})
    assert answer.json()["addresses"][0] == str(router.address)
    assert answer.json()["keep_seconds"] == 0.1


def test_status_and_metrics_show_what_was_done():
    operator = {"Authorization": f"Bearer {scripted.OPERATOR_KEY}"}
    with scripted.run_router(gates=[echo]) as router:
        ask(router, "POST", "/v1/services/gate-desk/x")
        status = ask(router, "GET", "/v1/status", headers=operator)
        metrics = ask(router, "GET", "/metrics", headers={})
        refused = ask(router, "GET", "/v1/status")
    assert status.json()["router"] == "entry-1"
    assert status.json()["services"]["backends"]["opened"] == 1
    labels = 'account="gates",outcome="ran",service="gate-desk"'
    assert f"celeryspan_requests_total{{{labels}}} 1.0" in metrics.data.decode()
    assert refused.status == 401
