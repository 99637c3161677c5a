"""Fleet behaviour at 6, 100 and 1,300 routers (``make bench NAME=fleet``).

The daemon's decisions run on a virtual clock; a final measurement uses six real
processes. The last line of output is one JSON object.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable

import urllib3

from bench import processes, virtual
from celeryspan import ids, publishing, rules
from celeryspan.adapters import routers as routers_adapter, store as store_adapter
from celeryspan.decisions import (
    generations,
    leases,
    modelplacement,
    statements,
    watchers,
)
from celeryspan.services import configuration, pressures, vmlist
from celeryspan.wire import messages
from standins import fleet

SIZES = (6, 100, 1_300)

FAILURE_FREE_SECONDS = {6: 14_400.0, 100: 1_800.0, 1_300: 300.0}
"""Virtual seconds without failures, in which every suspicion is false."""

KILLED_ROUTERS = {6: 40, 100: 40, 1_300: 10}
SETTLE_SECONDS = 15.0

CONFIGURATION_FETCH_SECONDS = 0.08
"""Time to open a link and transfer a configuration of 10,000 servers."""

STORE_CALL_SECONDS = 0.01
LEASE_HOURS = 50
PLACEMENT_HOURS = 24
REAL_CHANGES = 5
REAL_IDLE_SECONDS = 30.0


def run(arguments: list[str]) -> int:
    """Run all measurements; the argument ``quick`` skips 1,300 members."""
    sizes = SIZES[:2] if "quick" in arguments else SIZES
    detection = {size: measure_detection(size) for size in sizes}
    suspicions = {size: measure_false_suspicions(size) for size in sizes}
    propagation, reverts = measure_propagation(sizes[-1])
    real_seconds, real_calls = measure_real_processes()
    calls = {size: count_store_calls(size) for size in sizes}
    print(f"six processes made {real_calls:.2f} store calls a second")
    result = {
        "detect_seconds_p99": detection,
        "false_suspicions_per_hour": {
            size: found[0] for size, found in suspicions.items()
        },
        "probe_bytes_per_router_second": {
            size: found[1] for size, found in suspicions.items()
        },
        "config_seconds_max": {
            f"virtual_{sizes[-1]}": propagation,
            "processes_6": real_seconds,
        },
        "reverts": reverts,
        "double_holders": count_double_holders(),
        "store_calls_per_second": calls,
        "moves_per_hour": measure_model_moves(),
    }
    print(json.dumps(result))
    return 0


def measure_detection(size: int) -> float:
    """Return the 99th percentile of the time until a router detects a dead one."""
    virtual_fleet = virtual.Fleet(size, seed=1)
    virtual_fleet.run(SETTLE_SECONDS)
    times: list[float] = []
    names = list(virtual_fleet.routers)
    for number in range(KILLED_ROUTERS[size]):
        index = 1 + number % (size - 1)
        victim = virtual_fleet.routers[names[index]]
        victim.running = False
        started_at = virtual_fleet.now
        virtual_fleet.observe = _observe_deaths(names[index], started_at, times)
        virtual_fleet.run(SETTLE_SECONDS)
        member = virtual.make_member(index, incarnation=2 + number)
        virtual_fleet.start(member, [virtual.make_member(0)])
        virtual_fleet.run(SETTLE_SECONDS)
    times.sort()
    print(
        f"{size} members: failures detected after {times[len(times) // 2]:.2f} s "
        f"(median), {times[-1]:.2f} s (longest), {len(times)} observations"
    )
    return round(times[int(len(times) * 0.99)], 2)


def _observe_deaths(
    victim: str, started_at: float, times: list[float]
) -> Callable[..., None]:
    def observe(now, _router, change, member) -> None:
        if change is statements.Change.DEAD and member.router == victim:
            times.append(now - started_at)

    return observe


def measure_false_suspicions(size: int) -> tuple[float, float]:
    """Return false suspicions per hour, and bytes per router and second."""
    virtual_fleet = virtual.Fleet(size, seed=2)
    virtual_fleet.run(SETTLE_SECONDS)
    found: set[tuple[str, int]] = set()
    dead: list[str] = []

    def observe(_now, _router, change, member) -> None:
        if change is statements.Change.SUSPECTED:
            found.add((member.router, member.refutations))
        elif change is statements.Change.DEAD:
            dead.append(member.router)

    virtual_fleet.observe = observe
    before = virtual_fleet.bytes_sent
    seconds = FAILURE_FREE_SECONDS[size]
    virtual_fleet.run(seconds)
    rate = (virtual_fleet.bytes_sent - before) / seconds / size
    print(
        f"{size} members: {len(found)} false suspicions, {len(dead)} false deaths in "
        f"{seconds / 3600:.2f} h, {rate:.0f} bytes a router and second"
    )
    return round(len(found) * 3600 / seconds, 2), round(rate, 1)


class ConfigurationFleet(virtual.Fleet):
    """Routers that also fetch newer generations from peers that announce them.

    Attributes
    ----------
    reverts : int
        Number of times that a running router returned to an older generation.
    in_force_at : dict
        When each router put the newest generation in force.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.reverts = 0
        self.in_force_at: dict[str, float] = {}
        self._fetching: dict[str, float] = {}
        self._generations: dict[str, generations.Generations] = {}
        super().__init__(size, seed, duplicate_share=0.05)

    def start(self, member, known) -> None:
        """Start a router without a configuration."""
        self._generations[member.router] = generations.Generations()
        super().start(member, known)

    def put_in_force(self, name: ids.RouterId, generation: ids.Generation) -> None:
        """Offer a router a generation from the store or from a peer."""
        held = self._generations[name]
        before = held.current
        applied = held.apply(generation)
        self.reverts += held.current < before
        if applied:
            decision = self.routers[name].decision
            decision.set_generation(generation)
            self.in_force_at[name] = self.now
            self._apply_actions(name, self.routers[name], decision.spread_now())

    def publish(self, generation: int) -> None:
        """Notify the watchers of a new index object."""
        for name in watchers.choose(configuration.DUTY, self.routers):
            self._schedule(
                2 * STORE_CALL_SECONDS,
                lambda name=name: self.put_in_force(name, generation),
            )

    def _deliver(self, sender, source, target, batch) -> None:
        super()._deliver(sender, source, target, batch)
        for message in batch:
            if isinstance(message, messages.Member) and message.router == sender:
                self._fetch_if_newer(target, sender, message.generation)

    def _fetch_if_newer(self, name: str, peer: str, generation: int) -> None:
        if generation <= self._generations[name].current:
            return
        if self.now < self._fetching.get(name, 0.0):
            return
        self._fetching[name] = self.now + configuration.REQUEST_TIMEOUT_SECONDS
        self._schedule(
            CONFIGURATION_FETCH_SECONDS,
            lambda: self.put_in_force(name, self._generations[peer].current),
        )


