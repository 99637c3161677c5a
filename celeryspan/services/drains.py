"""Drains backend servers before their engines are ordered to load a model.

An engine that is ordered to load while it generates cuts the answers in progress, and
callers see streams that end in the middle. The server is therefore first marked as
leaving, so that it gets no new work, and gets its order only after it has been idle for
:data:`IDLE_SECONDS`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from celeryspan import errors, ids, register
from celeryspan.adapters import load
from celeryspan.decisions import loading

if TYPE_CHECKING:
    from celeryspan.services import vmlist

IDLE_SECONDS = 3.0
"""Time for which a server must have had no request: a grant in flight while the fact
spread is used within a second."""


class _ServerDrain(msgspec.Struct):
    idle_since: float | None = None
    ordered: bool = False


class ServerDrains:
    """The servers being drained, at most :data:`loading.MAX_CONCURRENT_LOADS`."""

    def __init__(self, departures: vmlist.VMListService) -> None:
        self._departures = departures
        self._loads = load.LoadClient()
        self._drains: dict[ids.ServerId, _ServerDrain] = {}

    def drain(self, server: register.Server, now: float) -> bool:
        """Keep a server drained; return whether it has been idle for long enough."""
        name = ids.ServerId(server.name)
        if (
            name not in self._drains
            and len(self._drains) >= loading.MAX_CONCURRENT_LOADS
        ):
            return False
        drain = self._drains.setdefault(name, _ServerDrain())
        # Repeated on each call: the VM list reports the server as live, which would
        # give it new work.
        self._departures.mark_leaving(name)
        try:
            report = self._loads.read(name, ids.Address.parse(server.address), now)
        except errors.CeleryspanError:
            return False
        if report.running or report.waiting:
            drain.idle_since = None
        elif drain.idle_since is None:
            drain.idle_since = now
        return drain.idle_since is not None and (now - drain.idle_since >= IDLE_SECONDS)

    def mark_ordered(self, server: ids.ServerId) -> None:
        """Record a load order: the server stays drained until it has loaded."""
        if server in self._drains:
            self._drains[server].ordered = True

    def finish(self, server: ids.ServerId) -> None:
        """Give a server new work again; does nothing if it was not drained."""
        if self._drains.pop(server, None) is not None:
            self._departures.mark_live(server)

    def cancel(self) -> None:
        """Stop draining; servers without a load order get new work again."""
        for server, drain in list(self._drains.items()):
            if not drain.ordered:
                self.finish(server)
        self._drains.clear()
