"""The kernel service ``vmlist``: backend servers that are leaving."""

from __future__ import annotations

from celeryspan import events, ids, kernel


@kernel.register("vmlist")
class VMListService:
    """Knows which backend servers are leaving."""

    def __init__(self, _: kernel.Kernel) -> None:
        self._leaving: frozenset[ids.ServerId] = frozenset()

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def leaving(self) -> frozenset[ids.ServerId]:
        """Return the backend servers that get no new work."""
        return self._leaving

    def mark_leaving(self, server: ids.ServerId) -> None:
        """Note that a server is leaving."""
        if server not in self._leaving:
            self._leaving |= {server}
            events.log(events.Event.SERVER_LEAVING, server=server)
