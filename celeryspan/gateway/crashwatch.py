"""The kernel service ``crashwatch``: finds out which servers crashed under their runs.

A server under which a run was lost is asked for a connection, once for all runs that
are lost at about the same time; a task of its own does it, so that no caller waits.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from urllib3.util import connection as urllib3_connection

from celeryspan import catalog, events, ids, kernel
from celeryspan.adapters import backend
from celeryspan.decisions import crashes, fingerprints

if TYPE_CHECKING:
    from celeryspan.gateway import orders, requestprogress, serverlists

GATHER_SECONDS = 0.02
"""Runs of a crashed server meet the end of their connections within this time."""

PROBE_SECONDS = 0.25
"""Wait for a connection: a server that lives accepts within milliseconds."""

PROBES_MAX = 8
"""Servers asked at a time; the others are judged by their entries."""

NAMED_MAX = 8
"""Fingerprints named in one line of the log."""

Handler = Callable[[crashes.Crash], None]


@kernel.register("crashwatch", needs=("servers",))
class CrashWatch:
    """Notes lost runs, and tells of servers that crashed."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._servers: serverlists.ServersService = box.find("servers")
        self._fingerprinter = fingerprints.Fingerprinter(box.settings.fleet_keys[0])
        self._detector = crashes.CrashDetector()
        self._lock = threading.Lock()
        self._probes: dict[str, threading.Event] = {}
        self._handlers: list[Handler] = []

    def start(self) -> None:
        """Begin to follow the entries of servers."""
        self._servers.subscribe(lambda _: self._follow_entries())

    def stop(self) -> None:
        """Do nothing: probes end by themselves."""

    def subscribe(self, handler: Handler) -> None:
        """Call a handler with each crash under which runs of this router were lost."""
        self._handlers.append(handler)

    def find_scope(self, order: orders.Order) -> int:
        """Return the hash of what stands before the body of a request."""
        return self._fingerprinter.compute_scope(
            order.route.host, order.target, order.account or ""
        )

    def make_fingerprint(self, order: orders.Order) -> fingerprints.Fingerprint:
        """Return what identifies a request beside its id."""
        return self._fingerprinter.compute(
            order.route.host,
            order.target,
            order.account or "",
            order.method,
            order.body,
        )

    def note_loss(
        self,
        order: orders.Order,
        entry: catalog.ServerEntry,
        progress: requestprogress.Progress,
        lost: backend.AnswerLost,
    ) -> None:
        """Note that a run has lost its connection; timeouts tell nothing."""
        if _is_timeout(lost) or order.cancellation.is_cancelled:
            return
        now = time.monotonic()
        since = progress.answer_begun_at or progress.last_sent_at
        run = crashes.LostRun(
            request=order.request,
            entry=entry,
            fingerprint=progress.fingerprint or self.make_fingerprint(order),
            seconds=now - since,
            is_begun=progress.answer_begun_at is not None,
            trial=progress.strikes + 1,
        )
        events.log(
            events.Event.RUN_LOST,
            request=order.request,
            account=order.account or "",
            server=entry.server,
            fingerprint=str(run.fingerprint),
            seconds=round(run.seconds, 3),
            is_begun=run.is_begun,
            error=str(lost),
        )
        if entry.server not in self._servers.usable():
            return  # It leaves, and ends when it has finished.
        with self._lock:
            crash = self._detector.add_loss(run, now)
            if crash is None:
                self._begin_probe(entry)
        self._publish(crash)

    def wait_settled(self, entry: catalog.ServerEntry) -> None:
        """Wait until it is known whether a server has crashed, if it is being asked."""
        with self._lock:
            probe = self._probes.get(crashes.format_incarnation(entry))
        if probe is not None:
            probe.wait(GATHER_SECONDS + 2 * PROBE_SECONDS)

    def confirm(self, name: str) -> None:
        """Take in that a server has crashed, by the word of another router."""
        with self._lock:
            if not self._detector.is_pending(name):
                return
            evidence = crashes.Evidence.REPORTED
            crash = self._detector.confirm(name, evidence, time.monotonic())
        self._publish(crash)

    def _begin_probe(self, entry: catalog.ServerEntry) -> None:
        """Ask a server for a connection unless it is being asked; holds the lock."""
        name = crashes.format_incarnation(entry)
        if not self._detector.is_pending(name):
            return
        if name in self._probes or len(self._probes) >= PROBES_MAX:
            return
        self._probes[name] = threading.Event()
        threading.Thread(
            target=self._probe, args=(entry, name), name="crashwatch", daemon=True
        ).start()

    def _probe(self, entry: catalog.ServerEntry, name: str) -> None:
        time.sleep(GATHER_SECONDS)
        crash = None
        try:
            is_refused = probe_refused(entry.address)
        except TimeoutError:
            pass  # Nobody knows; the entry will tell.
        else:
            now = time.monotonic()
            with self._lock:
                if is_refused:
                    evidence = crashes.Evidence.REFUSED
                    crash = self._detector.confirm(name, evidence, now)
                else:
                    self._detector.record_accepted_connection(entry, now)
        try:
            self._publish(crash)
        finally:
            with self._lock:
                settled = self._probes.pop(name)
            settled.set()

    def _follow_entries(self) -> None:
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
            fingerprints=[str(run.fingerprint) for run in crash.runs[:NAMED_MAX]],
        )
        for handler in self._handlers:
            handler(crash)


def probe_refused(address: ids.Address) -> bool:
    """Return whether a server refuses connections.

    Raises
    ------
    TimeoutError
        If it neither accepts nor refuses.
    """
    try:
        urllib3_connection.create_connection(tuple(address), PROBE_SECONDS).close()
    except (ConnectionRefusedError, ConnectionResetError):
        return True
    except OSError as error:
        raise TimeoutError(str(error)) from error
    return False


def _is_timeout(lost: backend.AnswerLost) -> bool:
    return isinstance(lost.__cause__, TimeoutError)
