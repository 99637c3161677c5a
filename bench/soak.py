"""Randomized fault injection with real router processes: ``make bench NAME=soak``.

``ARGUMENTS="SEED SECONDS COUNT"`` sets the first seed, the duration and the number of
seeds.

Each router is a process; the store and the backend servers are stand-ins behind
proxies. Faults overlap: processes are killed, paused, stopped and sent SIGHUP;
connections are delayed, reset, silenced or cut in one direction; the store hangs or
refuses; servers drain, fail and answer twice; configurations change; some callers leak
connections; the store comes back from copies; some requests crash the servers that run
them; servers announce departures and rests in their answers, report loads, reject
requests or answer with bytes without end; engines are released with new software while
callers take their streams up; all routers are killed at once. Routes allow one to three
attempts, whatever their kind. Afterwards the answers that callers received are compared
with what servers executed.
The soak counts requests that ran twice, that ran although the answer says they did not,
or that got the answer to another request; servers that got work after they had left;
routers that no longer become ready; fatal requests that kept crashing servers; cold
servers that got more than they tolerate; streams with events of two software versions;
routers that used more memory than they may; and routers that return to an earlier
configuration or miss what is written to a restored store.
"""

from __future__ import annotations

import collections
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable

from bench import (
    soakannouncements,
    soakendless,
    soakfatal,
    soakkills,
    soakloads,
    soakparts,
    soakplaces,
    soakreleases,
    soakrestorations,
)
from standins import objects, platformserver, ports, sampleconfig

ROUTERS = 3
CALLERS = 6
SERVERS = {"gate": 3, "planner": 3}
SEED, SECONDS = 1, 20.0
SETTLE_SECONDS = 5.0
LEAVE_SECONDS = 2.0
"""How long a server may still get work after it starts to drain."""

FAULTY_ANSWERS = {
    "gate": ("reset", "cut", "twice", "error", "full", "unsigned"),
    "planner": ("reset", "cut_stream", "error", "full"),
}
"""Faulty answers per service. Engines only stream, so other faults do not apply."""

STORE = "store"
"""Name under which faults of the store itself are recorded."""

SETTINGS = {"early_refusals": "always", "memory_megabytes": 200}
"""Settings that enable what is off by default."""

FAULTS: dict[str, Callable[[Soak], None]] = {}


def fault(apply: Callable[[Soak], None]) -> Callable[[Soak], None]:
    """Register a fault under the name of its function."""
    FAULTS[apply.__name__] = apply
    return apply


