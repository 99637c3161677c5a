"""Requests that come again, through the same router or another."""

from __future__ import annotations

import contextlib
import threading
import time

import pytest

from celeryspan import ids
from tests import fakes, scripted
from tests.services import test_caller

PATH = "/v1/services/gate-desk/confirm"


def confirm(connection, received):
    scripted.write_answer(connection, b"confirmed")
    return True


@pytest.fixture
def fleet():
    """Two routers that know each other, one gate desk and one object API."""
    with contextlib.ExitStack() as stack:
        store = fakes.Store()
        first = stack.enter_context(scripted.run_router([confirm], store=store))
        second = stack.enter_context(scripted.run_router(store=store, router="entry-2"))
        second.configuration.value = first.configuration.value
        second.dispatch.servers = first.dispatch.servers
        first.second = second
        first.store = store
        second.membership.incarnation = ids.Incarnation(9)
        for router in (first, second):
            router.membership.members = [
                scripted.make_member("entry-1", first.address, 7),
                scripted.make_member("entry-2", second.address, 9),
            ]
        yield first


def ask(router, body="stand 12", key=scripted.KEY, **names):
    headers = {"Authorization": f"Bearer {key}"}
    headers |= {name.replace("_", "-"): value for name, value in names.items()}
    answer = test_caller.ask(router, "POST", PATH, headers=headers, body=body)
    return answer.status, answer.headers["Celeryspan-Outcome"], answer


def take_ticket(router):
    answer = test_caller.ask(router, "GET", "/v1/addresses?tickets=1", headers={})
    (ticket,) = answer.json()["tickets"]
    return ticket


def wait_for_publishing(store):
    """Wait until an answer stands beside its claim: that comes after the caller's."""
    while not any(version > 1 for _, version in list(store.values.values())):
        time.sleep(0.01)


def count_runs(router):
    return len(router.gates[0].received)


def test_a_ticket_repeated_through_another_router_runs_once(fleet):
    """A handler hears no answer, and her phone asks again through another router.

    The first router had run the request; the answer was lost on the way. The second
    router knows nothing of it.
    """
    ticket = take_ticket(fleet)
    assert ask(fleet, Celeryspan_Ticket=ticket)[:2] == (200, "ran")
    status, outcome, answer = ask(fleet.second, Celeryspan_Ticket=ticket)
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert answer.headers["Celeryspan-Repeat"] == "1"
    assert count_runs(fleet) == 1


def test_a_request_passed_on_does_not_stay_in_progress(fleet):
    """A router that is stopped for an upgrade waits for requests that ended long ago.

    One that another router passed on takes over that router's id after it was noted
    as in progress under its own.
    """
    ask(fleet.second, Celeryspan_Ticket=take_ticket(fleet))
    for router in (fleet, fleet.second):
        router.drain.begin()
        assert not router.caller.in_progress


def test_a_ticket_of_a_restarted_router_is_unknown(fleet):
    """A booking was sent to a router that is then replaced; nobody else knows."""
    ticket = take_ticket(fleet)
    for router in (fleet, fleet.second):
        router.membership.members = router.membership.members[1:]
    fleet.membership.incarnation = ids.Incarnation(8)
    for router in (fleet, fleet.second):
        status, outcome, _ = ask(router, Celeryspan_Ticket=ticket)
        assert (status, outcome) == (502, "unknown")
    assert count_runs(fleet) == 0


def test_two_at_once_with_one_ticket_run_once(fleet):
    entered, leave = threading.Event(), threading.Event()

    def confirm_late(connection, received):
        entered.set()
        leave.wait(10)
        return confirm(connection, received)

    fleet.gates[0].script = confirm_late
    ticket = take_ticket(fleet)
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(ask(fleet, Celeryspan_Ticket=ticket)[2].data)
        )
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    entered.wait(10)
    leave.set()
    for thread in threads:
        thread.join()
    assert answers == [b"confirmed"] * 3
    assert count_runs(fleet) == 1


def test_a_refused_ticket_is_spent(fleet):
    """A copy of a request arrives after its caller was told "not run" and gave up."""
    ticket = take_ticket(fleet)
    servers, fleet.dispatch.servers = fleet.dispatch.servers, []
    assert ask(fleet, Celeryspan_Ticket=ticket)[:2] == (503, "not-run")
    fleet.dispatch.servers = servers
    assert ask(fleet, Celeryspan_Ticket=ticket)[:2] == (503, "not-run")
    assert count_runs(fleet) == 0


def test_a_name_is_bound_to_its_request_and_account(fleet):
    ticket = take_ticket(fleet)
    ask(fleet, Idempotency_Key="k")
    assert ask(fleet, body="other", Idempotency_Key="k")[:2] == (422, "not-run")
    ask(fleet, Celeryspan_Ticket=ticket)
    assert ask(fleet, body="other", Celeryspan_Ticket=ticket)[:2] == (422, "not-run")
    answer = ask(fleet, key=scripted.OTHER_KEY, Idempotency_Key="k")[2]
    assert "Celeryspan-Repeat" not in answer.headers


def test_a_key_repeated_through_another_router_runs_once(fleet):
    assert ask(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    status, outcome, answer = ask(fleet.second, Idempotency_Key="k")
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert count_runs(fleet) == 1


def test_the_answer_outlives_its_router_in_the_store(fleet):
    ask(fleet, Idempotency_Key="k")
    wait_for_publishing(fleet.store)
    fleet.second.membership.members = fleet.second.membership.members[1:]
    status, outcome, answer = ask(fleet.second, Idempotency_Key="k")
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert count_runs(fleet) == 1


def test_a_claim_whose_answer_was_lost_is_read_back(fleet):
    """The store wrote the claim, and its answer was lost.

    Taking the loss for a failure refuses the request for good; writing again finds
    the claim taken, by the router itself.
    """
    fleet.store.answers_lost = 1
    assert ask(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    fleet.second.membership.members = fleet.second.membership.members[1:]
    assert ask(fleet.second, Idempotency_Key="k")[:2] == (200, "ran")
    assert count_runs(fleet) == 1


def test_a_key_is_refused_while_the_store_is_down_and_runs_later(fleet):
    fleet.store.down = True
    status, outcome, answer = ask(fleet, Idempotency_Key="k")
    assert (status, outcome) == (503, "not-run")
    assert answer.headers["Retry-After"] == "5"
    fleet.store.down = False
    assert ask(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    assert count_runs(fleet) == 1


def test_a_claim_of_a_lost_router_is_never_taken_over(fleet):
    """A router claims a key, is paused, and its caller asks another one.

    If the other one took the claim over, the first would go on to send as well.
    """
    fleet.dispatch.full = True
    paused = threading.Thread(target=lambda: ask(fleet, Idempotency_Key="k"))
    paused.start()
    fleet.dispatch.waiting.wait(10)
    fleet.second.membership.members = fleet.second.membership.members[1:]
    assert ask(fleet.second, Idempotency_Key="k")[:2] == (502, "unknown")
    for event in fleet.dispatch.cancelled.values():
        event.set()
    paused.join()
    assert count_runs(fleet) == 0


def test_a_forwarded_request_needs_a_proof(fleet):
    answer = test_caller.ask(
        fleet,
        "POST",
        PATH,
        headers=test_caller.HEADERS | {"Celeryspan-Forwarded": "f1:entry-2:r1:00"},
    )
    assert (answer.status, answer.headers["Celeryspan-Outcome"]) == (400, "not-run")
