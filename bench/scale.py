"""The decisions of 1,300 nodes in one process, on a virtual clock at a scaled rate.

``python -m bench scale`` plays one minute of requests at a two-hundredth of the rate of
the letter over all its nodes, servers, accounts and models, and prints control bytes
and time in decisions for each node, scaled back to the full rate. Every message is
encoded and decoded in a frame of its own. A counter is counted for each home of its
model and delivered to a sample of them. Membership and configuration do not grow with
requests and are left to ``slopes``.
"""

from __future__ import annotations

import collections
import cProfile
import functools
import heapq
import itertools
import json
import pstats
import random
import time
from collections.abc import Callable

from bench import costs, sizing
from celeryspan import dispatch, ids
from celeryspan.decisions import admission, grants, homes, queueing, reporting, sharing
from celeryspan.wire import messages

SCALE = 200
SECONDS = 60.0
RATE = 140_000 / SCALE
END_SECONDS = 60.0
"""Time after the last arrival in which requests end: five times a mean one."""

MEAN_COST = 250.0
"""Tokens of a request: 35,000,000 / 140,000."""

LINK_SECONDS = 0.002
TOLD = 8
"""Homes to which a counter is delivered; it is counted for all."""

PROFILE_LINES = 12


class Node:
    """The decisions of one router."""

    def __init__(self, index: int) -> None:
        self.router = ids.RouterId(f"router-{index:04}")
        self.queues = queueing.Queues()
        self.admission = admission.Admission(self.queues)
        self.counters = sharing.Counters(self.router, costs.INCARNATION, lambda _: 1.0)
        self.ledger = grants.Ledger(self.router, costs.INCARNATION, self.counters)
        self.exchange = reporting.CounterReporter(reporting.ThresholdRule())
        self.sequence = 0
        self.told: dict[sharing.Key, set[ids.RouterId]] = {}


