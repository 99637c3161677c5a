"""How the routers act together, at 6, 100 and 1,300 (``make bench NAME=fleet``).

All on a virtual clock with the daemon's own decisions, but for six real processes at
the end. The last line is one JSON object.
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

QUIET_SECONDS = {6: 14_400.0, 100: 1_800.0, 1_300: 300.0}
"""Virtual time without a failure, in which every suspicion is a false one."""

VICTIMS = {6: 40, 100: 40, 1_300: 10}
SETTLE_SECONDS = 15.0

FETCH_SECONDS = 0.08
"""Opening a link and carrying a configuration of 10,000 servers over it."""

STORE_SECONDS = 0.01
LEASE_HOURS = 50
PLACEMENT_HOURS = 24
REAL_CHANGES = 5
REAL_QUIET_SECONDS = 30.0


def run(arguments: list[str]) -> int:
    """Measure everything; ``quick`` as an argument leaves out 1,300 members."""
    sizes = SIZES[:2] if "quick" in arguments else SIZES
    detect = {size: measure_detection(size) for size in sizes}
    quiet = {size: measure_quiet(size) for size in sizes}
    spread, reverts = measure_spread(sizes[-1])
    real_seconds, real_calls = measure_processes()
    calls = {size: count_store_calls(size) for size in sizes}
    print(f"six processes made {real_calls:.2f} store calls a second")
    result = {
        "detect_seconds_p99": detect,
        "false_suspicions_per_hour": {size: found[0] for size, found in quiet.items()},
        "probe_bytes_per_router_second": {
            size: found[1] for size, found in quiet.items()
        },
        "config_seconds_max": {
            f"virtual_{sizes[-1]}": spread,
            "processes_6": real_seconds,
        },
        "reverts": reverts,
        "double_holders": count_double_holders(),
        "store_calls_per_second": calls,
        "moves_per_hour": measure_moves(),
    }
    print(json.dumps(result))
    return 0


def measure_detection(size: int) -> float:
    """Return the 99th percentile of the time until a router holds a dead one dead."""
    made = virtual.Fleet(size, seed=1)
    made.run(SETTLE_SECONDS)
    times: list[float] = []
    names = list(made.routers)
    for number in range(VICTIMS[size]):
        place = 1 + number % (size - 1)
        victim = made.routers[names[place]]
        victim.running = False
        began = made.now
        made.observe = _note_deaths(names[place], began, times)
        made.run(SETTLE_SECONDS)
        member = virtual.make_member(place, incarnation=2 + number)
        made.start(member, [virtual.make_member(0)])
        made.run(SETTLE_SECONDS)
    times.sort()
    print(
        f"{size} members: dead known to all after {times[len(times) // 2]:.2f} s "
        f"(median), {times[-1]:.2f} s (longest), {len(times)} observations"
    )
    return round(times[int(len(times) * 0.99)], 2)


def _note_deaths(victim: str, began: float, times: list[float]) -> Callable[..., None]:
    def note(now, _router, change, member) -> None:
        if change is statements.Change.DEAD and member.router == victim:
            times.append(now - began)

    return note


def measure_quiet(size: int) -> tuple[float, float]:
    """Return false suspicions an hour in the fleet, and bytes a router and second."""
    made = virtual.Fleet(size, seed=2)
    made.run(SETTLE_SECONDS)
    found: set[tuple[str, int]] = set()
    dead: list[str] = []

    def note(_now, _router, change, member) -> None:
        if change is statements.Change.SUSPECTED:
            found.add((member.router, member.refutations))
        elif change is statements.Change.DEAD:
            dead.append(member.router)

    made.observe = note
    before = made.bytes_sent
    seconds = QUIET_SECONDS[size]
    made.run(seconds)
    rate = (made.bytes_sent - before) / seconds / size
    print(
        f"{size} members: {len(found)} false suspicions, {len(dead)} false deaths in "
        f"{seconds / 3600:.2f} h, {rate:.0f} bytes a router and second"
    )
    return round(len(found) * 3600 / seconds, 2), round(rate, 1)


class ConfigurationFleet(virtual.Fleet):
    """Routers that also fetch higher generations from peers that show them.

    Attributes
    ----------
    reverts : int
        Times that a router went back within one life.
    in_force_at : dict
        When each router put the newest generation in force.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.reverts = 0
        self.in_force_at: dict[str, float] = {}
        self._fetching: dict[str, float] = {}
        self._generations: dict[str, generations.Generations] = {}
        super().__init__(size, seed, disorder=0.05)

    def start(self, member, known) -> None:
        """Start a router without any configuration."""
        self._generations[member.router] = generations.Generations()
        super().start(member, known)

    def put_in_force(self, name: ids.RouterId, generation: ids.Generation) -> None:
        """Offer a generation to a router, from the store or a peer."""
        held = self._generations[name]
        before = held.current
        applied = held.apply(generation)
        self.reverts += held.current < before
        if applied:
            decision = self.routers[name].decision
            decision.set_generation(generation)
            self.in_force_at[name] = self.now
            self._carry_out(name, self.routers[name], decision.spread_now())

    def publish(self, generation: int) -> None:
        """Let the watchers see a new index object."""
        for name in watchers.choose(configuration.DUTY, self.routers):
            self._at(
                2 * STORE_SECONDS,
                lambda name=name: self.put_in_force(name, generation),
            )

    def _deliver(self, sender, source, target, batch) -> None:
        super()._deliver(sender, source, target, batch)
        for message in batch:
            if isinstance(message, messages.Member) and message.router == sender:
                self._compare(target, sender, message.generation)

    def _compare(self, name: str, peer: str, generation: int) -> None:
        if generation <= self._generations[name].current:
            return
        if self.now < self._fetching.get(name, 0.0):
            return
        self._fetching[name] = self.now + configuration.REQUEST_TIMEOUT_SECONDS
        self._at(
            FETCH_SECONDS,
            lambda: self.put_in_force(name, self._generations[peer].current),
        )


