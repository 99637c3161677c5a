"""Several routers' scheduling services in one process, on a fake network."""

from __future__ import annotations

import collections
import queue
import threading
import time
import types

from celeryspan import configuration, dispatch, ids, kernel, metrics, states
from celeryspan.services import (
    assignment,
    counters,
    delivery,
    dispatch as dispatch_service,
    homes,
    outliers,
)
from celeryspan.wire import messages

LOADED = (assignment, counters, delivery, dispatch_service, homes, outliers)
REAL = ("assignment", "counters", "delivery", "dispatch", "homes", "outliers")
KEY_HASH = "0" * 64


def make_configuration(slots: dict[str, int], accounts: list[str], **rules: object):
    """Return a configuration with one service and the given servers."""
    return configuration.Configuration.model_validate(
        {
            "generation": 1,
            "register": {
                "firm": "test",
                "data_centres": [{"name": "hala-a", "region": "here"}],
                "vms": [],
                "services": [{"name": "gate-desk", "kind": "plain"}],
                "servers": [
                    {
                        "name": name,
                        "service": "gate-desk",
                        "data_centre": "hala-a",
                        "address": "127.0.0.1:1",
                        "slots": count,
                    }
                    for name, count in slots.items()
                ],
                "accounts": [
                    {"name": name, "key_hashes": [KEY_HASH]} for name in accounts
                ],
            },
            "rules": rules,
        }
    )


class Network:
    """Carries messages between routers; any router can be cut off."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.cut: set[str] = set()

    def change(self, *order: str) -> None:
        """Let all routers see who is alive, some before the others."""
        rest = [name for name in self.routers if name not in order]
        for name in (*order, *rest):
            for handler in self.routers[name].membership_handlers:
                handler()
            for router in self.routers.values():
                router.inbox.join()


class Router:
    """One router with real scheduling services and fakes around them."""

    def __init__(
        self, name: str, network: Network, config: object, incarnation: int = 1
    ) -> None:
        self.name = ids.RouterId(name)
        self.incarnation = ids.Incarnation(incarnation)
        self.membership_handlers: list = []
        self._network = network
        self._handlers = collections.defaultdict(list)
        self.inbox: queue.Queue = queue.Queue()
        self._leaving: set[ids.ServerId] = set()
        network.routers[name] = self
        threading.Thread(target=self._read, daemon=True).start()
        fakes = self._make_fakes(config)
        registry = {
            key: kernel.Registration(lambda _, fake=fake: fake, ())
            for key, fake in fakes.items()
        }
        for key in REAL:
            registry[key] = kernel.REGISTRY[key]
        self.kernel = kernel.Kernel(None, registry)

    def start(self) -> None:
        """Start the services."""
        self.kernel.start(["dispatch", "homes"])

    def acquire(self, account: str, request: str, seconds: float = 10.0):
        """Wait for a slot."""
        work = dispatch.Work(
            request=ids.RequestId(request),
            service=ids.ServiceId("gate-desk"),
            account=ids.AccountId(account),
            deadline=time.monotonic() + seconds,
        )
        return self.kernel.find("dispatch").acquire(work)

    def receive(self, sender: Router, message: messages.Message) -> None:
        """Take a message of a peer."""
        self.inbox.put((sender, message))

    def _read(self) -> None:
        while True:
            sender, message = self.inbox.get()
            for handler in self._handlers[type(message)]:
                handler(sender.name, sender.incarnation, message)
            self.inbox.task_done()

    def _send(
        self, peer: str, message: messages.Message, *, is_urgent: bool = False
    ) -> None:
        if peer not in self._network.cut and self.name not in self._network.cut:
            self._network.routers[peer].receive(self, message)

    def _alive(self) -> list[messages.Member]:
        here = ids.Address("127.0.0.1", 1)
        return [
            messages.Member(
                ids.RouterId(name),
                router.incarnation,
                states.MemberState.ALIVE,
                ids.DataCentreId("hala-a"),
                here,
                here,
                ids.Generation(1),
                0,
            )
            for name, router in self._network.routers.items()
            if name not in self._network.cut
        ]

    def _make_fakes(self, config: object) -> dict[str, object]:
        nothing = {"start": lambda: None, "stop": lambda: None}
        return {
            "identity": types.SimpleNamespace(
                router=self.name, incarnation=self.incarnation, **nothing
            ),
            "configuration": types.SimpleNamespace(
                current=lambda: config,
                subscribe=lambda handler: handler(config),
                **nothing,
            ),
            "membership": types.SimpleNamespace(
                alive=self._alive,
                members=self._alive,
                subscribe=self.membership_handlers.append,
                **nothing,
            ),
            "links": types.SimpleNamespace(
                send=self._send,
                subscribe=lambda kind, handler: self._handlers[kind].append(handler),
                **nothing,
            ),
            "metrics": metrics.Metrics(),
            "vmlist": types.SimpleNamespace(
                leaving=lambda: frozenset(self._leaving),
                mark_leaving=self._leaving.add,
                **nothing,
            ),
        }
