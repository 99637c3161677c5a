"""What goes on, and what is refused, while the object API fails."""

from __future__ import annotations

import json

import pytest
import urllib3

from celeryspan import errors
from celeryspan.decisions import circuitbreaker
from standins import fleet as fleets, store
from tests.services import support

PLAN = fleets.FleetOptions(
    accounts=("desk",), routers=2, engines=0, gates=1, work_seconds=0.0
)


@pytest.fixture
def standin():
    made = store.Store()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def service(standin):
    box = support.start_kernel(["store"], "a", store_address=str(standin.address))
    yield box.find("store")
    box.stop()


def count_calls(standin: store.Store) -> int:
    return sum(standin.calls.values())


def test_long_outage_costs_one_call_now_and_then(standin, service) -> None:
    """The store is down for long; requests that need it wait a timeout each.

    Soon all threads of the router wait, and requests that need no store wait too.
    """
    standin.control(down=True)
    with pytest.raises(errors.StoreUnavailable):
        service.get("key")
    before = count_calls(standin)
    refused = 0
    for _ in range(200):
        try:
            service.get("key")
        except errors.StoreNotAsked:
            refused += 1
        except errors.StoreUnavailable:
            pass
    assert refused >= 190
    assert count_calls(standin) - before <= 10
    assert not service.reachable


def test_short_outage_ends_by_itself(standin, service) -> None:
    service.create("key", b"value")
    standin.control(down=True)
    with pytest.raises(errors.StoreUnavailable):
        service.get("key")
    standin.control(down=False)

    def works() -> bool:
        try:
            return service.get("key")[0] == b"value"
        except errors.StoreUnavailable:
            return False

    support.wait_until(works)
    assert service.reachable


def test_slow_store_is_waited_for(standin, service) -> None:
    standin.control(slow_seconds=0.3)
    version = service.create("key", b"value")
    assert service.get("key") == (b"value", version)
    assert service.reachable


def test_lost_answer_is_not_told_as_failure_of_the_write(standin, service) -> None:
    """A write takes effect and its answer is lost; the writer must not repeat it."""
    standin.control(lose_answers=1)
    with pytest.raises(errors.StoreUnavailable) as caught:
        service.create("key", b"value")
    assert not isinstance(caught.value, errors.StoreNotAsked)
    support.wait_until(lambda: service._breaker.try_acquire(1e12))
    assert service.client.get("key")[0] == b"value"
    with pytest.raises(errors.Conflict):
        service.client.create("key", b"other")


def test_background_is_held_to_its_budget(standin, service) -> None:
    for _ in range(int(circuitbreaker.BURST_CALLS)):
        service.list_keys("none/", background=True)
    with pytest.raises(errors.StoreNotAsked):
        for _ in range(5):
            service.list_keys("none/", background=True)
    service.list_keys("none/")


def test_serving_goes_on_and_writes_are_refused_truthfully() -> None:
    """The store goes down under a working fleet; ground handlers notice nothing.

    Only a call with the caller's own key needs the store: it is refused, not run.
    """
    made = fleets.Fleet(PLAN)
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
    """Send one call to the plain service."""
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
