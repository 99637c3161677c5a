"""The kernel service ``crashwatch``: detects servers that crash during runs.

When a run is lost, its server is probed with a connection attempt, once for all runs
lost at about the same time. A separate thread probes, so that no caller waits for it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from urllib3.util import connection as urllib3_connection

from celeryspan import catalog, events, ids, kernel
from celeryspan.adapters import backend
from celeryspan.decisions import crashes, fingerprints, suspectfeatures

if TYPE_CHECKING:
    from celeryspan.gateway import (
        announcements,
        orders,
        requestprogress,
        serverlists,
    )

PROBE_DELAY_SECONDS = 0.02
"""Time before a probe, within which all runs of a crashed server lose their
connections."""

CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout of a probe: a running server accepts within milliseconds."""

CONCURRENT_PROBES_MAX = 8
"""Servers probed at a time; for the others only their entries give evidence."""

LOGGED_FINGERPRINTS_MAX = 8
"""Maximum number of fingerprints in one log line."""

Handler = Callable[[crashes.Crash], None]


class _LifeCheck:
    """One question to a server whether it runs, for all who ask at the same time.

    Attributes
    ----------
    is_alive : bool or None
        The result; None if it is not known.
    """

    def __init__(self) -> None:
        self.done = threading.Event()
        self.is_alive: bool | None = None


