"""Reads the load reports in the answers of backend servers."""

from __future__ import annotations

from celeryspan import catalog, events, ids
from celeryspan.platform import announcements, serverloads

LOGGED_SERVERS_MAX = 1_000
"""Servers remembered as logged. Beyond it all are forgotten, so that servers that come
and go with new ids don't fill the memory."""

LOGGED_CHARACTERS_MAX = 40


class LoadReports:
    """Reads reports, and logs the first invalid one of each server incarnation."""

    def __init__(self) -> None:
        self._logged: dict[ids.ServerId, catalog.ServerEntry] = {}

    def read(
        self,
        entry: catalog.ServerEntry,
        get_header: announcements.GetHeader,
        request: ids.RequestId,
    ) -> catalog.ServerLoad | None:
        """Return the load that a server reports, or None without a valid report."""
        found = serverloads.read(get_header)
        if isinstance(found, serverloads.InvalidLoad):
            self._log_invalid(entry, found, request)
            return None
        return found

    def _log_invalid(
        self,
        entry: catalog.ServerEntry,
        invalid: serverloads.InvalidLoad,
        request: ids.RequestId,
    ) -> None:
        known = self._logged.get(entry.server)
        if known is not None and not entry.replaces(known):
            return
        if len(self._logged) >= LOGGED_SERVERS_MAX:
            self._logged = {}
        self._logged[entry.server] = entry
        events.log(
            events.Event.SERVER_LOAD_INVALID,
            request=request,
            server=entry.server,
            found=invalid.text[:LOGGED_CHARACTERS_MAX],
            expected="requests running, requests waiting, slots, pace in percent",
        )
