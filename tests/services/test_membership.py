"""Routers on loopback find each other, and lose each other, by datagrams."""

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
    boxes: list[kernel.Kernel] = []

    def start(name: str, **fields: object) -> kernel.Kernel:
        peers = tuple(box.settings.peer_address for box in boxes[:1])
        fields = {"peers": peers, **fields}
        boxes.append(support.start_kernel(["membership"], name, **fields))
        return boxes[-1]

    yield start
    for box in boxes:
        box.stop()


def names(box: kernel.Kernel) -> set[str]:
    members = box.find("membership").alive()
    return {member.router for member in members if member.state in membertable.PRESENT}


def test_routers_without_state_find_each_other_through_one(fleet) -> None:
    boxes = [fleet(name) for name in "abcd"]
    for box in boxes:
        support.wait_until(lambda box=box: names(box) == set("abcd"))


def test_leaving_router_takes_no_part_and_is_gone_after_its_stop(fleet) -> None:
    boxes = [fleet(name) for name in "abc"]
    support.wait_until(lambda: all(names(box) == set("abc") for box in boxes))
    leaving = boxes[2].find("membership")
    leaving.leave()
    support.wait_until(lambda: all(names(box) == set("ab") for box in boxes))
    boxes[2].stop()
    support.wait_until(
        lambda: boxes[0].find("membership").find("c").state is states.MemberState.DEAD
    )


def test_handlers_hear_of_a_restart_as_a_new_incarnation(fleet) -> None:
    first, second = fleet("a"), fleet("b")
    heard: list[list[messages.Member]] = []
    first.find("membership").subscribe(heard.append)
    support.wait_until(lambda: names(first) == set("ab"))
    before = first.find("membership").find("b").incarnation
    second.stop()
    support.wait_until(lambda: names(first) == {"a"})
    again = kernel.Kernel(second.settings)
    again.start(["membership"])
    try:
        support.wait_until(lambda: names(first) == set("ab"))
        assert first.find("membership").find("b").incarnation > before
        support.wait_until(lambda: bool(heard) and len(heard[-1]) == 2)
    finally:
        again.stop()


def test_garbage_at_the_peer_port_crashes_nothing(fleet) -> None:
    """A stranger writes anything to the port, or what a router with the key might.

    The second kind passes the keyed hash and reaches the decisions.
    """
    target = fleet("a")
    channel = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = support.peer_address(target)

    @hypothesis.given(strategies.binary(max_size=300), strategies.booleans())
    def send(data: bytes, proven: bool) -> None:
        datagram = proofs.sign_datagram("secret", data) if proven else data
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


def test_router_whose_clock_went_back_takes_part_again(fleet, monkeypatch) -> None:
    """A VM is restarted and its clock is an hour slow; its peers ignore it.

    They hold its new life for one that ended before the life they know. It hears
    of the higher incarnation and takes the next one.
    """
    first = fleet("a")
    second = fleet("b")
    support.wait_until(lambda: names(first) == set("ab"))
    before = first.find("membership").find("b").incarnation
    second.stop()
    again = kernel.Kernel(second.settings)
    monkeypatch.setattr("time.time_ns", lambda: (before - 3_600_000_000) * 1000)
    again.start(["membership"])
    try:
        support.wait_until(lambda: again.find("membership").incarnation > before)
        support.wait_until(lambda: names(first) == set("ab"))
    finally:
        again.stop()
