"""Tests requests that are repeated through the same router or another one."""

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
    """Start two routers that share a backend server and an object API."""
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


def send_request(router, body="stand 12", key=scripted.KEY, **names):
    headers = {"Authorization": f"Bearer {key}"}
    headers |= {name.replace("_", "-"): value for name, value in names.items()}
    answer = test_caller.ask(router, "POST", PATH, headers=headers, body=body)
    return answer.status, answer.headers["Celeryspan-Outcome"], answer


def take_ticket(router):
    answer = test_caller.ask(router, "GET", "/v1/addresses?tickets=1", headers={})
    (ticket,) = answer.json()["tickets"]
    return ticket


def wait_for_publishing(store):
    """Wait until an answer is stored with its claim, after the caller received it."""
    while not any(version > 1 for _, version in list(store.values.values())):
        time.sleep(0.01)


def count_runs(router):
    return len(router.gates[0].received)


def test_ticket_repeated_through_another_router_runs_once(fleet):
    """Guards against running a request twice when its first answer was lost.

    The caller repeats the request through a second router, which has no record of it.
    """
    ticket = take_ticket(fleet)
    assert send_request(fleet, Celeryspan_Ticket=ticket)[:2] == (200, "ran")
    status, outcome, answer = send_request(fleet.second, Celeryspan_Ticket=ticket)
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert answer.headers["Celeryspan-Repeat"] == "1"
    assert count_runs(fleet) == 1


def test_forwarded_request_does_not_stay_in_progress(fleet):
    """Guards against a drain that waits for requests that have already ended.

    A forwarded request takes over the id of the forwarding router after it was recorded
    as in progress under its own.
    """
    send_request(fleet.second, Celeryspan_Ticket=take_ticket(fleet))
    for router in (fleet, fleet.second):
        router.drain.begin()
        assert not router.caller.in_progress


def test_ticket_of_a_restarted_router_has_unknown_outcome(fleet):
    """Only the previous incarnation of the router knows whether the request ran."""
    ticket = take_ticket(fleet)
    for router in (fleet, fleet.second):
        router.membership.members = router.membership.members[1:]
    fleet.membership.incarnation = ids.Incarnation(8)
    for router in (fleet, fleet.second):
        status, outcome, _ = send_request(router, Celeryspan_Ticket=ticket)
        assert (status, outcome) == (502, "unknown")
    assert count_runs(fleet) == 0


def test_concurrent_requests_with_one_ticket_run_once(fleet):
    entered, release = threading.Event(), threading.Event()

    def confirm_after_release(connection, received):
        entered.set()
        release.wait(10)
        return confirm(connection, received)

    fleet.gates[0].script = confirm_after_release
    ticket = take_ticket(fleet)
    answers = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(
                send_request(fleet, Celeryspan_Ticket=ticket)[2].data
            )
        )
        for _ in range(3)
    ]
    for thread in threads:
        thread.start()
    entered.wait(10)
    release.set()
    for thread in threads:
        thread.join()
    assert answers == [b"confirmed"] * 3
    assert count_runs(fleet) == 1


def test_refused_ticket_cannot_be_used_again(fleet):
    """A delayed copy must not run after the caller received the outcome "not run"."""
    ticket = take_ticket(fleet)
    servers, fleet.dispatch.servers = fleet.dispatch.servers, []
    assert send_request(fleet, Celeryspan_Ticket=ticket)[:2] == (503, "not-run")
    fleet.dispatch.servers = servers
    assert send_request(fleet, Celeryspan_Ticket=ticket)[:2] == (503, "not-run")
    assert count_runs(fleet) == 0


def test_ticket_and_key_are_bound_to_request_and_account(fleet):
    ticket = take_ticket(fleet)
    send_request(fleet, Idempotency_Key="k")
    assert send_request(fleet, body="other", Idempotency_Key="k")[:2] == (
        422,
        "not-run",
    )
    send_request(fleet, Celeryspan_Ticket=ticket)
    assert send_request(fleet, body="other", Celeryspan_Ticket=ticket)[:2] == (
        422,
        "not-run",
    )
    answer = send_request(fleet, key=scripted.OTHER_KEY, Idempotency_Key="k")[2]
    assert "Celeryspan-Repeat" not in answer.headers


def test_key_repeated_through_another_router_runs_once(fleet):
    assert send_request(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    status, outcome, answer = send_request(fleet.second, Idempotency_Key="k")
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert count_runs(fleet) == 1


def test_published_answer_outlives_its_router(fleet):
    send_request(fleet, Idempotency_Key="k")
    wait_for_publishing(fleet.store)
    fleet.second.membership.members = fleet.second.membership.members[1:]
    status, outcome, answer = send_request(fleet.second, Idempotency_Key="k")
    assert (status, outcome, answer.data) == (200, "ran", b"confirmed")
    assert count_runs(fleet) == 1


def test_claim_is_read_back_after_a_lost_store_answer(fleet):
    """Guards against refusing a key whose claim was stored but not confirmed.

    If the router took the lost answer for a failure, the key would be refused for good;
    if it wrote again, it would find the key claimed by itself.
    """
    fleet.store.answers_lost = 1
    assert send_request(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    wait_for_publishing(fleet.store)
    fleet.second.membership.members = fleet.second.membership.members[1:]
    assert send_request(fleet.second, Idempotency_Key="k")[:2] == (200, "ran")
    assert count_runs(fleet) == 1


def test_key_is_refused_during_a_store_outage_and_runs_later(fleet):
    fleet.store.down = True
    status, outcome, answer = send_request(fleet, Idempotency_Key="k")
    assert (status, outcome) == (503, "not-run")
    assert answer.headers["Retry-After"] == "5"
    fleet.store.down = False
    assert send_request(fleet, Idempotency_Key="k")[:2] == (200, "ran")
    assert count_runs(fleet) == 1


def test_claim_of_an_unreachable_router_is_not_taken_over(fleet):
    """Guards against running a request twice when the owner of its key is suspended.

    If another router took over the claim, the owner would also send the request when it
    resumes.
    """
    fleet.dispatch.full = True
    paused = threading.Thread(target=lambda: send_request(fleet, Idempotency_Key="k"))
    paused.start()
    fleet.dispatch.waiting.wait(10)
    fleet.second.membership.members = fleet.second.membership.members[1:]
    assert send_request(fleet.second, Idempotency_Key="k")[:2] == (502, "unknown")
    for event in fleet.dispatch.cancelled.values():
        event.set()
    paused.join()
    assert count_runs(fleet) == 0


def test_forwarded_request_needs_a_valid_proof(fleet):
    answer = test_caller.ask(
        fleet,
        "POST",
        PATH,
        headers=test_caller.HEADERS | {"Celeryspan-Forwarded": "f1:entry-2:r1:00"},
    )
    assert (answer.status, answer.headers["Celeryspan-Outcome"]) == (400, "not-run")
