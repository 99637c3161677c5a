"""Adapter for the load reports of backend servers."""

from __future__ import annotations

import json
import time

import urllib3

from celeryspan import errors, httpconnections, ids
from celeryspan.adapters import backend
from celeryspan.decisions import limits

TIMEOUT_SECONDS = 2.0
"""A report that takes longer is too old to be useful."""


class LoadClient:
    """Reads load reports."""

    def __init__(self) -> None:
        self._pool = httpconnections.make_pool(
            timeout=urllib3.Timeout(TIMEOUT_SECONDS), retries=False
        )

    def read(
        self, server: ids.ServerId, address: ids.Address, now: float
    ) -> limits.LoadReport:
        """Return the load report of a server.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds, to which the report's time is converted.

        Raises
        ------
        errors.CeleryspanError
            If no valid response arrives.
        """
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}/load",
                preload_content=False,
                decode_content=False,
            )
            body = httpconnections.read_body(response, backend.FIELDS_BYTES_MAX)
            fields = json.loads(body)
            age = max(0.0, time.time() - float(fields["as_of"]))
            return limits.LoadReport(
                slots=int(fields["slots"]),
                running=int(fields["running"]),
                waiting=int(fields["waiting"]),
                tokens_per_second=float(fields.get("tokens_per_second", 0.0)),
                as_of=now - age,
                leaving=bool(fields.get("leaving", False)),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            raise errors.CeleryspanError(
                f"cannot read the load report: {error}", step="read load", peer=server
            ) from error
