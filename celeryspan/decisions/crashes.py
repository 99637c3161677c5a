"""Which lost runs mean that a backend server has crashed.

A connection that ends is no proof: connections are reset, answers are lost and servers
drop idle connections while they live on. A crash is believed if the server refuses
connections right after, if its entry lapses although it never said that it leaves, or
if another incarnation takes its place. Without the distinction, requests that were
unlucky would be taken for requests that crash servers.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from celeryspan import catalog, ids
from celeryspan.decisions import fingerprints

EVIDENCE_TIMEOUT_SECONDS = 8.0
"""How long a loss waits for evidence: entries of crashed servers lapse after some
heartbeats."""

HEALTHY_SECONDS = 0.5
"""How long a server that has accepted a connection counts as sound."""

CRASH_RETENTION_SECONDS = 30.0
"""How long a crash is remembered for runs whose end is noticed late."""

FindEntry = Callable[[ids.ServerId], catalog.ServerEntry | None]


class Evidence(enum.Enum):
    """What shows that a server has crashed."""

    REFUSED = "connection refused"
    LAPSED = "entry lapsed"
    RESTARTED = "restarted"
    REPORTED = "reported by a peer"


class LostRun(msgspec.Struct, frozen=True):
    """A run whose connection ended before its answer did.

    Attributes
    ----------
    entry : ServerEntry
        The server as it was when the run was sent.
    seconds : float
        Since the first part of the answer, or since it was sent if none had come.
    is_begun : bool
        Whether a part of the answer had come.
    trial : int
        One more than the crashes in a row that were known when it was sent.
    """

    request: ids.RequestId
    entry: catalog.ServerEntry
    fingerprint: fingerprints.Fingerprint
    seconds: float
    is_begun: bool
    trial: int = 1


class Crash(msgspec.Struct, frozen=True):
    """A server that has crashed, and runs that were lost with it."""

    name: str
    server: ids.ServerId
    evidence: Evidence
    runs: tuple[LostRun, ...]


class _PendingLosses(msgspec.Struct):
    """Losses at one server that wait for evidence."""

    entry: catalog.ServerEntry
    since: float
    runs: list[LostRun] = msgspec.field(default_factory=list)


class CrashDetector:
    """Collects losses and evidence by the incarnations of servers."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingLosses] = {}
        self._healthy_until: dict[str, float] = {}
        self._crashed_at: dict[str, float] = {}

    def add_loss(self, run: LostRun, now: float) -> Crash | None:
        """Take in a lost run; returns the crash if it is known already."""
        self._expire(now)
        name = format_incarnation(run.entry)
        if name in self._crashed_at:
            return Crash(name, run.entry.server, Evidence.REPORTED, (run,))
        if now < self._healthy_until.get(name, 0.0):
            return None
        case = self._pending.setdefault(name, _PendingLosses(run.entry, now))
        case.runs.append(run)
        return None

    def is_pending(self, name: str) -> bool:
        """Whether losses at an incarnation of a server wait for evidence."""
        return name in self._pending

    def record_accepted_connection(
        self, entry: catalog.ServerEntry, now: float
    ) -> None:
        """Note that a server has accepted a connection: it has not crashed."""
        name = format_incarnation(entry)
        self._pending.pop(name, None)
        self._healthy_until[name] = now + HEALTHY_SECONDS

    def confirm(self, name: str, evidence: Evidence, now: float) -> Crash | None:
        """Note that a server has crashed; returns the crash if runs were lost here."""
        self._crashed_at[name] = now
        case = self._pending.pop(name, None)
        if case is None:
            return None
        return Crash(name, case.entry.server, evidence, tuple(case.runs))

    def check_entries(self, find: FindEntry, now: float) -> list[Crash]:
        """Compare what waits with the entries of servers, those that leave included."""
        self._expire(now)
        found = []
        for name, case in list(self._pending.items()):
            entry = find(case.entry.server)
            if entry is not None and entry.is_leaving:
                del self._pending[name]
            elif entry is None:
                found.append(self.confirm(name, Evidence.LAPSED, now))
            elif entry.succeeds(case.entry):
                found.append(self.confirm(name, Evidence.RESTARTED, now))
        return [crash for crash in found if crash is not None]

    def _expire(self, now: float) -> None:
        for name, case in list(self._pending.items()):
            if now - case.since > EVIDENCE_TIMEOUT_SECONDS:
                del self._pending[name]
        for name, at in list(self._crashed_at.items()):
            if now - at > CRASH_RETENTION_SECONDS:
                del self._crashed_at[name]
        for name, until in list(self._healthy_until.items()):
            if now >= until:
                del self._healthy_until[name]


def format_incarnation(entry: catalog.ServerEntry) -> str:
    """Return the name of one incarnation of a server."""
    return f"{entry.server}@{entry.started_ms or 0}"