class Soak:
    """One run with a fixed seed.

    Attributes
    ----------
    crashed : list of PlatformServer
        Incarnations of servers that have crashed.
    start_times : dict of str to int
        Start time of the current incarnation by server, in milliseconds since the
        epoch.
    versions : dict of str to str
        Software version of the current incarnation by server.
    leave_times : dict of str to float
        Monotonic time at which a server started to drain.
    disturbed_at : dict of str to list of float
        Monotonic times at which faults of a proxy began and ended, by its name.
    restarting : Lock
        Held while routers are killed and started again.
    restarted_at : list of float
        Monotonic times at which faults stopped or paused routers.
    unexpected_exits : int
        Routers that exited although nothing stopped them, or outlasted their grace
        period.
    memory_excess : int
        Routers that have used more memory than their settings name.
    unready_routers, outdated_routers : int
        Routers that were not ready, or did not have the last configuration in force,
        after the settling time.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.store = objects.ObjectStore()
        self.version = 1
        self._version_lock = threading.Lock()
        self.stopping = threading.Event()
        self.restarting = threading.Lock()
        self.servers: list[platformserver.PlatformServer] = []
        self.crashed: list[platformserver.PlatformServer] = []
        self.start_times: dict[str, int] = {}
        self.leave_times: dict[str, float] = {}
        self.restarted_at: list[float] = []
        self.disturbed_at: dict[str, list[float]] = collections.defaultdict(list)
        self.events: list[str] = []
        self.unexpected_exits = 0
        self.unready_routers = 0
        self.outdated_routers = 0
        self.proxies: dict[str, soakparts.Proxy] = {}
        self._started_at = time.monotonic()
        self._tasks: list[threading.Thread] = []
        self._folder = folder
        self.versions: dict[str, str] = {}
        self.releases = soakreleases.Releases(self, seed)
        self.kills = soakkills.FleetKills(self, seed)
        self.store.start()
        self.store.put(
            "config", "main", soakrestorations.make_configuration(self.version)
        )
        for service, count in SERVERS.items():
            for _ in range(count):
                self.add_server(service)
        free_ports = ports.find_ports(4 * ROUTERS)
        self.routers = []
        for index in range(ROUTERS):
            proxy = self.proxies[f"store-{index}"] = soakparts.Proxy(self.store.address)
            own_ports = free_ports[4 * index : 4 * index + 4]
            self.routers.append(
                soakparts.RouterProcess(
                    f"edge-{index}", proxy.address, own_ports, folder, **SETTINGS
                )
            )
        self.connection_leakers = [
            soakparts.ConnectionLeaker(router) for router in self.routers
        ]
        self.callers = [
            soakparts.Caller(f"c{index}", self.routers, f"{seed}-{index}")
            for index in range(CALLERS)
        ]
        self.fatal = soakfatal.FatalCaller(self, seed)
        self.resuming = [
            soakreleases.ResumingCaller(f"s{index}", self.routers, seed)
            for index in range(soakreleases.CALLERS)
        ]
        self.evacuations = soakplaces.Evacuations(self, seed)
        self.announcements = soakannouncements.Announcements(self, seed)
        self.loads = soakloads.Loads(self, seed)
        self.endless = soakendless.EndlessServers(self, seed)
        self.memory_excess = 0
        self.restorations = soakrestorations.Restorations(self, seed)

    def record_event(self, text: str) -> None:
        """Record an event of the run with its time."""
        self.events.append(f"{time.monotonic() - self._started_at:7.3f} {text}")

    def write_configuration(self, step: int) -> int:
        """Write a configuration that is some versions newer; return its version."""
        with self._version_lock:
            self.version += step
            found = soakrestorations.make_configuration(self.version)
            self.store.put("config", "main", found)
            return self.version

    def add_server(self, service: str) -> None:
        """Start a backend server and register it in the store."""
        name = f"{service}-{len(self.servers)}"
        server = self.start_server(name, service)
        proxy = self.proxies[name] = soakparts.Proxy(server.address)
        self.servers.append(server)
        self.register(name, service, proxy)

    def start_server(self, name: str, service: str) -> platformserver.PlatformServer:
        """Start a new incarnation of a backend server."""
        version = self.versions[name] = self.releases.version
        server = platformserver.PlatformServer(
            name, streams=service == soakreleases.SERVICE, version=version
        )
        server.event_seconds = 0.02
        server.fatal_bodies = soakfatal.BODIES
        server.fatal_parts = {soakfatal.FATAL_PART}
        server.start()
        self.start_times[name] = time.time_ns() // 1_000_000
        return server

    def list_incarnations(self) -> list[platformserver.PlatformServer]:
        """Return all incarnations of backend servers, including crashed ones."""
        # A crashed server stays in `servers` until its next incarnation replaces it.
        return [
            *self.servers,
            *(each for each in self.crashed if each not in self.servers),
        ]

    def register(
        self,
        name: str,
        service: str,
        proxy: soakparts.Proxy,
        state: str = "ready",
        **values: object,
    ) -> None:
        """Write the entry of a backend server to the store."""
        spec = sampleconfig.make_entry(
            service,
            proxy.address,
            state=state,
            born=self.start_times[name],
            version=self.versions[name],
            zone=soakplaces.find_data_centre(name),
            **values,
        )
        self.store.put("servers", name, spec)

    def replace_server(self, server: platformserver.PlatformServer) -> None:
        """Start a new server and drain another of the same service."""
        service = server.name.partition("-")[0]
        self.add_server(service)
        self.record_event(f"{server.name} drains")
        self.register(server.name, service, self.proxies[server.name], "draining")
        self.leave_times[server.name] = time.monotonic()

    def run_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay, or earlier when the run stops."""

        def run() -> None:
            self.stopping.wait(seconds)
            action()

        task = threading.Thread(target=run, daemon=True)
        task.start()
        self._tasks.append(task)

    def run(self, seconds: float) -> None:
        """Start all processes, inject faults for some time, let them settle, stop."""
        for router in self.routers:
            router.start()
        sampleconfig.wait_for(lambda: all(router.is_ready() for router in self.routers))
        for each in (
            *self.callers,
            *self.connection_leakers,
            self.fatal,
            self.evacuations,
            self.announcements,
            self.loads,
            self.endless,
            self.releases,
            self.kills,
            self.restorations,
            *self.resuming,
        ):
            each.start()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            name = self.random.choice(sorted(FAULTS))
            FAULTS[name](self)
            time.sleep(self.random.uniform(0.2, 1.2))
        self.kills.stop()
        self.stopping.set()
        for task in self._tasks:
            task.join()
        self.fatal.stop()
        self.evacuations.stop()
        self.announcements.stop()
        self.loads.stop()
        self.endless.stop()
        self.releases.stop()
        self.restorations.stop()
        time.sleep(SETTLE_SECONDS)
        self.restorations.stop_probes()
        self.outdated_routers = self.restorations.count_outdated()
        self.unready_routers = sum(not router.is_ready() for router in self.routers)
        self.memory_excess = soakendless.count_excess(
            self.routers, SETTINGS["memory_megabytes"]
        )
        for each in (*self.callers, *self.connection_leakers, *self.resuming):
            each.stop()
        self.unexpected_exits = sum(router.has_exited() for router in self.routers)

    def close(self) -> None:
        """Kill the router processes of this run and stop the stand-ins."""
        for router in self.routers:
            with contextlib.suppress(AssertionError, ProcessLookupError):
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
                router.wait(5.0)
        for leaker in self.connection_leakers:
            leaker.close()
        for proxy in self.proxies.values():
            proxy.stop()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def count_outcomes(self) -> dict[str, int]:
        """Compare the answers that callers received with what servers executed."""
        servers = self.list_incarnations()
        runs = collections.Counter(name for s in servers for name in s.ran)
        exchanges = [each for caller in self.callers for each in caller.exchanges]
        once = [
            each for each in exchanges if each.path.startswith(("/bookings", "/notes"))
        ]
        counts = {
            "asked": len(exchanges),
            "answered": sum(each.status == 200 for each in exchanges),
            "refused": sum(
                each.status in soakparts.NOT_RUN_STATUSES for each in exchanges
            ),
            "unknown": sum(each.status in (502, 504) for each in exchanges),
            "unanswered": sum(each.status == 0 for each in exchanges),
            "ran_twice": sum(
                runs[name] > 1
                for name in [*(each.request for each in once), *self.fatal.bookings]
            ),
            "false_promise": sum(
                each.status in soakparts.NOT_RUN_STATUSES and runs[each.request] > 0
                for each in once
            ),
            "mixed": sum(bool(each.mismatch) for each in exchanges),
            "after_leaving": self._count_after_leaving(),
            "after_evacuation": self.evacuations.count_after_evacuation(),
            "cold_excess": self.evacuations.count_cold_excess(),
            "after_departure": self.announcements.count_after_departure(),
            "rest_excess": self.announcements.count_rest_excess(),
            "reverts": len(self.restorations.reverts),
            "outdated": self.outdated_routers,
            "missed": len(self.restorations.missed),
            "late_arrivals": self.restorations.count_late_arrivals(),
            "two_versions": sum(len(each.mixed) for each in self.resuming),
            "taken_up": sum(each.counts["taken_up"] for each in self.resuming),
            "went_on": sum(each.counts["went_on"] for each in self.resuming),
            "crashes": len(self.crashed),
            "crashed_too_often": self.fatal.count_excess(servers),
            "held_innocents": sum(each.status == 429 for each in exchanges),
            "own_ends": self.unexpected_exits,
            "locked_out": self.unready_routers,
            "memory_excess": self.memory_excess,
        }
        for each in exchanges:
            if each.mismatch:
                self.record_event(f"mixed: {each}")
        for each in self.restorations.reverts:
            self.record_event(f"configuration reverted: {each}")
        for each in self.restorations.missed:
            self.record_event(f"configuration missed: {each}")
        for caller in self.resuming:
            for each in caller.mixed:
                self.record_event(f"two versions: {each}")
        return counts

    def _count_after_leaving(self) -> int:
        return sum(
            at > self.leave_times[server.name] + LEAVE_SECONDS
            for server in self.list_incarnations()
            if server.name in self.leave_times
            for at in server.ran_at
        )


