"""Scheduling services of several routers in one process, on a fake network."""

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

REGISTERED_MODULES = (assignment, counters, delivery, dispatch_service, homes, outliers)
REAL_SERVICES = ("assignment", "counters", "delivery", "dispatch", "homes", "outliers")
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
    """Delivers messages between routers, except to and from partitioned ones."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.partitioned: set[str] = set()

    def notify_membership(self, *first: str) -> None:
        """Notify all routers of the current membership, those named first."""
        others = [name for name in self.routers if name not in first]
        for name in (*first, *others):
            for handler in self.routers[name].membership_handlers:
                handler()
            for router in self.routers.values():
                router.inbox.join()


class Router:
    """One router with real scheduling services; all others are fakes."""

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
        for key in REAL_SERVICES:
            registry[key] = kernel.REGISTRY[key]
        self.kernel = kernel.Kernel(None, registry)

    def start(self) -> None:
        """Start the scheduling services."""
        self.kernel.start(["dispatch", "homes"])

    def acquire(self, account: str, request: str, seconds: float = 10.0):
        """Wait for a slot for a request of an account."""
        work = dispatch.Work(
            request=ids.RequestId(request),
            service=ids.ServiceId("gate-desk"),
            account=ids.AccountId(account),
            deadline=time.monotonic() + seconds,
        )
        return self.kernel.find("dispatch").acquire(work)

    def receive(self, sender: Router, message: messages.Message) -> None:
        """Queue a message of a peer for the handlers."""
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
        if (
            peer not in self._network.partitioned
            and self.name not in self._network.partitioned
        ):
            self._network.routers[peer].receive(self, message)

    def _alive(self) -> list[messages.Member]:
        address = ids.Address("127.0.0.1", 1)
        return [
            messages.Member(
                ids.RouterId(name),
                router.incarnation,
                states.MemberState.ALIVE,
                ids.DataCentreId("hala-a"),
                address,
                address,
                ids.Generation(1),
                0,
            )
            for name, router in self._network.routers.items()
            if name not in self._network.partitioned
        ]

    def _make_fakes(self, config: object) -> dict[str, object]:
        lifecycle = {"start": lambda: None, "stop": lambda: None}
        return {
            "identity": types.SimpleNamespace(
                router=self.name, incarnation=self.incarnation, **lifecycle
            ),
            "configuration": types.SimpleNamespace(
                current=lambda: config,
                subscribe=lambda handler: handler(config),
                **lifecycle,
            ),
            "membership": types.SimpleNamespace(
                alive=self._alive,
                members=self._alive,
                subscribe=self.membership_handlers.append,
                **lifecycle,
            ),
            "links": types.SimpleNamespace(
                send=self._send,
                subscribe=lambda kind, handler: self._handlers[kind].append(handler),
                **lifecycle,
            ),
            "metrics": metrics.Metrics(),
            "vmlist": types.SimpleNamespace(
                leaving=lambda: frozenset(self._leaving),
                mark_leaving=self._leaving.add,
                **lifecycle,
            ),
        }
