"""Tests for the membership protocol between routers on loopback."""

from __future__ import annotations

import socket

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import kernel, states
from celeryspan.decisions import membertable
from celeryspan.wire import codec, messages, proofs
from tests.services import support


@pytest.fixture
def fleet():
    containers: list[kernel.Kernel] = []

    def start(name: str, **fields: object) -> kernel.Kernel:
        peers = tuple(container.settings.peer_address for container in containers[:1])
        fields = {"peers": peers, **fields}
        containers.append(support.start_kernel(["membership"], name, **fields))
        return containers[-1]

    yield start
    for container in containers:
        container.stop()


def names(container: kernel.Kernel) -> set[str]:
    members = container.find("membership").alive()
    return {member.router for member in members if member.state in membertable.PRESENT}


def test_routers_discover_each_other_through_one_seed(fleet) -> None:
    containers = [fleet(name) for name in "abcd"]
    for container in containers:
        support.wait_until(lambda container=container: names(container) == set("abcd"))


def test_leaving_router_is_not_present_and_is_dead_after_its_stop(fleet) -> None:
    containers = [fleet(name) for name in "abc"]
    support.wait_until(
        lambda: all(names(container) == set("abc") for container in containers)
    )
    leaving = containers[2].find("membership")
    leaving.leave()
    support.wait_until(
        lambda: all(names(container) == set("ab") for container in containers)
    )
    containers[2].stop()
    support.wait_until(
        lambda: (
            containers[0].find("membership").find("c").state is states.MemberState.DEAD
        )
    )


def test_handlers_see_a_restart_as_a_new_incarnation(fleet) -> None:
    first, second = fleet("a"), fleet("b")
    notified: list[list[messages.Member]] = []
    first.find("membership").subscribe(notified.append)
    support.wait_until(lambda: names(first) == set("ab"))
    before = first.find("membership").find("b").incarnation
    second.stop()
    support.wait_until(lambda: names(first) == {"a"})
    restarted = kernel.Kernel(second.settings)
    restarted.start(["membership"])
    try:
        support.wait_until(lambda: names(first) == set("ab"))
        assert first.find("membership").find("b").incarnation > before
        support.wait_until(lambda: bool(notified) and len(notified[-1]) == 2)
    finally:
        restarted.stop()


def test_malformed_datagrams_at_the_peer_port_are_tolerated(fleet) -> None:
    """Guards against malformed datagrams that crash a router.

    Some carry a valid keyed hash, as from a faulty router with the key; these reach
    the decoder and the membership protocol.
    """
    target = fleet("a")
    channel = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = support.peer_address(target)

    @hypothesis.given(strategies.binary(max_size=300), strategies.booleans())
    def send(data: bytes, is_signed: bool) -> None:
        datagram = proofs.sign_datagram("secret", data) if is_signed else data
        channel.sendto(datagram, address)

    send()
    channel.sendto(
        proofs.sign_datagram("secret", codec.encode(messages.Frame("x", 1, 1, ()))),
        address,
    )
    channel.close()
    other = fleet("b")
    support.wait_until(lambda: names(target) == names(other) == set("ab"))
    assert target.find("datagrams").report()["refused"] > 0


def test_router_whose_clock_went_back_rejoins(fleet, monkeypatch) -> None:
    """Guards against a restarted router that its peers ignore as an old incarnation.

    Its clock is an hour behind after the restart, so that its incarnation is lower
    than before. It receives the higher one from its peers and takes the next.
    """
    first = fleet("a")
    second = fleet("b")
    support.wait_until(lambda: names(first) == set("ab"))
    before = first.find("membership").find("b").incarnation
    second.stop()
    restarted = kernel.Kernel(second.settings)
    monkeypatch.setattr("time.time_ns", lambda: (before - 3_600_000_000) * 1000)
    restarted.start(["membership"])
    try:
        support.wait_until(lambda: restarted.find("membership").incarnation > before)
        support.wait_until(lambda: names(first) == set("ab"))
    finally:
        restarted.stop()
