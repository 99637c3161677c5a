"""The caller's library against routers that fail in turn."""

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
def hurry(monkeypatch):
    monkeypatch.setattr(client, "RETRY_SECONDS", 0.01)


def make_client(*routers, seconds=5.0):
    addresses = [str(router.address) for router in routers]
    return client.Client(addresses, scripted.KEY, seconds=seconds)


def test_a_call_and_a_stream():
    with scripted.run_router([test_caller.echo], [test_caller.generate]) as router:
        router.membership.members = [scripted.make_member("me", router.address)]
        asking = make_client(router)
        reply = asking.call("gate-desk", "/confirm", body=b"stand 12")
        assert (reply.status, reply.body) == (200, b"stand 12")
        assert asking.chat("planner-llm", QUESTION) == "stand 12 is free"
        assert "".join(asking.stream("planner-llm", QUESTION)) == "stand 12 is free"


def test_a_router_that_is_gone_is_left_for_another(fleet):
    gone = ids.Address("127.0.0.1", 1)
    for router in (fleet, fleet.second):
        router.membership.members = [
            scripted.make_member("gone", gone),
            scripted.make_member("entry-1", fleet.address),
        ]
    asking = make_client(fleet)
    for _ in range(4):
        assert asking.call("gate-desk", "/confirm").body == b"confirmed"
    assert test_claims.count_runs(fleet) == 4


def test_a_lost_answer_is_asked_for_again_and_runs_once(fleet):
    """The connection ends after the gate desk has confirmed, before the answer.

    A library that sends again without a name books a second time.
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
    asking = client.Client([str(proxy.address)], scripted.KEY, seconds=5)
    assert asking.call("gate-desk", "/confirm").body == b"confirmed"
    assert test_claims.count_runs(fleet) == 1
    proxy.close()


def test_what_is_not_run_is_said_so_and_tried_with_a_new_ticket(fleet):
    fleet.membership.members = [scripted.make_member("entry-1", fleet.address)]
    asking = make_client(fleet, seconds=0.5)
    servers, fleet.dispatch.servers = fleet.dispatch.servers, []
    with pytest.raises(errors.NotRun):
        asking.call("gate-desk", "/confirm")
    fleet.dispatch.servers = servers
    assert asking.call("gate-desk", "/confirm").body == b"confirmed"


def test_an_unknown_outcome_is_not_called_a_refusal(fleet):
    fleet.membership.members = [scripted.make_member("entry-1", fleet.address)]
    fleet.gates[0].script = lambda connection, received: False
    with pytest.raises(errors.OutcomeUnknown):
        make_client(fleet).call("gate-desk", "/confirm")
    assert test_claims.count_runs(fleet) == 1


def test_half_a_stream_is_not_taken_for_a_whole():
    def forget(connection, received):
        return received.line.startswith("POST") and test_streams.cut(
            connection, received
        )

    with scripted.run_router(engines=[forget]) as router:
        router.membership.members = [scripted.make_member("me", router.address)]
        texts = []
        with pytest.raises(errors.AnswerUnavailable):
            texts.extend(make_client(router).stream("planner-llm", QUESTION))
    assert "".join(texts) in ("", "one two ")


def test_the_example_runs(capsys):
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
