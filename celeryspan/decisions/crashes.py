"""Decides which lost runs mean that a backend server has crashed.

A connection that ends early is no proof of a crash: connections are reset, answers are
lost and servers close idle connections while they keep running. A server counts as
crashed only if it refuses connections right afterwards, if its entry in the store
lapses without an announced departure, or if another incarnation takes its place.
Without this distinction, requests whose connections merely broke would be taken for
requests that crash servers.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping

import msgspec

from celeryspan import catalog, ids
from celeryspan.decisions import fingerprints, suspectfeatures

EVIDENCE_TIMEOUT_SECONDS = 8.0
"""How long a lost run waits for evidence of a crash: the entry of a crashed server
lapses only after several missed heartbeats."""

HEALTHY_SECONDS = 0.5
"""How long a server counts as healthy after it has accepted a connection."""

CRASH_RETENTION_SECONDS = 30.0
"""How long a crash is remembered for runs whose loss is detected late."""

NO_STRIKES: Mapping[int, int] = {}

FindEntry = Callable[[ids.ServerId], catalog.ServerEntry | None]


class Evidence(enum.Enum):
    """Evidence that a server has crashed."""

    REFUSED = "connection refused"
    LAPSED = "entry lapsed"
    RESTARTED = "restarted"
    REPORTED = "reported by a peer"


class LostRun(msgspec.Struct, frozen=True):
    """A run whose connection ended before its answer was complete.

    Attributes
    ----------
    entry : ServerEntry
        The server's entry when the run was sent.
    seconds : float
        Time since the first part of the answer, or since the run was sent if no part
        had arrived.
    is_begun : bool
        Whether a part of the answer had arrived.
    features : tuple of Feature
        Features that the request shares with others.
    strikes : mapping of value to int
        Consecutive crashes of the request and of its features that were known when the
        run was sent.
    """

    request: ids.RequestId
    entry: catalog.ServerEntry
    fingerprint: fingerprints.Fingerprint
    seconds: float
    is_begun: bool
    features: tuple[suspectfeatures.Feature, ...] = ()
    strikes: Mapping[int, int] = NO_STRIKES

    def count_trials(self, value: int) -> int:
        """Return one more than the consecutive crashes of the request or a feature."""
        return self.strikes.get(value, 0) + 1


class Crash(msgspec.Struct, frozen=True):
    """A crash of a server and the runs lost in it.

    Attributes
    ----------
    name : str
        The incarnation that crashed, as :func:`format_incarnation` writes it.
    """

    name: str
    server: ids.ServerId
    evidence: Evidence
    runs: tuple[LostRun, ...]


class _PendingLosses(msgspec.Struct):
    """Runs lost on one server incarnation that wait for evidence of a crash."""

    entry: catalog.ServerEntry
    since: float
    runs: list[LostRun] = msgspec.field(default_factory=list)


class CrashDetector:
    """Matches lost runs with evidence of crashes, by server incarnation."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingLosses] = {}
        self._healthy_until: dict[str, float] = {}
        self._crashed_at: dict[str, float] = {}

    def add_loss(self, run: LostRun, now: float) -> Crash | None:
        """Record a lost run; return the crash if it is already known."""
        self._expire(now)
        name = format_incarnation(run.entry)
        if name in self._crashed_at:
            return Crash(name, run.entry.server, Evidence.REPORTED, (run,))
        if self.is_healthy(name, now):
            return None
        losses = self._pending.setdefault(name, _PendingLosses(run.entry, now))
        losses.runs.append(run)
        return None

    def is_pending(self, name: str) -> bool:
        """Return whether lost runs of a server incarnation wait for evidence."""
        return name in self._pending

    def is_healthy(self, name: str, now: float) -> bool:
        """Return whether a server incarnation has just accepted a connection."""
        return now < self._healthy_until.get(name, 0.0)

    def record_accepted_connection(
        self, entry: catalog.ServerEntry, now: float
    ) -> None:
        """Record that a server accepted a connection and thus has not crashed.

        Without lost runs this is no news: runs lost from now on need evidence anew.
        """
        name = format_incarnation(entry)
        if self._pending.pop(name, None) is not None:
            self._healthy_until[name] = now + HEALTHY_SECONDS

    def confirm(self, name: str, evidence: Evidence, now: float) -> Crash | None:
        """Record a crash; return it if runs were lost here."""
        self._crashed_at[name] = now
        losses = self._pending.pop(name, None)
        if losses is None:
            return None
        return Crash(name, losses.entry.server, evidence, tuple(losses.runs))

    def check_entries(self, find: FindEntry, now: float) -> list[Crash]:
        """Check pending losses against the server entries and return the crashes found.

        Parameters
        ----------
        find : callable
            Returns the entry of a server; those of leaving servers are included.
        """
        self._expire(now)
        crashes = []
        for name, losses in list(self._pending.items()):
            entry = find(losses.entry.server)
            if entry is not None and entry.is_leaving:
                del self._pending[name]
            elif entry is None:
                crashes.append(self.confirm(name, Evidence.LAPSED, now))
            elif entry.succeeds(losses.entry):
                crashes.append(self.confirm(name, Evidence.RESTARTED, now))
        return [crash for crash in crashes if crash is not None]

    def _expire(self, now: float) -> None:
        for name, losses in list(self._pending.items()):
            if now - losses.since > EVIDENCE_TIMEOUT_SECONDS:
                del self._pending[name]
        for name, at in list(self._crashed_at.items()):
            if now - at > CRASH_RETENTION_SECONDS:
                del self._crashed_at[name]
        for name, until in list(self._healthy_until.items()):
            if now >= until:
                del self._healthy_until[name]


def format_incarnation(entry: catalog.ServerEntry) -> str:
    """Return the identifier of a server incarnation, such as ``gpu-1@1790000000000``.

    The part after the ``@`` is the start time in Unix milliseconds, 0 if unknown.
    """
    return f"{entry.server}@{entry.started_ms or 0}"
