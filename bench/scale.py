"""Simulates the decisions of 1,300 nodes in one process, on a virtual clock.

``python -m bench scale`` simulates one minute of requests at 1/200 of the target rate,
with the full number of nodes, servers, accounts and models. It prints control bytes and
decision time per node, scaled back to the full rate. Every message is encoded and
decoded in a frame of its own. The bytes of a counter are counted for each home of its
model, but it is delivered to a sample of them only. The cost of membership and
configuration does not grow with requests; ``slopes`` measures it.
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
DRAIN_SECONDS = 60.0
"""Time for running requests to end after the last arrival: five mean durations."""

MEAN_COST = 250.0
"""Mean tokens per request: 35,000,000 / 140,000."""

LINK_SECONDS = 0.002
COUNTER_RECIPIENTS = 8
"""Homes that a counter is delivered to; its bytes are counted for all homes."""

PROFILE_LINES = 12


class Node:
    """State and decisions of one router."""

    def __init__(self, index: int) -> None:
        self.router = ids.RouterId(f"router-{index:04}")
        self.queues = queueing.Queues()
        self.admission = admission.Admission(self.queues)
        self.counters = sharing.Counters(self.router, costs.INCARNATION, lambda _: 1.0)
        self.ledger = grants.Ledger(self.router, costs.INCARNATION, self.counters)
        self.reporter = reporting.CounterReporter(reporting.ThresholdRule())
        self.sequence = 0
        self.recipients: dict[sharing.Key, set[ids.RouterId]] = {}


class Fleet:
    """All nodes, the messages between them and the processor time of decisions.

    Attributes
    ----------
    control_bytes : float
        Bytes of all frames, including headers.
    seconds_by_call : Counter
        Processor time of decisions and codec, by function.
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
        """Simulate one minute of arrivals, then wait for running requests to end."""
        at = 0.0
        while (at := at + self.rng.expovariate(RATE)) < SECONDS:
            self.at(at, self._arrive)
        for second in range(int(SECONDS)):
            self.at(float(second), self._send_due_counters)
        while self._events and self._events[0][0] < SECONDS + DRAIN_SECONDS:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def at(self, time_due: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (time_due, next(self._order), action))

    def _place_servers(self) -> None:
        routers = list(self.by_router)
        for index in range(sizing.SERVERS):
            service = ids.ServiceId(f"model-{index % sizing.MODELS}")
            server = ids.ServerId(f"server-{index:05}")
            home = routers[self.rng.randrange(len(routers))]
            self._homes.setdefault(service, {})[server] = home
            self.by_router[home].ledger.add_server(server, service, 1, 0.0)

    def _run_timed(self, call: Callable, *arguments: object) -> object:
        began = time.process_time()
        result = call(*arguments)
        self.seconds_by_call[call.__qualname__] += time.process_time() - began
        return result

    def _send(self, message: messages.Message, handle: Callable) -> None:
        """Send a message in a frame of its own."""
        data = self._run_timed(costs.encode, message)
        self.control_bytes += len(data) + costs.LINK_BYTES
        self.at(self.now + LINK_SECONDS, functools.partial(self._deliver, data, handle))

    def _deliver(self, data: bytes, handle: Callable) -> None:
        handle(self._run_timed(costs.codec.decode, data).messages[0])

    def _arrive(self) -> None:
        """Admit a request at a random node; a few accounts send most requests."""
        node = self.rng.choice(self.nodes)
        account = costs.make_account_id(int(sizing.ACCOUNTS * self.rng.random() ** 2))
        service = ids.ServiceId(f"model-{self.rng.randrange(sizing.MODELS)}")
        request = ids.RequestId(f"request-{next(self._order)}")
        work = dispatch.Work(request, service, account, self.now + 60.0)
        jitter = self.rng.random()
        self._run_timed(node.admission.admit, work, 1000, MEAN_COST, self.now, jitter)
        server_homes = self._homes[service]
        first_home = homes.pick_first_home(
            server_homes, node.router, service, node.sequence
        )
        self._send_demand(node, service, account, [first_home])
        resample = functools.partial(self._resample_homes, node, service, account, 0)
        self.at(self.now + reporting.ESCALATE_SECONDS, resample)

    def _resample_homes(
        self,
        node: Node,
        service: ids.ServiceId,
        account: ids.AccountId,
        attempt: int,
    ) -> None:
        """Send the demand to a new sample of homes while requests wait."""
        if not node.queues.waiting(service, account):
            return
        all_homes = self._homes[service].values()
        recipients = self._run_timed(
            homes.sample_homes, set(all_homes), node.router, service, attempt
        )
        self._send_demand(node, service, account, recipients)
        resample = functools.partial(
            self._resample_homes, node, service, account, attempt + 1
        )
        self.at(self.now + reporting.RESAMPLE_SECONDS, resample)

    def _send_demand(self, node: Node, service, account, recipients) -> None:
        node.sequence += 1
        demand = self._run_timed(
            node.queues.demand, service, account, node.sequence, self.now
        )
        informed_homes = node.recipients.setdefault((service, account), set())
        informed_homes.update(recipients)
        if not demand.waiting:
            informed_homes.clear()
        for router in recipients:
            home = self.by_router[router]
            self._send(demand, functools.partial(self._handle_demand, home, node))

    def _handle_demand(self, home: Node, node: Node, demand: messages.Demand) -> None:
        self._run_timed(home.ledger.update_demand, node.router, demand, self.now)
        self._issue_grants(home)

    def _issue_grants(self, home: Node) -> None:
        for issued in self._run_timed(home.ledger.issue, self.now):
            node = self.by_router[issued.router]
            self._send(issued.grant, functools.partial(self._handle_grant, node, home))

    def _handle_grant(self, node: Node, home: Node, grant: messages.Grant) -> None:
        entry = self._run_timed(
            node.queues.pick, grant.service, grant.account, grant.server, self.now
        )
        key = (grant.service, grant.account)
        if not node.queues.waiting(*key):
            self._send_demand(node, *key, sorted(node.recipients.get(key, ())))
        grant_fields = (grant.grant, grant.server, grant.account)
        cost = 0.0 if entry is None else self.rng.expovariate(1 / MEAN_COST)
        ended = messages.GrantEnded(*grant_fields, cost)
        if entry is None:
            self._send(ended, functools.partial(self._handle_grant_end, home, node))
            return
        used = messages.GrantUsed(*grant_fields, MEAN_COST)
        self._send(
            used,
            lambda item: self._run_timed(
                home.ledger.mark_used, node.router, item, self.now
            ),
        )
        finish = functools.partial(
            self._finish_request, node, home, grant, entry, ended
        )
        self.at(self.now + cost * sizing.TOKEN_SECONDS, finish)

    def _finish_request(self, node: Node, home: Node, grant, entry, ended) -> None:
        self.answered += 1
        self._run_timed(node.queues.finish, entry.work.request, self.now)
        self._run_timed(
            node.counters.record_service, grant.service, grant.account, ended.cost
        )
        self._send(ended, functools.partial(self._handle_grant_end, home, node))

    def _handle_grant_end(
        self, home: Node, node: Node, ended: messages.GrantEnded
    ) -> None:
        self._run_timed(home.ledger.end_grant, node.router, ended, self.now)
        self._issue_grants(home)

    def _send_due_counters(self) -> None:
        for node in self.nodes:
            own = {
                (item.service, item.account): item
                for item in node.counters.own_counters()
            }
            units = {key: item.units for key, item in own.items()}
            due = self._run_timed(node.reporter.find_due, units, None, self.now)
            for key in due:
                self._send_counter(own[key])

    def _send_counter(self, counter: messages.Counter) -> None:
        routers = sorted(set(self._homes[counter.service].values()))
        size = len(costs.encode(counter)) + costs.LINK_BYTES
        self.counter_bytes += size * len(routers)
        for router in self.rng.sample(routers, min(COUNTER_RECIPIENTS, len(routers))):
            home = self.by_router[router]
            self._run_timed(home.counters.merge, costs.encode_and_decode(counter))


def simulate() -> dict[str, object]:
    """Return the figures of one run, per node and at the full rate."""
    fleet = Fleet()
    began = time.process_time()
    fleet.run()
    elapsed = time.process_time() - began
    spent = fleet.seconds_by_call
    scale_factor = SCALE / sizing.NODES / SECONDS
    return {
        "answered": fleet.answered,
        "run_seconds": round(elapsed, 1),
        "control_bytes_per_second": round(fleet.control_bytes * scale_factor),
        "counter_bytes_per_second": round(fleet.counter_bytes * scale_factor),
        "decision_core_percent": round(spent.total() * scale_factor * 100, 2),
        "decision_us_per_request": round(spent.total() / fleet.answered * 1e6),
        "us_per_request_by_call": {
            grant_fields: round(seconds / fleet.answered * 1e6, 1)
            for grant_fields, seconds in spent.most_common()
        },
    }


def run(arguments: list[str]) -> int:
    """Simulate and print one JSON object, or a profile if ``profile`` is given."""
    if "profile" not in arguments:
        print(json.dumps({"bench": "scale", **simulate()}))
        return 0
    profile = cProfile.Profile()
    profile.runcall(simulate)
    pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_LINES)
    return 0
