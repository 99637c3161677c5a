"""Randomized faults before real routers: ``make bench NAME=soak``.

``ARGUMENTS="SEED SECONDS COUNT"`` names the first seed, the length and the seeds.

Routers run as processes of their own; the store and the backend servers are
stand-ins behind proxies. Faults come in series and overlap: processes are killed,
paused, stopped and sent SIGHUP; connections are delayed, reset, silenced or cut one
way; the store is silent or refuses; servers drain, fail and answer twice;
configurations change; some callers leave every connection open; some requests crash the
servers that run them. Callers and servers are then held against each other: what ran
twice, what was promised and ran, what was mixed up, who got work after it had left,
which router answers nobody any more, which request went on to crash servers.
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

from bench import soakfatal, soakparts
from standins import objects, platformserver, ports, sampleconfig

ROUTERS = 3
CALLERS = 6
SERVERS = {"gate": 3, "planner": 3}
SEED, SECONDS = 1, 20.0
SETTLE_SECONDS = 5.0
LEAVE_SECONDS = 2.0
"""A server that leaves may get work for so long after it has said so."""

SPOILS = {
    "gate": ("reset", "cut", "twice", "error", "full", "unsigned"),
    "planner": ("reset", "cut_stream", "error", "full"),
}
"""What servers of each service may do wrong; an engine has no plain answers."""

FAULTS: dict[str, Callable[[Soak], None]] = {}


def fault(apply: Callable[[Soak], None]) -> Callable[[Soak], None]:
    """Put a fault into the registry."""
    FAULTS[apply.__name__] = apply
    return apply


class Soak:
    """One seeded run."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.random = random.Random(seed)
        self.store = objects.ObjectStore()
        self.version = 1
        self.stopping = threading.Event()
        self.servers: list[platformserver.PlatformServer] = []
        self.crashed: list[platformserver.PlatformServer] = []
        self.born: dict[str, int] = {}
        self.left: dict[str, float] = {}
        self.events: list[str] = []
        self.own_ends = 0
        self.locked_out = 0
        self.proxies: dict[str, soakparts.Proxy] = {}
        self._began = time.monotonic()
        self._tasks: list[threading.Thread] = []
        self._folder = folder
        self.store.start()
        self.store.put("config", "main", sampleconfig.make_configuration(self.version))
        for service, count in SERVERS.items():
            for _ in range(count):
                self.add_server(service)
        found = ports.find_ports(4 * ROUTERS)
        self.routers = []
        for index in range(ROUTERS):
            proxy = self.proxies[f"store-{index}"] = soakparts.Proxy(self.store.address)
            own = found[4 * index : 4 * index + 4]
            self.routers.append(
                soakparts.RouterProcess(f"edge-{index}", proxy.address, own, folder)
            )
        self.hoarders = [soakparts.Hoarder(router) for router in self.routers]
        self.callers = [
            soakparts.Caller(f"c{index}", self.routers, f"{seed}-{index}")
            for index in range(CALLERS)
        ]
        self.fatal = soakfatal.FatalCaller(self, seed)

    def note(self, text: str) -> None:
        """Keep a line on what was done, with its time."""
        self.events.append(f"{time.monotonic() - self._began:7.3f} {text}")

    def add_server(self, service: str) -> None:
        """Start a backend server and enter it in the store."""
        name = f"{service}-{len(self.servers)}"
        server = self.start_server(name, service)
        proxy = self.proxies[name] = soakparts.Proxy(server.address)
        self.servers.append(server)
        self.enter(name, service, proxy)

    def start_server(self, name: str, service: str) -> platformserver.PlatformServer:
        """Start an incarnation of a backend server."""
        server = platformserver.PlatformServer(name, streams=service == "planner")
        server.event_seconds = 0.02
        server.fatal_bodies = soakfatal.BODIES
        server.start()
        self.born[name] = time.time_ns() // 1_000_000
        return server

    def list_incarnations(self) -> list[platformserver.PlatformServer]:
        """Return all backend servers that there are and were."""
        # One that has crashed stays in its place until it comes back.
        return [
            *self.servers,
            *(each for each in self.crashed if each not in self.servers),
        ]

    def enter(
        self, name: str, service: str, proxy: soakparts.Proxy, state: str = "ready"
    ) -> None:
        """Write the entry of a backend server."""
        spec = sampleconfig.make_entry(
            service, proxy.address, state=state, born=self.born[name]
        )
        self.store.put("servers", name, spec)

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Undo a fault after a time, or at the end."""

        def run() -> None:
            self.stopping.wait(seconds)
            act()

        task = threading.Thread(target=run, daemon=True)
        task.start()
        self._tasks.append(task)

    def run(self, seconds: float) -> None:
        """Start all, disturb for some seconds, let it settle, stop all."""
        for router in self.routers:
            router.start()
        sampleconfig.wait_for(lambda: all(router.is_ready() for router in self.routers))
        for each in (*self.callers, *self.hoarders, self.fatal):
            each.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            name = self.random.choice(sorted(FAULTS))
            FAULTS[name](self)
            time.sleep(self.random.uniform(0.2, 1.2))
        self.stopping.set()
        for task in self._tasks:
            task.join()
        self.fatal.stop()
        time.sleep(SETTLE_SECONDS)
        self.locked_out = sum(not router.is_ready() for router in self.routers)
        for each in (*self.callers, *self.hoarders):
            each.stop()
        self.own_ends = sum(router.ends_by_itself() for router in self.routers)

    def close(self) -> None:
        """End the processes that this run has started, and the stand-ins."""
        for router in self.routers:
            with contextlib.suppress(AssertionError, ProcessLookupError):
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
                router.wait(5.0)
        for hoarder in self.hoarders:
            hoarder.close()
        for proxy in self.proxies.values():
            proxy.stop()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def judge(self) -> dict[str, int]:
        """Hold what callers were told against what servers did."""
        servers = self.list_incarnations()
        runs = collections.Counter(name for s in servers for name in s.ran)
        told = [each for caller in self.callers for each in caller.told]
        once = [each for each in told if each.path.startswith(("/bookings", "/notes"))]
        found = {
            "asked": len(told),
            "answered": sum(each.status == 200 for each in told),
            "refused": sum(each.status in soakparts.PROMISES for each in told),
            "unknown": sum(each.status in (502, 504) for each in told),
            "unanswered": sum(each.status == 0 for each in told),
            "ran_twice": sum(
                runs[name] > 1
                for name in [*(each.request for each in once), *self.fatal.bookings]
            ),
            "false_promise": sum(
                each.status in soakparts.PROMISES and runs[each.request] > 0
                for each in once
            ),
            "mixed": sum(bool(each.fault) for each in told),
            "after_leaving": self._count_after_leaving(),
            "crashes": len(self.crashed),
            "crashed_too_often": self.fatal.count_excess(servers),
            "held_innocents": sum(each.status == 429 for each in told),
            "own_ends": self.own_ends,
            "locked_out": self.locked_out,
        }
        for each in told:
            if each.fault:
                self.note(f"mixed: {each}")
        return found

    def _count_after_leaving(self) -> int:
        return sum(
            at > self.left[server.name] + LEAVE_SECONDS
            for server in self.list_incarnations()
            if server.name in self.left
            for at in server.ran_at
        )


@fault
def kill(soak: Soak) -> None:
    """Kill a router and start it again."""
    router = soak.random.choice(soak.routers)
    if router.is_ending:
        return
    soak.note(f"kill {router.name}")
    router.signal(signal.SIGCONT)
    router.signal(signal.SIGKILL)
    router.wait(5.0)
    time.sleep(soak.random.uniform(0.0, 0.5))
    router.start()


@fault
def stop(soak: Soak) -> None:
    """Stop a router gracefully, perhaps asking twice, and start it again."""
    router = soak.random.choice(soak.routers)
    if router.is_ending:
        return
    router.is_ending = True
    soak.note(f"stop {router.name}")
    for _ in range(soak.random.choice((1, 2))):
        router.signal(signal.SIGTERM)

    def start_again() -> None:
        if router.wait(12.0) is None:
            soak.note(f"{router.name} outlasts its grace")
            soak.own_ends += 1
            return
        router.start()
        router.is_ending = False

    soak.later(0.0, start_again)


@fault
def pause(soak: Soak) -> None:
    """Pause a router and let it wake with old beliefs."""
    router = soak.random.choice(soak.routers)
    seconds = soak.random.uniform(0.3, 3.0)
    soak.note(f"pause {router.name} for {seconds:.1f} s")
    router.signal(signal.SIGSTOP)
    soak.later(seconds, lambda: router.signal(signal.SIGCONT))


@fault
def hang_up(soak: Soak) -> None:
    """Send SIGHUP."""
    soak.random.choice(soak.routers).signal(signal.SIGHUP)


@fault
def disturb(soak: Soak) -> None:
    """Delay, silence or cut connections to one server or of one router to the store."""
    name = soak.random.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    way = soak.random.choice(list(soakparts.Way))
    proxy.way, proxy.delay = way, soak.random.choice((0.0, 0.05, 0.3))
    soak.note(f"{name}: {way.value}, {proxy.delay} s late")

    def mend() -> None:
        proxy.way, proxy.delay = soakparts.Way.OPEN, 0.0

    soak.later(soak.random.uniform(0.5, 3.0), mend)


@fault
def reset(soak: Soak) -> None:
    """Reset all connections through one proxy."""
    name = soak.random.choice(sorted(soak.proxies))
    soak.note(f"reset {name}")
    soak.proxies[name].reset()


@fault
def spoil(soak: Soak) -> None:
    """Let a server spoil its next answers."""
    server = soak.random.choice(soak.servers)
    words = soak.random.choices(SPOILS[server.name.partition("-")[0]], k=3)
    soak.note(f"{server.name} will {words}")
    server.script.extend(words)


@fault
def refuse_store(soak: Soak) -> None:
    """Let the store refuse or be silent for a while."""
    faults = soak.store.faults
    if soak.random.random() < 0.5:
        faults.refuse_status = soak.random.choice((429, 503))
    else:
        faults.silent = True
    soak.note(f"store: {faults}")

    def mend() -> None:
        faults.refuse_status, faults.silent = 0, False

    soak.later(soak.random.uniform(0.5, 3.0), mend)


@fault
def forget_history(soak: Soak) -> None:
    """Let the store forget its history."""
    soak.store.compact()


@fault
def change_configuration(soak: Soak) -> None:
    """Write a new version."""
    soak.version += soak.random.randint(1, 3)
    soak.store.put("config", "main", sampleconfig.make_configuration(soak.version))


@fault
def replace_server(soak: Soak) -> None:
    """Let a server say that it leaves; another one comes."""
    ready = [each for each in soak.servers if each.name not in soak.left]
    server = soak.random.choice(ready)
    service = server.name.partition("-")[0]
    soak.add_server(service)
    soak.note(f"{server.name} leaves")
    soak.enter(server.name, service, soak.proxies[server.name], "draining")
    soak.left[server.name] = time.monotonic()


PROMISED = (
    "ran_twice",
    "false_promise",
    "mixed",
    "own_ends",
    "locked_out",
    "crashed_too_often",
    "held_innocents",
)
"""Counts that must be 0 whatever happens. Work after leaving is counted, and allowed
while the store was out of a router's reach."""


