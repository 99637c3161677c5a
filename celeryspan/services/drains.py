"""Empties model engines before they are ordered to load.

Failure guarded against: an engine that is ordered to load while it generates cuts the
answers in progress, and callers see streams that end in the middle. So the server first
gets no new work, by the same facts as one that is leaving, and is ordered about only
when it has had nothing to do for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, ids, register
from celeryspan.adapters import load
from celeryspan.decisions import loading

if TYPE_CHECKING:
    from celeryspan.services import vmlist

QUIET_SECONDS = 3.0
"""How long a server must have had no request: a grant that was on its way when the
fact spread is used within a second."""


class _Drain(msgspec.Struct):
    quiet_since: float | None = None
    ordered: bool = False


class Drains:
    """The servers that are kept without work; at most as many as may load at once."""

    def __init__(self, departures: vmlist.VMListService) -> None:
        self._departures = departures
        self._loads = load.LoadClient()
        self._drains: dict[ids.ServerId, _Drain] = {}

    def is_quiet(self, server: register.Server, now: float) -> bool:
        """Keep a server without work; returns whether it has had none for long."""
        name = ids.ServerId(server.name)
        if (
            name not in self._drains
            and len(self._drains) >= loading.MAX_CONCURRENT_LOADS
        ):
            return False
        drain = self._drains.setdefault(name, _Drain())
        # Again each time: the VM list calls the server live and would give it work.
        self._departures.mark_leaving(name)
        try:
            report = self._loads.read(name, ids.Address.parse(server.address), now)
        except errors.CeleryspanError:
            return False
        if report.running or report.waiting:
            drain.quiet_since = None
        elif drain.quiet_since is None:
            drain.quiet_since = now
        return drain.quiet_since is not None and (
            now - drain.quiet_since >= QUIET_SECONDS
        )

    def note_ordered(self, server: ids.ServerId) -> None:
        """Note that a server is loading: it must stay without work until it has."""
        if server in self._drains:
            self._drains[server].ordered = True

    def finish(self, server: ids.ServerId) -> None:
        """Let a server have work again; does nothing for one that was not drained."""
        if self._drains.pop(server, None) is not None:
            self._departures.mark_live(server)

    def give_up(self) -> None:
        """Let all servers that have not been ordered about have work again."""
        for server, drain in list(self._drains.items()):
            if not drain.ordered:
                self.finish(server)
        self._drains.clear()
