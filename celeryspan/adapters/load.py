"""The adapter of load reports of backend servers."""

from __future__ import annotations

import time

import urllib3

from celeryspan import errors, ids
from celeryspan.decisions import limits

TIMEOUT_SECONDS = 2.0
"""A report that takes longer is too old to be of use."""


class LoadClient:
    """Reads load reports."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(TIMEOUT_SECONDS), retries=False
        )

    def read(
        self, server: ids.ServerId, address: ids.Address, now: float
    ) -> limits.LoadReport:
        """Return the load report of a server.

        Parameters
        ----------
        now : float
            Monotonic seconds; the report's own time is moved to this clock.

        Raises
        ------
        errors.CeleryspanError
            If there is no answer or it can't be read.
        """
        try:
            response = self._pool.request("GET", f"http://{address}/load")
            found = response.json()
            age = max(0.0, time.time() - float(found["as_of"]))
            return limits.LoadReport(
                slots=int(found["slots"]),
                running=int(found["running"]),
                waiting=int(found["waiting"]),
                tokens_per_second=float(found.get("tokens_per_second", 0.0)),
                as_of=now - age,
                leaving=bool(found.get("leaving", False)),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            raise errors.CeleryspanError(
                f"no load report: {error}", step="read load", peer=server
            ) from error