def measure_propagation(size: int) -> tuple[float, int]:
    """Return the longest time from a write until all routers apply it, and reverts.

    Makes ten changes 12 s apart, the rate of 7,200 a day, while routers restart without
    state.
    """
    virtual_fleet = ConfigurationFleet(size, seed=3)
    virtual_fleet.run(5.0)
    longest = 0.0
    for change in range(2, 12):
        index = change % (size - 1) + 1
        member = virtual.make_member(index, incarnation=change)
        virtual_fleet.start(member, [virtual.make_member(0)])
        virtual_fleet.in_force_at.clear()
        started_at = virtual_fleet.now
        virtual_fleet.publish(change)
        virtual_fleet.run(12.0)
        if len(virtual_fleet.in_force_at) < size:
            print(
                f"change {change}: applied by {len(virtual_fleet.in_force_at)} of "
                f"{size} routers in 12 s"
            )
            return float("inf"), virtual_fleet.reverts
        longest = max(
            longest, *(at - started_at for at in virtual_fleet.in_force_at.values())
        )
    return round(longest, 2), virtual_fleet.reverts


def count_store_calls(size: int) -> float:
    """Return the store calls per second of the whole fleet."""
    watches = watchers.WATCHERS / configuration.WATCH_TIMEOUT_SECONDS
    checks = max(0, size - watchers.WATCHERS) / watchers.check_seconds(size)
    lists = vmlist.POLLERS / vmlist.POLL_SECONDS
    lease = pressures.MAX_CANDIDATES / leases.RENEW_SECONDS
    return round(watches + checks + lists + lease, 2)


def count_double_holders() -> int:
    """Count the times that two of six routers held one lease at once.

    Routers pause at random, their clocks run up to 5% fast or slow, and some answers of
    the store are lost.
    """
    generator = random.Random(4)
    rates = [generator.uniform(0.95, 1.05) for _ in range(6)]
    candidates = [leases.Lease(f"router-{number}") for number in range(6)]
    values: list[leases.Record | None] = [None]
    paused_until = [0.0] * 6
    doubles = store_writes = 0
    for tick in range(LEASE_HOURS * 3600):
        for number, lease in enumerate(candidates):
            if generator.random() < 0.002:
                paused_until[number] = tick + generator.uniform(1, 60)
            if tick >= paused_until[number]:
                clock = tick * rates[number]
                store_writes += _step_lease(
                    lease, clock, values, f"{tick}/{number}", generator
                )
        holders = sum(
            lease.holds(tick * rates[number]) for number, lease in enumerate(candidates)
        )
        doubles += holders > 1
    print(
        f"{LEASE_HOURS} h of one lease: {store_writes} writes, fence {values[-1].fence}"
    )
    return doubles


