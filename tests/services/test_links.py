"""Tests for links between routers: authentication, loss, malformed data, silence."""

from __future__ import annotations

import random
import socket

import pytest

from celeryspan import ids, kernel
from celeryspan.services import connections
from celeryspan.wire import messages
from tests.services import support


class Pair:
    """Two routers with each other's address, and the messages the second received."""

    def __init__(self, keys: tuple[tuple[str, ...], tuple[str, ...]]) -> None:
        self.containers: list[kernel.Kernel] = []
        self.received: list[messages.Message] = []
        for name, fleet_keys in zip(("a", "b"), keys, strict=True):
            container = support.start_kernel(["links"], name, fleet_keys=fleet_keys)
            self.containers.append(container)
        self.first, self.second = (
            container.find("links") for container in self.containers
        )
        self.first.set_address("b", support.peer_address(self.containers[1]))
        self.second.set_address("a", support.peer_address(self.containers[0]))
        for kind in (messages.Demand, messages.Grant, messages.Probe):
            self.second.subscribe(kind, self._record)

    def _record(self, peer: str, incarnation: int, message: messages.Message) -> None:
        assert peer == "a"
        assert incarnation == self.containers[0].find("identity").incarnation
        self.received.append(message)

    def stop(self) -> None:
        for container in self.containers:
            container.stop()


@pytest.fixture
def make_pair():
    pairs: list[Pair] = []

    def make(*keys: tuple[str, ...]) -> Pair:
        pairs.append(Pair(keys or (("secret",), ("secret",))))
        return pairs[-1]

    yield make
    for pair in pairs:
        pair.stop()


def make_demand(waiting: int) -> messages.Demand:
    return messages.Demand("planner-llm", "desk", waiting, 0.0, waiting, 1.0)


def test_messages_arrive_and_are_counted_by_kind(make_pair) -> None:
    pair = make_pair()
    grants = [messages.Grant(n, "gpu-1", "planner-llm", "desk", 1.0) for n in range(9)]
    for grant in grants:
        pair.first.send("b", grant)
    support.wait_until(lambda: len(pair.received) == 9)
    assert pair.received == grants
    sent = pair.first.report()["sent"]["grant"]
    assert sent["messages"] == 9
    assert sent["bytes"] > 0


def test_keys_may_differ_while_one_is_shared(make_pair) -> None:
    """Guards against refused links while operators rotate the fleet key per router."""
    pair = make_pair(("old", "new"), ("new", "old"))
    pair.first.send("b", make_demand(1))
    support.wait_until(lambda: pair.received == [make_demand(1)])


def test_peer_with_wrong_key_is_refused_and_counted(make_pair) -> None:
    pair = make_pair(("guess",), ("secret",))
    pair.first.send("b", make_demand(1))
    support.wait_until(lambda: pair.first.report()["refused"] > 0)
    assert pair.received == []
    assert pair.first.report()["links"] == []


def test_malformed_data_at_the_peer_port_is_tolerated(make_pair) -> None:
    """Guards against a port scanner or faulty sender that breaks the peer port."""
    pair = make_pair()
    generator = random.Random(6)
    address = support.peer_address(pair.containers[1])
    for size in (0, 1, 4, 5, 200, 5_000):
        with socket.create_connection(address) as channel:
            channel.sendall(generator.randbytes(size))
    pair.first.send("b", make_demand(1))
    support.wait_until(lambda: pair.received == [make_demand(1)])


class Relay:
    """Forwards connections; can silently drop the data of the first one."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.drops_data = False
        self.accepted = 0
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self._run(self._accept)

    def _run(self, task, *arguments: object) -> None:
        connections.threading.Thread(target=task, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            upstream = socket.create_connection(self._target)
            self.accepted += 1
            flags = {"drops_data": False, "first": self.accepted == 1}
            self._run(self._copy, client, upstream, flags)
            self._run(self._copy, upstream, client, flags)

    def _copy(self, source, sink, flags: dict[str, bool]) -> None:
        try:
            while data := source.recv(65_536):
                if not (self.drops_data and flags["first"]):
                    sink.sendall(data)
        except OSError:
            pass


def test_silent_link_is_replaced_and_its_state_sent_again(
    make_pair, monkeypatch
) -> None:
    """Guards against a withdrawn demand that is lost, so that its home sends on grants.

    A device between two routers drops the state of their connection: data written to
    it is lost without an error, while new connections work. Missing heartbeats reveal
    this; the link is replaced and the states that may be lost are sent again.
    """
    monkeypatch.setattr(connections, "HEARTBEAT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(connections, "SILENCE_TIMEOUT_SECONDS", 0.35)
    pair = make_pair()
    relay = Relay(support.peer_address(pair.containers[1]))
    pair.first.set_address("b", ids.Address(*relay.address))
    pair.first.send("b", make_demand(3))
    support.wait_until(lambda: make_demand(3) in pair.received)
    relay.drops_data = True
    pair.first.send("b", make_demand(0))
    support.wait_until(lambda: make_demand(0) in pair.received)
    assert relay.accepted >= 2


def test_link_to_a_restarted_peer_is_reopened(make_pair) -> None:
    pair = make_pair()
    pair.first.send("b", make_demand(1))
    support.wait_until(lambda: len(pair.received) == 1)
    settings = pair.containers[1].settings
    pair.containers[1].stop()
    restarted = kernel.Kernel(settings)
    restarted.start(["links"])
    pair.containers[1] = restarted
    restarted.find("links").subscribe(messages.Demand, pair._record)
    pair.first.send("b", make_demand(2))
    support.wait_until(lambda: make_demand(2) in pair.received)
