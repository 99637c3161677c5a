"""A store that is restored from copies, in addition to the seeded faults of the soak.

It uses a separate random generator, so that the faults of a seed do not depend on it.
The store is away for a moment and comes back from a copy some seconds old; later the
operators and the servers write again what was lost. Meanwhile each router is asked for
routes that only later versions of the configuration have.
"""

from __future__ import annotations

import contextlib
import http.client
import random
import threading
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from bench import soakparts, soakplaces
from standins import objects, sampleconfig

if TYPE_CHECKING:
    from bench import soak

QUIET_SECONDS = (0.5, 3.0)
"""Range of the time from the writers' last write to the next copy."""

COPY_AGE_SECONDS = (0.3, 4.0)
"""Range of the age of the copy at the restoration."""

AWAY_SECONDS = (0.0, 0.8)
"""Range of the time for which the store is away."""

WRITE_AGAIN_SECONDS = (0.2, 2.0)
"""Range of the time after which the writers write again."""

STORE = "store"
"""Name under which faults of the store are recorded, as in :mod:`bench.soak`."""

KINDS = ("config", "servers")
"""Objects that others than the routers write."""

LOST_WRITES = 40
"""Writes that the store loses and nobody writes again."""

READ_SECONDS = 1.1
"""Time within which the routers' watches return the revision of the last lost write."""

CONFIGURATION_SECONDS = 2.0
"""Time within which a configuration must be in force."""

PROBE_SECONDS = 0.25
PROPAGATION_SECONDS = 3.0
"""Time after the last fault within which all that was written must be in force."""

VERSIONS_KEPT = 20
"""Versions of the configuration whose routes later versions keep."""


ATTEMPTS_MAX = 3


def make_configuration(version: int) -> dict:
    """Return a configuration with a route for itself and for each one before it.

    The attempts of the routes change with the version.
    """
    found = soakplaces.make_configuration(version)
    for route in found["routes"]:
        route["max_attempts"] = 1 + version % ATTEMPTS_MAX
    for earlier in range(max(1, version - VERSIONS_KEPT + 1), version + 1):
        route = sampleconfig.make_route(make_path(earlier), "idempotent", "gate")
        found["routes"].append(route)
    return found


def make_path(version: int) -> str:
    """Return the prefix of the route that a version of the configuration adds."""
    return f"/version-{version}/"


