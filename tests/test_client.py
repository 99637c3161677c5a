"""The client library with routers and servers that fail."""

from __future__ import annotations

import contextlib
import importlib.util
import pathlib

import pytest

from celeryspan import client, errors, ids
from tests import scripted
from tests.services import test_caller, test_claims, test_streams

QUESTION = [{"role": "user", "content": "stands"}]

fleet = test_claims.fleet


@pytest.fixture(autouse=True)
def short_retry_delay(monkeypatch):
    monkeypatch.setattr(client, "RETRY_DELAY_SECONDS", 0.01)


def make_client(*routers, seconds=5.0):
    addresses = [str(router.address) for router in routers]
    return client.Client(addresses, scripted.KEY, seconds=seconds)


def test_call_chat_and_stream_return_answers():
    with scripted.run_router([test_caller.echo], [test_caller.generate]) as router:
        router.membership.members = [scripted.make_member("me", router.address)]
        caller = make_client(router)
        reply = caller.call("gate-desk", "/confirm", body=b"stand 12")
        assert (reply.status, reply.body) == (200, b"stand 12")
        assert caller.chat("planner-llm", QUESTION) == "stand 12 is free"
        assert "".join(caller.stream("planner-llm", QUESTION)) == "stand 12 is free"


def test_unreachable_router_is_replaced_by_another(fleet):
    gone = ids.Address("127.0.0.1", 1)
    for router in (fleet, fleet.second):
        router.membership.members = [
            scripted.make_member("gone", gone),
            scripted.make_member("entry-1", fleet.address),
        ]
    caller = make_client(fleet)
    for _ in range(4):
        assert caller.call("gate-desk", "/confirm").body == b"confirmed"
    assert test_claims.count_runs(fleet) == 4


def test_retry_after_a_lost_answer_runs_once(fleet):
    """Guards against a booking that is made twice.

    The connection closes after the gate desk has confirmed and before the answer
    arrives; a retry without the ticket would run again.
    """
    cut = iter([True])

    def relay(connection, received):
        if received.line.startswith("GET /v1/addresses"):
            answer = test_caller.ask(fleet, "GET", received.line.split()[1], headers={})
            body = answer.data.replace(
                str(fleet.address).encode(), str(proxy.address).encode()
            )
            scripted.write_answer(connection, body)
            return True
        headers = {"Authorization": received.headers["authorization"]}
        headers["Celeryspan-Ticket"] = received.headers["celeryspan-ticket"]
        answer = test_caller.ask(
            fleet, "POST", received.line.split()[1], headers=headers, body=received.body
        )
        if next(cut, False):
            return False
        scripted.write_answer(connection, answer.data)
        return True

    proxy = scripted.Server(relay)
    fleet.membership.members = [scripted.make_member("entry-1", fleet.address)]
    caller = client.Client([str(proxy.address)], scripted.KEY, seconds=5)
    assert caller.call("gate-desk", "/confirm").body == b"confirmed"
    assert test_claims.count_runs(fleet) == 1
    proxy.close()


def test_refused_call_raises_not_run_and_a_later_call_succeeds(fleet):
    fleet.membership.members = [scripted.make_member("entry-1", fleet.address)]
    caller = make_client(fleet, seconds=0.5)
    servers, fleet.dispatch.servers = fleet.dispatch.servers, []
    with pytest.raises(errors.NotRun):
        caller.call("gate-desk", "/confirm")
    fleet.dispatch.servers = servers
    assert caller.call("gate-desk", "/confirm").body == b"confirmed"


def test_lost_answer_raises_outcome_unknown(fleet):
    fleet.membership.members = [scripted.make_member("entry-1", fleet.address)]
    fleet.gates[0].script = lambda connection, received: False
    with pytest.raises(errors.OutcomeUnknown):
        make_client(fleet).call("gate-desk", "/confirm")
    assert test_claims.count_runs(fleet) == 1


def test_incomplete_stream_raises_answer_unavailable():
    def cut_posts(connection, received):
        return received.line.startswith("POST") and test_streams.cut(
            connection, received
        )

    with scripted.run_router(engines=[cut_posts]) as router:
        router.membership.members = [scripted.make_member("me", router.address)]
        texts = []
        with pytest.raises(errors.AnswerUnavailable):
            texts.extend(make_client(router).stream("planner-llm", QUESTION))
    assert "".join(texts) in ("", "one two ")


def test_client_example_runs(capsys):
    path = pathlib.Path(__file__).parent.parent / "examples" / "client_example.py"
    spec = importlib.util.spec_from_file_location("client_example", path)
    example = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(example)
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(
            scripted.run_router([test_caller.echo], [test_caller.generate])
        )
        router.membership.members = [scripted.make_member("me", router.address)]
        assert example.run([str(router.address)], scripted.KEY) == 0
    assert "stand 12" in capsys.readouterr().out