@fault
def kill(soak: Soak) -> None:
    """Kill a router and restart it."""
    router = soak.random.choice(soak.routers)
    if router.is_stopping:
        return
    down_seconds = soak.random.uniform(0.0, 0.5)
    with soak.restarting:
        soak.record_event(f"kill {router.name}")
        soak.restarted_at.append(time.monotonic())
        router.signal(signal.SIGCONT)
        router.signal(signal.SIGKILL)
        router.wait(5.0)
        time.sleep(down_seconds)
        router.start()


@fault
def stop(soak: Soak) -> None:
    """Stop a router gracefully, with one or two SIGTERMs, and restart it."""
    router = soak.random.choice(soak.routers)
    if router.is_stopping:
        return
    with soak.restarting:
        router.is_stopping = True
    soak.record_event(f"stop {router.name}")
    soak.restarted_at.append(time.monotonic())
    for _ in range(soak.random.choice((1, 2))):
        router.signal(signal.SIGTERM)

    def restart() -> None:
        if router.wait(12.0) is None:
            soak.record_event(f"{router.name} exceeds its grace period")
            soak.unexpected_exits += 1
            return
        router.start()
        router.is_stopping = False

    soak.run_later(0.0, restart)


@fault
def pause(soak: Soak) -> None:
    """Pause a router, which then resumes with outdated state."""
    router = soak.random.choice(soak.routers)
    seconds = soak.random.uniform(0.3, 3.0)
    soak.record_event(f"pause {router.name} for {seconds:.1f} s")
    soak.restarted_at.append(time.monotonic())
    router.signal(signal.SIGSTOP)
    soak.run_later(seconds, lambda: router.signal(signal.SIGCONT))