class Restorations:
    """Restores the store from copies, and writes again what was lost.

    Attributes
    ----------
    reverts : list of str
        Routers that no longer had a version in force that they had served.
    missed : list of str
        Routers in which a version that was written to a restored store was not in force
        in time.
    """

    def __init__(self, run: soak.Soak, seed: int) -> None:
        self.reverts: list[str] = []
        self.missed: list[str] = []
        self._run = run
        self._random = random.Random(f"restorations {seed}")
        self._stopped = threading.Event()
        self._probes_stopped = threading.Event()
        self._number = 0
        self._ended_at = 0.0
        self._thread = threading.Thread(target=self._repeat, daemon=True)
        self._probes = [
            threading.Thread(target=self._probe, args=(router,), daemon=True)
            for router in run.routers
        ]

    def start(self) -> None:
        """Start restoring the store."""
        for thread in (self._thread, *self._probes):
            thread.start()

    def stop(self) -> None:
        """Restore the store once more, and write to it; no fault follows."""
        self._stopped.set()
        self._thread.join()
        self._restore()
        self._run.write_configuration(1)
        ready = [
            each for each in self._run.servers if each.name not in self._run.leave_times
        ]
        self._run.replace_server(self._random.choice(ready))
        self._ended_at = time.monotonic()

    def stop_probes(self) -> None:
        """Stop asking the routers for routes."""
        self._probes_stopped.set()
        for thread in self._probes:
            thread.join()

    def count_outdated(self) -> int:
        """Return the routers that do not have the last configuration in force."""
        return sum(
            self._ask(router, self._run.version) is HTTPStatus.NOT_FOUND
            for router in self._run.routers
        )

    def count_late_arrivals(self) -> int:
        """Return the runs at servers that left, after all faults have ended."""
        settled_at = self._ended_at + PROPAGATION_SECONDS
        return sum(
            at > settled_at
            for server in self._run.list_incarnations()
            if server.name in self._run.leave_times
            for at in list(server.ran_at)
        )

    def _repeat(self) -> None:
        while not self._stopped.wait(self._random.uniform(*QUIET_SECONDS)):
            self._restore()
            self._check_propagation(self._run.write_configuration(1))

    def _restore(self) -> None:
        """Restore the store from a copy, and write again what it has lost."""
        store, generator = self._run.store, self._random
        copy = store.copy()
        self._stopped.wait(generator.uniform(*COPY_AGE_SECONDS))
        for number in range(LOST_WRITES):
            store.put("notes", "n1", {"number": number})
        time.sleep(READ_SECONDS)
        self._run.record_event(f"store restored to revision {copy.revision}")
        self._run.disturbed_at[STORE].append(time.monotonic())
        store.faults.refuse_status = HTTPStatus.SERVICE_UNAVAILABLE
        lost = store.copy()
        store.restore(copy)
        self._stopped.wait(generator.uniform(*AWAY_SECONDS))
        store.faults.refuse_status = 0
        self._stopped.wait(generator.uniform(*WRITE_AGAIN_SECONDS))
        self._write_again(copy, lost)
        self._run.evacuations.write_again()
        self._run.disturbed_at[STORE].append(time.monotonic())

    def _write_again(self, copy: objects.Copy, lost: objects.Copy) -> None:
        """Write what was lost, but for objects that were written since."""
        store = self._run.store
        for kind in KINDS:
            copied, written = copy.objects.get(kind, {}), lost.objects.get(kind, {})
            for name in copied.keys() | written.keys():
                if store.find(kind, name) is not copied.get(name):
                    continue
                if name not in written:
                    store.remove(kind, name)
                elif written[name] is not copied.get(name):
                    store.put(kind, name, written[name]["spec"])

    def _check_propagation(self, version: int) -> None:
        """Check that a version is in force in time where no fault prevents it."""
        written_at = time.monotonic()
        if self._stopped.wait(CONFIGURATION_SECONDS):
            return
        for router in self._run.routers:
            status = self._ask(router, version)
            faults = list(self._run.restarted_at)
            for name, times in self._run.disturbed_at.items():
                faults += times if name.startswith(STORE) else []
            is_disturbed = any(at > written_at for at in faults)
            if status is HTTPStatus.NOT_FOUND and not is_disturbed:
                self.missed.append(f"{router.name} lacks version {version}")

    def _probe(self, router: soakparts.RouterProcess) -> None:
        """Ask one router for the newest version, and for the newest that it served."""
        served, process = 0, 0
        while not self._probes_stopped.wait(PROBE_SECONDS):
            if router.process != process:
                served, process = 0, router.process
            newest = self._run.version
            if self._ask(router, newest) is HTTPStatus.OK:
                served = max(served, newest)
            elif served and self._ask(router, served) is HTTPStatus.NOT_FOUND:
                if router.process == process:
                    self.reverts.append(f"{router.name} had version {served}")
                served = 0

    def _ask(self, router: soakparts.RouterProcess, version: int) -> HTTPStatus | None:
        """Return the status for a route of one version, or None without an answer."""
        self._number += 1
        headers = {
            "Host": sampleconfig.HOST,
            "Celeryspan-Request-Id": f"version-{router.name}-{self._number}",
            "Celeryspan-Deadline-Ms": str(int(soakparts.CALL_SECONDS * 1000)),
            "Celeryspan-Credential": sampleconfig.KEY,
        }
        connection = http.client.HTTPConnection(
            router.front.host, router.front.port, timeout=soakparts.CALL_SECONDS
        )
        with contextlib.closing(connection):
            try:
                connection.request("GET", make_path(version) + "x", headers=headers)
                return HTTPStatus(connection.getresponse().status)
            except (OSError, http.client.HTTPException):
                return None