def play(seed: int, seconds: float) -> dict[str, int]:
    """Run one seed and return its counts; prints what was done if a promise broke."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, pathlib.Path(folder))
        try:
            soak.run(seconds)
        except BaseException:
            # What the routers wrote is all that tells why they did not come up.
            keep_logs(pathlib.Path(folder), seed)
            raise
        finally:
            soak.close()
        found = soak.judge()
        if any(found[name] for name in PROMISED):
            keep_logs(pathlib.Path(folder), seed)
    if any(found[name] for name in PROMISED):
        print("\n".join(soak.events), file=sys.stderr)
    return found


def keep_logs(folder: pathlib.Path, seed: int) -> None:
    """Keep the routers' logs of a seed whose promises broke."""
    kept = pathlib.Path(tempfile.gettempdir()) / f"celeryspan-soak-{seed}"
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"logs in {kept}", file=sys.stderr)


def run(arguments: list[str]) -> int:
    """Run seeds from the first one on; returns 1 if a promise broke."""
    seed = int(arguments[0]) if arguments else SEED
    seconds = float(arguments[1]) if len(arguments) > 1 else SECONDS
    count = int(arguments[2]) if len(arguments) > 2 else 1
    broken = 0
    for number in range(seed, seed + count):
        found = play(number, seconds)
        broken += any(found[name] for name in PROMISED)
        print(f"seed {number}: {', '.join(f'{k} {v}' for k, v in found.items())}")
    print(f"{count} seeds, {broken} with a broken promise")
    return 1 if broken else 0
