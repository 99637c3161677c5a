"""The bound of requests to cold servers, over restarts, partitions and late sends."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful, strategies

from celeryspan import catalog, ids
from celeryspan.decisions import coldstart, placing, tenure
from celeryspan.wire import messages

RATE = 16.0
TOLERANCE = coldstart.Tolerance(1.5, 5.0)
FLEET_LIMIT = coldstart.compute_fleet_limit(RATE, TOLERANCE)
HOME_LIMIT = coldstart.compute_home_limit(RATE, TOLERANCE)
ROUTERS = 5
BURST = 40
"""Requests sent at once through one router, more than any limit."""

PARTITIONS = (
    (0, 0, 0, 0, 0),
    (0, 1, 1, 1, 1),
    (0, 0, 1, 1, 1),
    (0, 1, 2, 1, 1),
    (0, 0, 1, 1, 2),
)
"""Group of each router; routers reach only those of their own group."""


def make_entry(cold_until: float, started_ms: int = 1) -> catalog.ServerEntry:
    """Return the entry of the only server."""
    return catalog.ServerEntry(
        server=ids.ServerId("s"),
        service=ids.ServiceId("gate"),
        address=ids.Address("127.0.0.1", 1),
        data_centre=ids.DataCentreId("hala-a"),
        slots=1_000,
        is_leaving=False,
        revision=1,
        started_ms=started_ms,
        cold_until=cold_until,
    )


def make_request(number: int) -> messages.SlotRequest:
    """Return a request of a plain service."""
    return messages.SlotRequest(
        request=ids.RequestId(f"r{number}"),
        pool=ids.PoolId("gate#1#0"),
        account=ids.AccountId("tower"),
        data_centre=ids.DataCentreId("hala-a"),
        parts=(),
        prompt_tokens=0,
        output_tokens=0,
        waited=0.0,
        objective=0.3,
        timeout=2.0,
        gap_max=2.0,
        stride=1,
        excluded=(),
    )


def grant(placer: placing.Placer, number: int, now: float) -> bool:
    """Place one request if the server may take it."""
    choice = placer.choose(make_request(number), 0.0, now)
    if choice is None:
        return False
    router = ids.RouterId("edge-1")
    placer.start_run(make_request(number), router, choice.server, now + 2.0, now)
    return True


@pytest.mark.parametrize(
    ("rate", "tolerance", "limit"),
    [
        (16.0, TOLERANCE, 14),
        (4.0, TOLERANCE, 5),
        (0.0, TOLERANCE, coldstart.UNLIMITED),
        (16.0, None, coldstart.UNLIMITED),
    ],
)
def test_home_gets_half_of_the_bound_of_the_fleet(rate, tolerance, limit) -> None:
    assert coldstart.compute_home_limit(rate, tolerance) == limit


def test_cold_server_is_used_up_to_the_limit_and_a_warm_one_fully() -> None:
    placer = placing.Placer()
    placer.limit_cold_grants(HOME_LIMIT)
    placer.set_servers([make_entry(cold_until=3.0)], None)
    assert sum(grant(placer, n, 0.5) for n in range(100)) == HOME_LIMIT
    assert not grant(placer, 100, 1.4)
    assert grant(placer, 101, 1.5)
    assert sum(grant(placer, n, 3.0) for n in range(200, 300)) == 100


def test_requests_to_a_warm_server_count_once_it_is_cold() -> None:
    """A server becomes cold while many requests are on their way to it."""
    placer = placing.Placer()
    placer.limit_cold_grants(HOME_LIMIT)
    placer.set_servers([make_entry(cold_until=0.0)], None)
    assert sum(grant(placer, n, 0.5) for n in range(40)) == 40
    placer.set_servers([make_entry(cold_until=4.0)], None)
    assert not grant(placer, 50, 1.4)
    assert grant(placer, 51, 1.5)


def test_requests_to_an_earlier_incarnation_count() -> None:
    """A server restarts under its id; requests on their way reach the new process."""
    placer = placing.Placer()
    placer.limit_cold_grants(HOME_LIMIT)
    placer.set_servers([make_entry(cold_until=4.0)], None)
    assert sum(grant(placer, n, 0.5) for n in range(40)) == HOME_LIMIT
    placer.set_servers([make_entry(cold_until=4.5, started_ms=2)], None)
    assert not grant(placer, 50, 0.6)


class FleetMachine(stateful.RuleBasedStateMachine):
    """A cold server and routers that may be its home.

    Partitions last for any time, routers lose their memory, and grants arrive late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.groups = PARTITIONS[0]
        self.placers: list[placing.Placer] = []
        self.tenures: list[tenure.Tenure] = []
        self.arrivals: list[float] = []
        self.count = 0
        for _ in range(ROUTERS):
            self.placers.append(self._make_placer())
            self.tenures.append(tenure.Tenure())
        self._observe()

    def _make_placer(self) -> placing.Placer:
        placer = placing.Placer()
        placer.limit_cold_grants(0.0)
        placer.set_servers([make_entry(cold_until=1e9)], None)
        return placer

    def _observe(self) -> None:
        """Let each router decide whether it is the home in its own view."""
        for router, group in enumerate(self.groups):
            reached = [n for n in range(ROUTERS) if self.groups[n] == group]
            self.tenures[router].update(
                is_home=min(reached) == router,
                has_majority=2 * len(reached) > ROUTERS,
                now=self.now,
            )
            is_established = self.tenures[router].is_established(self.now)
            self.placers[router].limit_cold_grants(
                HOME_LIMIT if is_established else 0.0
            )

    @stateful.rule(groups=strategies.sampled_from(PARTITIONS))
    def partition(self, groups: tuple[int, ...]) -> None:
        """Split the fleet, or join it again."""
        self.groups = groups
        self._observe()

    @stateful.rule(router=strategies.integers(0, ROUTERS - 1))
    def restart(self, router: int) -> None:
        """Restart a router without any memory of its grants."""
        self.placers[router] = self._make_placer()
        self.tenures[router] = tenure.Tenure()
        self._observe()

    @stateful.rule(
        wait=strategies.sampled_from((0.4, 1.0, 3.0)),
        delay=strategies.sampled_from((0.0, 0.2, coldstart.GRANT_TTL_SECONDS)),
    )
    def send(self, wait: float, delay: float) -> None:
        """Wait, then send a burst through every router, whether it is the home or not.

        The server gets the granted requests after a delay.
        """
        self.now += wait
        self._observe()
        for placer in self.placers:
            for _ in range(BURST):
                self.count += 1
                if grant(placer, self.count, self.now):
                    self.arrivals.append(self.now + delay)

    @stateful.invariant()
    def bound_holds_in_every_second(self) -> None:
        """No window of one second holds more than the fleet may send."""
        times = sorted(self.arrivals)
        for first in times:
            within = sum(first <= at < first + coldstart.WINDOW_SECONDS for at in times)
            assert within <= FLEET_LIMIT
        self.arrivals = [at for at in times if at > self.now - 2.0]


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
)