def measure_spread(size: int) -> tuple[float, int]:
    """Return the longest time from write to in force on all, and reverts.

    Ten changes, 12 s apart as at 7,200 a day; routers restart without state meanwhile.
    """
    made = ConfigurationFleet(size, seed=3)
    made.run(5.0)
    longest = 0.0
    for change in range(2, 12):
        place = change % (size - 1) + 1
        member = virtual.make_member(place, incarnation=change)
        made.start(member, [virtual.make_member(0)])
        made.in_force_at.clear()
        began = made.now
        made.publish(change)
        made.run(12.0)
        if len(made.in_force_at) < size:
            print(f"change {change}: {len(made.in_force_at)} of {size} in 12 s")
            return float("inf"), made.reverts
        longest = max(longest, *(at - began for at in made.in_force_at.values()))
    return round(longest, 2), made.reverts


def count_store_calls(size: int) -> float:
    """Return the fleet's calls a second, each router on its own schedule."""
    watches = watchers.WATCHERS / configuration.WATCH_TIMEOUT_SECONDS
    checks = max(0, size - watchers.WATCHERS) / watchers.check_seconds(size)
    lists = vmlist.POLLERS / vmlist.POLL_SECONDS
    lease = pressures.MAX_CANDIDATES / leases.RENEW_SECONDS
    return round(watches + checks + lists + lease, 2)


def count_double_holders() -> int:
    """Return how often two of six routers held a duty, with pauses and lost answers."""
    generator = random.Random(4)
    rates = [generator.uniform(0.95, 1.05) for _ in range(6)]
    candidates = [leases.Lease(f"router-{number}") for number in range(6)]
    values: list[leases.Record | None] = [None]
    paused = [0.0] * 6
    doubles = taken = 0
    for tick in range(LEASE_HOURS * 3600):
        for number, lease in enumerate(candidates):
            if generator.random() < 0.002:
                paused[number] = tick + generator.uniform(1, 60)
            if tick >= paused[number]:
                clock = tick * rates[number]
                taken += _step(lease, clock, values, f"{tick}/{number}", generator)
        holders = sum(
            lease.holds(tick * rates[number]) for number, lease in enumerate(candidates)
        )
        doubles += holders > 1
    print(f"{LEASE_HOURS} h of one lease: {taken} writes, fence {values[-1].fence}")
    return doubles


def _step(
    lease: leases.Lease,
    clock: float,
    values: list[leases.Record | None],
    name: str,
    generator: random.Random,
) -> bool:
    """Make one call; one answer in ten is lost. Returns whether it wrote."""
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


def measure_moves() -> float:
    """Return moves an hour under a steady, noisy load of four models, once settled."""
    generator = random.Random(5)
    found = modelplacement.PlacementPlanner()
    servers = {f"server-{number:02}": f"model-{number % 4}" for number in range(40)}
    loads = {"model-0": 130, "model-1": 70, "model-2": 20, "model-3": 10}
    moves: list[float] = []
    for now in range(0, PLACEMENT_HOURS * 3600, 10):
        seen = {
            name: _press(name, load * generator.uniform(0.85, 1.15), servers)
            for name, load in loads.items()
        }
        placed = {
            name: modelplacement.PlacedServer(to, 8) for name, to in servers.items()
        }
        move = found.choose_move(seen, placed, now)
        if move is not None:
            found.record_move(move.server, now)
            servers[move.server] = move.target
            moves.append(now)
    settled = [now for now in moves if now >= 3600]
    print(f"placement: {len(moves)} moves, {len(settled)} after the first hour")
    return round(len(settled) / (PLACEMENT_HOURS - 1), 3)


def _press(name: str, load: float, servers: dict[str, str]) -> modelplacement.Pressure:
    slots = 8 * sum(service == name for service in servers.values())
    return modelplacement.Pressure(
        max(0, round(load) - slots), min(round(load), slots), slots
    )


def measure_processes() -> tuple[float, float]:
    """Return seconds from apply to in force on six processes, and their store calls."""
    plan = fleet.FleetOptions(accounts=("desk",), routers=6, engines=0, gates=0)
    planned = fleet.Fleet(plan)
    made = planned.make_configuration()
    planned.store.stop()  # Its threads would keep this process from ending.
    with processes.Processes() as running:
        store = running.start_standin("store")
        processes.publish(store, made.register)
        vms = made.register.vms
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
        time.sleep(REAL_QUIET_SECONDS)
        rate = (_read_calls(store) - before) / REAL_QUIET_SECONDS
    return round(longest, 2), rate


def _apply_and_wait(
    client: store_adapter.StoreClient, address: str, weight: float
) -> float:
    stored = publishing.read_stored(client)
    added = rules.Rules(weights={"desk": weight + 1})
    began = time.monotonic()
    made = publishing.publish(client, stored, stored.value.register, added, "bench")
    asking = routers_adapter.RouterClient(fleet.OPERATOR_KEY)
    while time.monotonic() - began < SETTLE_SECONDS:
        reports = asking.get_reports(address)
        held = [report.generation for report in reports]
        if len(held) == 6 and min(held) >= made.generation:
            return time.monotonic() - began
        time.sleep(0.02)
    return float("inf")


def _read_calls(store: str) -> int:
    answer = urllib3.request("GET", f"http://{store}/_calls")
    return sum(answer.json().values())