@kernel.register("crashwatch", needs=("announcements", "servers"))
class CrashWatch:
    """Records lost runs and reports the servers that crashed under them."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._servers: serverlists.ServersService = container.find("servers")
        self._fingerprinter = fingerprints.Fingerprinter(
            container.settings.fleet_keys[0]
        )
        self._detector = crashes.CrashDetector()
        self._lock = threading.Lock()
        self._probes: dict[str, threading.Event] = {}
        self._life_checks: dict[str, _LifeCheck] = {}
        self._handlers: list[Handler] = []

    def start(self) -> None:
        """Subscribe to changes of the server entries."""
        self._servers.subscribe(lambda _: self._check_entries())

    def stop(self) -> None:
        """Do nothing: probes end by themselves."""

    def subscribe(self, handler: Handler) -> None:
        """Register a handler for crashes in which runs of this router were lost."""
        self._handlers.append(handler)

    def compute_scope(self, order: orders.Order) -> int:
        """Return the hash of a request's host, target and client account."""
        return self._fingerprinter.compute_scope(
            order.route.host, order.target, order.account or ""
        )

    def compute_fingerprint(self, order: orders.Order) -> fingerprints.Fingerprint:
        """Return the fingerprint of a request, which does not depend on its id."""
        return self._fingerprinter.compute(
            order.route.host,
            order.target,
            order.account or "",
            order.method,
            order.body,
        )

    def compute_features(
        self, order: orders.Order
    ) -> tuple[suspectfeatures.Feature, ...]:
        """Return the features that a request shares with others."""
        incoming = order.incoming
        traits = suspectfeatures.Traits(
            host=order.route.host,
            path=order.target.partition(b"?")[0].decode("latin-1"),
            model=incoming.model,
            parts=incoming.parts,
            prompt_tokens=incoming.prompt_tokens,
        )
        return suspectfeatures.list_features(
            traits, self._fingerprinter.compute_feature
        )

    def record_loss(
        self,
        order: orders.Order,
        entry: catalog.ServerEntry,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Record a run whose connection was lost.

        Timeouts and runs whose caller has left are ignored: they say nothing about the
        server.
        """
        if _is_timeout(lost) or order.cancellation.is_cancelled:
            return
        now = time.monotonic()
        since = progress.answer_begun_at or progress.last_sent_at
        run = crashes.LostRun(
            request=order.request,
            entry=entry,
            fingerprint=progress.fingerprint or self.compute_fingerprint(order),
            seconds=now - since,
            is_begun=progress.answer_begun_at is not None,
            features=progress.features or self.compute_features(order),
            strikes=progress.strikes,
        )
        events.log(
            events.Event.RUN_LOST,
            request=order.request,
            account=order.account or "",
            server=entry.server,
            fingerprint=str(run.fingerprint),
            features=[str(feature) for feature in run.features],
            seconds=round(run.seconds, 3),
            is_begun=run.is_begun,
            error=str(lost),
        )
        if entry.server not in self._servers.usable():
            return  # The server is leaving and stops once its runs have ended.
        with self._lock:
            crash = self._detector.add_loss(run, now)
            if crash is None:
                self._start_probe(entry)
        self._publish(crash)

    def wait_for_probe(self, entry: catalog.ServerEntry) -> None:
        """Wait for the result of a server's probe if one is in progress."""
        with self._lock:
            probe_done = self._probes.get(crashes.format_incarnation(entry))
        if probe_done is not None:
            probe_done.wait(PROBE_DELAY_SECONDS + 2 * CONNECT_TIMEOUT_SECONDS)

    def check_alive(self, entry: catalog.ServerEntry) -> bool | None:
        """Return whether a server runs after the end of an answer; None if unknown.

        The end of a connection that marks the end of an answer looks the same if its
        server has crashed. The calling thread waits for :data:`PROBE_DELAY_SECONDS`.
        """
        if entry.server not in self._servers.usable():
            return None  # A leaving server stops once its runs have ended.
        if self._announcements.find_rest(entry) is not None:
            return None
        name = crashes.format_incarnation(entry)
        with self._lock:
            check = self._life_checks.get(name)
            is_first = check is None
            if check is None:
                check = self._life_checks[name] = _LifeCheck()
        if not is_first:
            check.done.wait(PROBE_DELAY_SECONDS + 2 * CONNECT_TIMEOUT_SECONDS)
            return check.is_alive
        time.sleep(PROBE_DELAY_SECONDS)
        with self._lock:
            # An answer that ends from now on needs a later connection.
            del self._life_checks[name]
        try:
            check.is_alive = not self._is_refused(entry, name)
        except TimeoutError:
            pass
        finally:
            check.done.set()
        return check.is_alive

    def confirm(self, name: str) -> None:
        """Record a crash of a server incarnation that another router reports."""
        with self._lock:
            if not self._detector.is_pending(name):
                return
            evidence = crashes.Evidence.REPORTED
            crash = self._detector.confirm(name, evidence, time.monotonic())
        self._publish(crash)

    def _start_probe(self, entry: catalog.ServerEntry) -> None:
        """Probe a server unless a probe is in progress; the caller holds the lock."""
        name = crashes.format_incarnation(entry)
        if not self._detector.is_pending(name):
            return
        if name in self._probes or len(self._probes) >= CONCURRENT_PROBES_MAX:
            return
        if self._announcements.find_rest(entry) is not None:
            return  # The server's entry will decide.
        self._probes[name] = threading.Event()
        threading.Thread(
            target=self._probe, args=(entry, name), name="crashwatch", daemon=True
        ).start()

    def _probe(self, entry: catalog.ServerEntry, name: str) -> None:
        time.sleep(PROBE_DELAY_SECONDS)
        try:
            self._is_refused(entry, name)
        except TimeoutError:
            pass  # Inconclusive; the server's entry will decide.
        finally:
            with self._lock:
                probe_done = self._probes.pop(name)
            probe_done.set()

    def _is_refused(self, entry: catalog.ServerEntry, name: str) -> bool:
        """Return whether a server refuses a connection, and so has crashed.

        Raises
        ------
        TimeoutError
            If it neither accepts nor refuses.
        """
        is_refused = is_connection_refused(entry.address)
        now = time.monotonic()
        crash = None
        with self._lock:
            if is_refused:
                evidence = crashes.Evidence.REFUSED
                crash = self._detector.confirm(name, evidence, now)
            else:
                self._detector.record_accepted_connection(entry, now)
        self._publish(crash)
        return is_refused

    def _check_entries(self) -> None:
        with self._lock:
            found = self._detector.check_entries(self._servers.find, time.monotonic())
        for crash in found:
            self._publish(crash)

    def _publish(self, crash: crashes.Crash | None) -> None:
        if crash is None:
            return
        events.log(
            events.Event.SERVER_CRASHED,
            server=crash.server,
            evidence=crash.evidence.value,
            runs=len(crash.runs),
            fingerprints=[
                str(run.fingerprint) for run in crash.runs[:LOGGED_FINGERPRINTS_MAX]
            ],
        )
        for handler in self._handlers:
            handler(crash)


def is_connection_refused(address: ids.Address) -> bool:
    """Return whether a server refuses connections.

    Raises
    ------
    TimeoutError
        If it neither accepts nor refuses.
    """
    try:
        urllib3_connection.create_connection(
            tuple(address), CONNECT_TIMEOUT_SECONDS
        ).close()
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError as error:
        raise TimeoutError(str(error)) from error
    return False


def _is_timeout(lost: backend.AnswerLost) -> bool:
    return isinstance(lost.__cause__, TimeoutError)
