"""Tests for calls to the object API, and for serving, during outages of the store."""

from __future__ import annotations

import json

import pytest
import urllib3

from celeryspan import errors
from celeryspan.decisions import circuitbreaker
from standins import fleet as fleets, store
from tests.services import support

FLEET_PLAN = fleets.FleetOptions(
    accounts=("desk",), routers=2, engines=0, gates=1, work_seconds=0.0
)


@pytest.fixture
def store_standin():
    made = store.Store()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def service(store_standin):
    container = support.start_kernel(
        ["store"], "a", store_address=str(store_standin.address)
    )
    yield container.find("store")
    container.stop()


def count_calls(store_standin: store.Store) -> int:
    return sum(store_standin.calls.values())


def test_long_outage_costs_few_calls(store_standin, service) -> None:
    """Guards against a long store outage that blocks all threads of a router.

    If each request that needs the store waited for a timeout, requests that don't
    need it would soon find no free thread.
    """
    store_standin.control(down=True)
    with pytest.raises(errors.StoreUnavailable):
        service.get("key")
    before = count_calls(store_standin)
    refused = 0
    for _ in range(200):
        try:
            service.get("key")
        except errors.StoreNotAsked:
            refused += 1
        except errors.StoreUnavailable:
            pass
    assert refused >= 190
    assert count_calls(store_standin) - before <= 10
    assert not service.reachable


def test_calls_succeed_after_a_short_outage(store_standin, service) -> None:
    service.create("key", b"value")
    store_standin.control(down=True)
    with pytest.raises(errors.StoreUnavailable):
        service.get("key")
    store_standin.control(down=False)

    def works() -> bool:
        try:
            return service.get("key")[0] == b"value"
        except errors.StoreUnavailable:
            return False

    support.wait_until(works)
    assert service.reachable


def test_slow_store_counts_as_reachable(store_standin, service) -> None:
    store_standin.control(slow_seconds=0.3)
    version = service.create("key", b"value")
    assert service.get("key") == (b"value", version)
    assert service.reachable


def test_lost_answer_is_not_reported_as_a_write_without_effect(
    store_standin, service
) -> None:
    """Guards against a repeated write: it took effect, but its answer was lost."""
    store_standin.control(lose_answers=1)
    with pytest.raises(errors.StoreUnavailable) as caught:
        service.create("key", b"value")
    assert not isinstance(caught.value, errors.StoreNotAsked)
    support.wait_until(lambda: service._breaker.try_acquire(1e12))
    assert service.client.get("key")[0] == b"value"
    with pytest.raises(errors.Conflict):
        service.client.create("key", b"other")


def test_background_calls_are_limited_by_the_budget(store_standin, service) -> None:
    for _ in range(int(circuitbreaker.BURST_CALLS)):
        service.list_keys("none/", background=True)
    with pytest.raises(errors.StoreNotAsked):
        for _ in range(5):
            service.list_keys("none/", background=True)
    service.list_keys("none/")


def test_serving_continues_and_writes_are_refused_as_not_run() -> None:
    """Guards against a store outage that disturbs callers of a running fleet.

    Only a call with the caller's own idempotency key needs the store; it must be
    refused with the outcome ``not-run``.
    """
    made = fleets.Fleet(FLEET_PLAN)
    made.start()
    try:
        made.store.control(down=True)
        for address in made.addresses:
            for number in range(3):
                assert call(address, f"stand/{number}")[0] == 200
        status, outcome = call(made.addresses[0], "tow/1", Idempotency_Key="t-1")
        assert status == 503
        assert outcome["error"]["outcome"] == "not-run"
    finally:
        made.store.control(down=False)
        made.stop()


def call(address: object, path: str, **headers: str) -> tuple[int, dict]:
    """Send one call to the plain service and return its status and JSON body."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    answer = urllib3.request(
        "POST",
        f"http://{address}/v1/services/{fleets.GATE}/{path}",
        headers={"Authorization": "Bearer desk", **sent},
        body=b"{}",
        retries=False,
        timeout=20,
    )
    return answer.status, json.loads(answer.data)