@fault
def hang_up(soak: Soak) -> None:
    """Send SIGHUP to a router."""
    soak.random.choice(soak.routers).signal(signal.SIGHUP)


@fault
def disturb(soak: Soak) -> None:
    """Delay, silence or cut the connections through one proxy for a while."""
    name = soak.random.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    proxy_mode = soak.random.choice(list(soakparts.ProxyMode))
    proxy.mode, proxy.delay = proxy_mode, soak.random.choice((0.0, 0.05, 0.3))
    soak.record_event(f"{name}: {proxy_mode.value}, delayed by {proxy.delay} s")
    soak.disturbed_at[name].append(time.monotonic())

    def restore() -> None:
        soak.disturbed_at[name].append(time.monotonic())
        proxy.mode, proxy.delay = soakparts.ProxyMode.OPEN, 0.0

    soak.run_later(soak.random.uniform(0.5, 3.0), restore)


@fault
def reset(soak: Soak) -> None:
    """Reset all connections through one proxy."""
    name = soak.random.choice(sorted(soak.proxies))
    soak.record_event(f"reset {name}")
    soak.proxies[name].reset()


@fault
def spoil(soak: Soak) -> None:
    """Make a server answer the next three requests incorrectly."""
    server = soak.random.choice(soak.servers)
    steps = soak.random.choices(FAULTY_ANSWERS[server.name.partition("-")[0]], k=3)
    soak.record_event(f"{server.name} next answers: {steps}")
    server.script.extend(steps)


