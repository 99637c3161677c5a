"""A TCP server scripted by tests, and a router with fakes of its other services."""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import itertools
import json
import socket
import threading
from collections.abc import Callable, Iterator

import msgspec

from celeryspan import configuration, ids, kernel, settings, states
from celeryspan.services import caller, drain
from celeryspan.wire import messages
from tests import fakes

KEY = "gate-desk-key"
OTHER_KEY = "airline-key"
OPERATOR_KEY = "operator-key"


@dataclasses.dataclass
class Received:
    """A request received by the scripted server."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def run(self) -> str:
        """The id of the run, if the server is an engine."""
        return json.loads(self.body)["request"]


Script = Callable[[socket.socket, Received], bool]


class Server:
    """Passes each request to a script, which returns whether to keep the connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[Received] = []
        self.closed = threading.Event()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._connections: list[socket.socket] = []
        self.address = ids.Address(*self._socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._socket.close()
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                self._connections.append(connection)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            reader = connection.makefile("rb")
            while (received := read_request(reader)) is not None:
                self.received.append(received)
                if not self.script(connection, received):
                    break
        self.closed.set()


def read_request(reader) -> Received | None:
    line = reader.readline().decode().strip()
    if not line:
        return None
    headers = {}
    while (header := reader.readline().decode().strip()) != "":
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Received(line, headers, body)


def write_answer(
    connection: socket.socket, body: bytes, status: str = "200 OK"
) -> None:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)


def write_head(connection: socket.socket) -> None:
    connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


def write_line(connection: socket.socket, **fields: object) -> None:
    line = json.dumps(fields).encode() + b"\n"
    connection.sendall(b"%x\r\n%b\r\n" % (len(line), line))


def write_tokens(connection: socket.socket, run: str, offset: int, *texts: str) -> None:
    write_line(connection, request=run, offset=offset, tokens=list(texts))


def write_done(connection: socket.socket, run: str, offset: int) -> None:
    write_line(
        connection,
        request=run,
        offset=offset,
        done=True,
        prompt_tokens=3,
        cached_tokens=1,
        finish_reason="stop",
    )
    connection.sendall(b"0\r\n\r\n")


def make_member(
    router: str, address: ids.Address, incarnation: int = 7, data_centre: str = "hala-a"
) -> messages.Member:
    return messages.Member(
        router=ids.RouterId(router),
        incarnation=ids.Incarnation(incarnation),
        state=states.MemberState.ALIVE,
        data_centre=ids.DataCentreId(data_centre),
        caller_address=address,
        peer_address=ids.Address("127.0.0.1", 1),
        generation=ids.Generation(1),
        refutations=0,
    )


def make_configuration(
    gates: list[ids.Address], engines: list[ids.Address]
) -> configuration.Configuration:
    def make_servers(service: str, addresses: list[ids.Address]) -> list[dict]:
        return [
            {
                "name": f"{service}-{number}",
                "service": service,
                "data_centre": "hala-a",
                "address": str(address),
            }
            for number, address in enumerate(addresses)
        ]

    return configuration.Configuration.model_validate(
        {
            "generation": 1,
            "register": {
                "firm": "vrbicky",
                "data_centres": [{"name": "hala-a", "region": "bohemia"}],
                "vms": [],
                "services": [
                    {"name": "gate-desk", "kind": "plain"},
                    {"name": "planner-llm", "kind": "model"},
                ],
                "servers": make_servers("gate-desk", gates)
                + make_servers("planner-llm", engines),
                "accounts": [
                    {"name": name, "key_hashes": [hash_key(key)]}
                    for name, key in (("gates", KEY), ("airline", OTHER_KEY))
                ],
            },
        }
    )


def hash_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def make_settings(**changes: object) -> settings.Settings:
    values = {
        "router": "entry-1",
        "data_centre": "hala-a",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store_address": "127.0.0.1:1",
        "fleet_keys": ["fleet-key"],
        "operator_key_hashes": [hash_key(OPERATOR_KEY)],
        "address_seconds": 0.1,
    }
    return msgspec.convert(values | changes, settings.Settings)


class Router:
    """A kernel with the services under test and fakes of the others."""

    def __init__(
        self,
        gates: list[Script] = (),
        engines: list[Script] = (),
        store: fakes.Store | None = None,
        **changes: object,
    ) -> None:
        self.gates = [Server(script) for script in gates]
        self.engines = [Server(script) for script in engines]
        value = make_configuration(
            [server.address for server in self.gates],
            [server.address for server in self.engines],
        )
        names = [f"gate-desk-{number}" for number in range(len(self.gates))]
        names += [f"planner-llm-{number}" for number in range(len(self.engines))]
        self.configuration = fakes.Configuration(value)
        self.dispatch = fakes.Dispatch([ids.ServerId(name) for name in names])
        self.membership = fakes.Membership()
        self.store = store or fakes.Store()
        self.container = kernel.Kernel(make_settings(**changes), self._make_registry())
        self.container.start(["drain"])
        self.caller: caller.Caller = self.container.find("caller")
        self.drain: drain.Drain = self.container.find("drain")
        self.address = self.caller.address

    def close(self) -> None:
        self.container.stop()
        for server in itertools.chain(self.gates, self.engines):
            server.close()

    def _make_registry(self) -> dict[str, kernel.Registration]:
        fake_services = {
            "configuration": self.configuration,
            "dispatch": self.dispatch,
            "membership": self.membership,
            "store": self.store,
        }
        registry = dict(kernel.REGISTRY)
        for name, fake in fake_services.items():
            registry[name] = kernel.Registration(lambda _container, fake=fake: fake, ())
        return registry


@contextlib.contextmanager
def run_router(*args: object, **kwargs: object) -> Iterator[Router]:
    router = Router(*args, **kwargs)
    try:
        yield router
    finally:
        router.close()
