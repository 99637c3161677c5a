"""Faults at every step of a request, compared with what the servers did."""

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
        "internal error",
        "answer",
    ]
)


class Link:
    """A link that records whether it was closed."""

    def __init__(self, server: ids.ServerId) -> None:
        self.server = server
        self.sock = None
        self.timeout = 0.0
        self.closed = False

    def close(self) -> None:
        self.closed = True


class FaultyBackends:
    """Backends and adapter with a list of faults, one for each attempt."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = iter(faults)
        self.fault = "answer"
        self.links: list[Link] = []
        self.kept: list[Link] = []
        self.sends = 0
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
        self.sends += 1
        if self.fault == "internal error":
            raise RuntimeError("internal error")
        if self.fault in ("fail before first byte", "cut while sending"):
            raise ConnectionResetError
        self.runs += self.fault in (
            "run, cut before answer",
            "run, cut the body",
            "answer",
        )

    def receive(self, link: Link):
        if self.fault == "decline":
            self.sends -= 1
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
    """Grants slots that expire if the current fault is an expired grant."""

    def __init__(self, faulty: FaultyBackends) -> None:
        super().__init__(SERVERS)
        self.faulty = faulty

    def acquire(self, work):
        slot = super().acquire(work)
        slot.use = self.use
        return slot

    def use(self) -> None:
        if self.faulty.fault == "expire grant":
            raise errors.NotRun("expired", code="grant-expired", step="send")


def make_service(faulty: FaultyBackends, dispatch: Dispatch) -> requests.Requests:
    container = kernel.Kernel(scripted.make_settings(), {})
    services = {"dispatch": dispatch, "backends": faulty, "metrics": METERS}
    container._services = services
    service = requests.Requests(container)
    service.sleep = lambda seconds: None
    service._plain = faulty
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
def test_reported_outcome_is_correct_under_all_faults(idempotent, faults) -> None:
    """A server reads the request, then the connection is cut.

    Guards against a router that treats the cut as a refusal, or that tries another
    server on its own. Either way the request can run twice: the caller is told "not
    run" and repeats it, or the router does.
    """
    faulty = FaultyBackends(faults)
    dispatch = Dispatch(faulty)
    service = make_service(faulty, dispatch)
    try:
        answer = service.call_plain(make_call(idempotent))
        assert answer.first_part == b"half and half"
        reported = states.Outcome.RAN
    except errors.RequestError as error:
        reported = error.outcome
    if reported is states.Outcome.NOT_RUN:
        assert faulty.runs == faulty.sends == 0
    if reported is states.Outcome.RAN:
        assert faulty.runs >= 1
    if not idempotent:
        assert faulty.sends <= 1
        assert faulty.runs <= 1
    assert all(len(slot.endings) == 1 for slot in dispatch.slots)
    assert all(link.closed or link in faulty.kept for link in faulty.links)
    assert all(not link.closed for link in faulty.kept)


def test_a_router_that_was_paused_past_the_deadline_sends_nothing() -> None:
    """A router is paused after it got a slot and resumes a minute later.

    Guards against sending the request then: the caller has been told "unknown" and has
    handled the matter otherwise, so that a late run has unexpected effects.
    """
    faulty = FaultyBackends([])
    dispatch = Dispatch(faulty)
    call = msgspec.structs.replace(make_call(False), deadline=time.monotonic() - 1)
    with pytest.raises(errors.NotRun, match="nobody waits"):
        make_service(faulty, dispatch).call_plain(call)
    assert faulty.sends == 0
    assert len(dispatch.slots[0].endings) == 1