def _step_lease(
    lease: leases.Lease,
    clock: float,
    values: list[leases.Record | None],
    name: str,
    generator: random.Random,
) -> bool:
    """Make one store call and return whether it wrote; one answer in ten is lost."""
    call = lease.next_call(clock, name, wanted=True)
    version = len(values) - 1
    lost = generator.random() < 0.1
    if call.operation is leases.Operation.READ and not lost:
        lease.record_read(values[-1], version, clock)
    if call.operation not in (leases.Operation.CREATE, leases.Operation.UPDATE):
        return False
    expected = 0 if call.operation is leases.Operation.CREATE else call.version
    if expected != version:
        lease.record_conflict()
        return False
    values.append(call.record)
    if not lost:
        lease.record_written(version + 1)
    return True


def measure_model_moves() -> float:
    """Return moves per hour under a steady, noisy load of four models.

    The first hour, in which the placement settles, is not counted.
    """
    generator = random.Random(5)
    planner = modelplacement.PlacementPlanner()
    servers = {f"server-{number:02}": f"model-{number % 4}" for number in range(40)}
    loads = {"model-0": 130, "model-1": 70, "model-2": 20, "model-3": 10}
    moves: list[float] = []
    for now in range(0, PLACEMENT_HOURS * 3600, 10):
        pressures_by_model = {
            name: _make_pressure(name, load * generator.uniform(0.85, 1.15), servers)
            for name, load in loads.items()
        }
        placed = {
            name: modelplacement.PlacedServer(to, 8) for name, to in servers.items()
        }
        move = planner.choose_move(pressures_by_model, placed, now)
        if move is not None:
            planner.record_move(move.server, now)
            servers[move.server] = move.target
            moves.append(now)
    settled = [now for now in moves if now >= 3600]
    print(f"placement: {len(moves)} moves, {len(settled)} after the first hour")
    return round(len(settled) / (PLACEMENT_HOURS - 1), 3)


def _make_pressure(
    name: str, load: float, servers: dict[str, str]
) -> modelplacement.Pressure:
    slots = 8 * sum(service == name for service in servers.values())
    return modelplacement.Pressure(
        max(0, round(load) - slots), min(round(load), slots), slots
    )


def measure_real_processes() -> tuple[float, float]:
    """Return the longest seconds from apply to in force, and store calls per second.

    Both are measured on six real router processes.
    """
    options = fleet.FleetOptions(accounts=("desk",), routers=6, engines=0, gates=0)
    planned = fleet.Fleet(options)
    value = planned.make_configuration()
    planned.store.stop()  # Its threads would prevent this process from exiting.
    with processes.Processes() as running:
        store = running.start_standin("store")
        processes.publish(store, value.register)
        vms = value.register.vms
        for vm in vms:
            running.start_router(vm, store, [vms[0].peer_address])
        addresses = [vm.caller_address for vm in vms]
        headers = {"Authorization": "Bearer desk"}
        for address in addresses:
            processes.wait_for(address, "/v1/addresses", headers)
        client = store_adapter.StoreClient(store)
        longest = max(
            _apply_and_wait(client, addresses[0], number + 1)
            for number in range(REAL_CHANGES)
        )
        before = _read_calls(store)
        time.sleep(REAL_IDLE_SECONDS)
        rate = (_read_calls(store) - before) / REAL_IDLE_SECONDS
    return round(longest, 2), rate


def _apply_and_wait(
    client: store_adapter.StoreClient, address: str, weight: float
) -> float:
    stored = publishing.read_stored(client)
    added = rules.Rules(weights={"desk": weight + 1})
    started_at = time.monotonic()
    published = publishing.publish(
        client, stored, stored.value.register, added, "bench"
    )
    router_client = routers_adapter.RouterClient(fleet.OPERATOR_KEY)
    while time.monotonic() - started_at < SETTLE_SECONDS:
        reports = router_client.get_reports(address)
        applied = [report.generation for report in reports]
        if len(applied) == 6 and min(applied) >= published.generation:
            return time.monotonic() - started_at
        time.sleep(0.02)
    return float("inf")


def _read_calls(store: str) -> int:
    answer = urllib3.request("GET", f"http://{store}/_calls")
    return sum(answer.json().values())