class Fleet:
    """All nodes, the messages between them and the time that decisions take.

    Attributes
    ----------
    control_bytes : float
        Bytes of all frames with their headers.
    seconds_by_call : Counter
        Processor time in decisions and codec, by function.
    """

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.nodes = [Node(index) for index in range(sizing.NODES)]
        self.by_router = {node.router: node for node in self.nodes}
        self.now = 0.0
        self.control_bytes = 0.0
        self.counter_bytes = 0.0
        self.seconds_by_call: collections.Counter[str] = collections.Counter()
        self.answered = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._homes: dict[ids.ServiceId, dict[ids.ServerId, ids.RouterId]] = {}
        self._place_servers()

    def run(self) -> None:
        """Play the minute and what is left of its requests."""
        at = 0.0
        while (at := at + self.rng.expovariate(RATE)) < SECONDS:
            self.at(at, self._arrive)
        for second in range(int(SECONDS)):
            self.at(float(second), self._tell_counters)
        while self._events and self._events[0][0] < SECONDS + END_SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def _place_servers(self) -> None:
        routers = list(self.by_router)
        for index in range(sizing.SERVERS):
            service = ids.ServiceId(f"model-{index % sizing.MODELS}")
            server = ids.ServerId(f"server-{index:05}")
            home = routers[self.rng.randrange(len(routers))]
            self._homes.setdefault(service, {})[server] = home
            self.by_router[home].ledger.add_server(server, service, 1, 0.0)

    def _decide(self, call: Callable, *arguments: object) -> object:
        began = time.process_time()
        result = call(*arguments)
        self.seconds_by_call[call.__qualname__] += time.process_time() - began
        return result

    def _send(self, message: messages.Message, handle: Callable) -> None:
        """Pass a message on in a frame of its own."""
        data = self._decide(costs.encode, message)
        self.control_bytes += len(data) + costs.LINK_BYTES
        self.at(self.now + LINK_SECONDS, functools.partial(self._take, data, handle))

    def _take(self, data: bytes, handle: Callable) -> None:
        handle(self._decide(costs.codec.decode, data).messages[0])

    def _arrive(self) -> None:
        """Admit a request at a random node; a few accounts send most."""
        node = self.rng.choice(self.nodes)
        account = costs.make_account_id(int(sizing.ACCOUNTS * self.rng.random() ** 2))
        service = ids.ServiceId(f"model-{self.rng.randrange(sizing.MODELS)}")
        request = ids.RequestId(f"request-{next(self._order)}")
        work = dispatch.Work(request, service, account, self.now + 60.0)
        jitter = self.rng.random()
        self._decide(node.admission.admit, work, 1000, MEAN_COST, self.now, jitter)
        found = self._homes[service]
        first = homes.pick_first_home(found, node.router, service, node.sequence)
        self._tell_demand(node, service, account, [first])
        again = functools.partial(self._widen, node, service, account, 0)
        self.at(self.now + reporting.ESCALATE_SECONDS, again)

    def _widen(
        self,
        node: Node,
        service: ids.ServiceId,
        account: ids.AccountId,
        attempt: int,
    ) -> None:
        """Tell a sample of homes as long as something waits, more rarely each time."""
        if not node.queues.waiting(service, account):
            return
        every = self._homes[service].values()
        told = self._decide(
            homes.sample_homes, set(every), node.router, service, attempt
        )
        self._tell_demand(node, service, account, told)
        again = functools.partial(self._widen, node, service, account, attempt + 1)
        self.at(self.now + reporting.RESAMPLE_SECONDS, again)

    def _tell_demand(self, node: Node, service, account, told) -> None:
        node.sequence += 1
        demand = self._decide(
            node.queues.demand, service, account, node.sequence, self.now
        )
        believers = node.told.setdefault((service, account), set())
        believers.update(told)
        if not demand.waiting:
            believers.clear()
        for router in told:
            home = self.by_router[router]
            self._send(demand, functools.partial(self._report, home, node))

    def _report(self, home: Node, node: Node, demand: messages.Demand) -> None:
        self._decide(home.ledger.update_demand, node.router, demand, self.now)
        self._issue(home)

    def _issue(self, home: Node) -> None:
        for issued in self._decide(home.ledger.issue, self.now):
            node = self.by_router[issued.router]
            self._send(issued.grant, functools.partial(self._use, node, home))

    def _use(self, node: Node, home: Node, grant: messages.Grant) -> None:
        entry = self._decide(
            node.queues.pick, grant.service, grant.account, grant.server, self.now
        )
        key = (grant.service, grant.account)
        if not node.queues.waiting(*key):
            self._tell_demand(node, *key, sorted(node.told.get(key, ())))
        name = (grant.grant, grant.server, grant.account)
        cost = 0.0 if entry is None else self.rng.expovariate(1 / MEAN_COST)
        ended = messages.GrantEnded(*name, cost)
        if entry is None:
            self._send(ended, functools.partial(self._ended, home, node))
            return
        used = messages.GrantUsed(*name, MEAN_COST)
        self._send(
            used,
            lambda one: self._decide(home.ledger.mark_used, node.router, one, self.now),
        )
        finish = functools.partial(self._finish, node, home, grant, entry, ended)
        self.at(self.now + cost * sizing.TOKEN_SECONDS, finish)

    def _finish(self, node: Node, home: Node, grant, entry, ended) -> None:
        self.answered += 1
        self._decide(node.queues.finish, entry.work.request, self.now)
        self._decide(
            node.counters.record_service, grant.service, grant.account, ended.cost
        )
        self._send(ended, functools.partial(self._ended, home, node))

    def _ended(self, home: Node, node: Node, ended: messages.GrantEnded) -> None:
        self._decide(home.ledger.end_grant, node.router, ended, self.now)
        self._issue(home)

    def _tell_counters(self) -> None:
        for node in self.nodes:
            own = {
                (one.service, one.account): one for one in node.counters.own_counters()
            }
            units = {key: one.units for key, one in own.items()}
            due = self._decide(node.exchange.find_due, units, None, self.now)
            for key in due:
                self._tell_counter(own[key])

    def _tell_counter(self, counter: messages.Counter) -> None:
        routers = sorted(set(self._homes[counter.service].values()))
        size = len(costs.encode(counter)) + costs.LINK_BYTES
        self.counter_bytes += size * len(routers)
        for router in self.rng.sample(routers, min(TOLD, len(routers))):
            home = self.by_router[router]
            self._decide(home.counters.merge, costs.encode_and_decode(counter))


def play() -> dict[str, object]:
    """Return the figures of one run, for each node at the full rate."""
    fleet = Fleet()
    began = time.process_time()
    fleet.run()
    passed = time.process_time() - began
    spent = fleet.seconds_by_call
    share = SCALE / sizing.NODES / SECONDS
    return {
        "answered": fleet.answered,
        "run_seconds": round(passed, 1),
        "control_bytes_per_second": round(fleet.control_bytes * share),
        "counter_bytes_per_second": round(fleet.counter_bytes * share),
        "decision_core_percent": round(spent.total() * share * 100, 2),
        "decision_us_per_request": round(spent.total() / fleet.answered * 1e6),
        "us_per_request_by_call": {
            name: round(seconds / fleet.answered * 1e6, 1)
            for name, seconds in spent.most_common()
        },
    }


def run(arguments: list[str]) -> int:
    """Play, with a profile if asked for by ``profile``, and print one JSON object."""
    if "profile" not in arguments:
        print(json.dumps({"bench": "scale", **play()}))
        return 0
    profile = cProfile.Profile()
    profile.runcall(play)
    pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_LINES)
    return 0