@fault
def refuse_store(soak: Soak) -> None:
    """Make the store refuse requests or hang for a while."""
    faults = soak.store.faults
    if soak.random.random() < 0.5:
        faults.refuse_status = soak.random.choice((429, 503))
    else:
        faults.silent = True
    soak.record_event(f"store: {faults}")
    soak.disturbed_at[STORE].append(time.monotonic())

    def restore() -> None:
        soak.disturbed_at[STORE].append(time.monotonic())
        faults.refuse_status, faults.silent = 0, False

    soak.run_later(soak.random.uniform(0.5, 3.0), restore)


@fault
def forget_history(soak: Soak) -> None:
    """Compact the store, so that watches must start over from a new list."""
    soak.store.compact()


@fault
def change_configuration(soak: Soak) -> None:
    """Write a new version of the configuration."""
    soak.write_configuration(soak.random.randint(1, 3))


@fault
def replace_server(soak: Soak) -> None:
    """Start a new server and drain another of the same service."""
    ready = [each for each in soak.servers if each.name not in soak.leave_times]
    server = soak.random.choice(ready)
    soak.replace_server(server)


ZERO_COUNTS = (
    "ran_twice",
    "false_promise",
    "mixed",
    "own_ends",
    "locked_out",
    "crashed_too_often",
    "held_innocents",
    "cold_excess",
    "rest_excess",
    "two_versions",
    "reverts",
    "outdated",
    "missed",
    "late_arrivals",
    "memory_excess",
)
"""Counts that must be 0. ``after_leaving`` and ``after_evacuation`` may be more: a
router that cannot reach the store still sends work to such servers. So may
``after_departure``: a router that was paused or restarted learns of it later."""


def play(seed: int, seconds: float) -> dict[str, int]:
    """Run one seed and return its counts; prints the faults if the seed failed."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, pathlib.Path(folder))
        try:
            soak.run(seconds)
        except BaseException:
            # Only the logs of the routers show why they did not start.
            keep_logs(pathlib.Path(folder), seed)
            raise
        finally:
            soak.close()
        found = soak.count_outcomes()
        if any(found[name] for name in ZERO_COUNTS):
            keep_logs(pathlib.Path(folder), seed)
    if any(found[name] for name in ZERO_COUNTS):
        print("\n".join(soak.events), file=sys.stderr)
    return found


def keep_logs(folder: pathlib.Path, seed: int) -> None:
    """Copy the routers' logs out of the temporary folder."""
    copy = pathlib.Path(tempfile.gettempdir()) / f"celeryspan-soak-{seed}"
    shutil.copytree(folder, copy, dirs_exist_ok=True)
    print(f"router logs are in {copy}", file=sys.stderr)


def run(arguments: list[str]) -> int:
    """Run consecutive seeds; returns 1 if any of them failed."""
    seed = int(arguments[0]) if arguments else SEED
    seconds = float(arguments[1]) if len(arguments) > 1 else SECONDS
    count = int(arguments[2]) if len(arguments) > 2 else 1
    failed = 0
    for number in range(seed, seed + count):
        found = play(number, seconds)
        failed += any(found[name] for name in ZERO_COUNTS)
        print(f"seed {number}: {', '.join(f'{k} {v}' for k, v in found.items())}")
    print(f"{count} seeds, {failed} failed")
    return 1 if failed else 0
