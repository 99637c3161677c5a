"""Faults at every step of a request, held against what the servers did."""

from __future__ import annotations

import time

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from celeryspan import calls, errors, ids, kernel, metrics, states
from celeryspan.adapters import backend
from celeryspan.services import requests
from tests import fakes, scripted

SERVERS = [ids.ServerId(f"gate-desk-{number}") for number in range(3)]

METERS = metrics.Metrics()

STEPS = strategies.sampled_from(
    [
        "refuse connection",
        "expire grant",
        "fail before first byte",
        "cut while sending",
        "cut after sending",
        "run, cut before answer",
        "decline",
        "run, cut the body",
        "program fault",
        "answer",
    ]
)


class Link:
    """A link that knows whether it was kept or closed."""

    def __init__(self, server: ids.ServerId) -> None:
        self.server = server
        self.sock = None
        self.timeout = 0.0
        self.closed = False

    def close(self) -> None:
        self.closed = True


class World:
    """Servers that follow a list of faults, one for each attempt."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = iter(faults)
        self.fault = "answer"
        self.links: list[Link] = []
        self.kept: list[Link] = []
        self.exposures = 0
        self.runs = 0

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def connect(self, server: ids.ServerId, *, fresh: bool) -> Link:
        self.fault = next(self.faults, "answer")
        if self.fault == "refuse connection":
            raise errors.NotRun("refused", code="server-unreachable", step="connect")
        self.links.append(Link(server))
        return self.links[-1]

    def release(self, link: Link) -> None:
        self.kept.append(link)

    def send(self, link: Link, call: calls.Call, run: ids.RequestId) -> None:
        self.exposures += 1
        if self.fault == "program fault":
            raise RuntimeError("a fault of this program")
        if self.fault in ("fail before first byte", "cut while sending"):
            raise ConnectionResetError
        self.runs += self.fault in (
            "run, cut before answer",
            "run, cut the body",
            "answer",
        )

    def receive(self, link: Link):
        if self.fault == "decline":
            self.exposures -= 1
            raise backend.Declined("leaving", step="send", peer=link.server)
        if self.fault in ("cut after sending", "run, cut before answer"):
            raise ConnectionResetError
        return backend.Head(200, ()), self.read_body()

    def read_body(self):
        yield b"half"
        if self.fault == "run, cut the body":
            raise ConnectionResetError
        yield b" and half"


class Dispatch(fakes.Dispatch):
    """Gives slots that expire when the world says so."""

    def __init__(self, world: World) -> None:
        super().__init__(SERVERS)
        self.world = world

    def acquire(self, work):
        slot = super().acquire(work)
        slot.use = self.use
        return slot

    def use(self) -> None:
        if self.world.fault == "expire grant":
            raise errors.NotRun("expired", code="grant-expired", step="send")


def make_service(world: World, dispatch: Dispatch) -> requests.Requests:
    box = kernel.Kernel(scripted.make_settings(), {})
    services = {"dispatch": dispatch, "backends": world, "metrics": METERS}
    box._services = services
    service = requests.Requests(box)
    service.sleep = lambda seconds: None
    service._plain = world
    return service


def make_call(idempotent: bool) -> calls.Call:
    return calls.Call(
        request=ids.RequestId("r1"),
        service=ids.ServiceId("gate-desk"),
        account=ids.AccountId("gates"),
        idempotent=idempotent,
        deadline=time.monotonic() + 60,
    )


@hypothesis.settings(max_examples=300)
@hypothesis.given(idempotent=strategies.booleans(), faults=strategies.lists(STEPS))
def test_callers_are_told_the_truth_under_all_faults(idempotent, faults) -> None:
    """A ground handler is told "not run", asks again, and two tugs come.

    A server reads the request, the connection is cut, and the router takes the cut
    for a refusal, or tries a second server on its own.
    """
    world = World(faults)
    dispatch = Dispatch(world)
    service = make_service(world, dispatch)
    try:
        answer = service.call_plain(make_call(idempotent))
        assert answer.first == b"half and half"
        told = states.Outcome.RAN
    except errors.RequestError as error:
        told = error.outcome
    if told is states.Outcome.NOT_RUN:
        assert world.runs == world.exposures == 0
    if told is states.Outcome.RAN:
        assert world.runs >= 1
    if not idempotent:
        assert world.exposures <= 1
        assert world.runs <= 1
    assert all(len(slot.endings) == 1 for slot in dispatch.slots)
    assert all(link.closed or link in world.kept for link in world.links)
    assert all(not link.closed for link in world.kept)


def test_a_router_that_was_paused_past_the_deadline_sends_nothing() -> None:
    """A router is stopped with a slot in its hand, and goes on a minute later.

    Its caller has been told "unknown" and has called the tower; a clearance that runs
    now comes out of nowhere.
    """
    world = World([])
    dispatch = Dispatch(world)
    call = msgspec.structs.replace(make_call(False), deadline=time.monotonic() - 1)
    with pytest.raises(errors.NotRun, match="nobody waits"):
        make_service(world, dispatch).call_plain(call)
    assert world.exposures == 0
    assert len(dispatch.slots[0].endings) == 1
