"""Addresses of the routers that a caller uses, and the tickets issued to it."""

from __future__ import annotations

import collections
import json
import threading
import time
from collections.abc import Sequence

import urllib3

from celeryspan import errors

# Maximum age of a ticket when it is taken. Routers accept it for twice as long, so that
# a repeat of the request is still accepted.
TICKET_AGE_SECONDS_MAX = 300.0

TICKETS_PER_REQUEST = 16

REQUEST_TIMEOUT_SECONDS = 5.0
RETRY_SECONDS = 0.2


class AddressBook:
    """Fetches router addresses and caches them for as long as the routers allow.

    Parameters
    ----------
    seeds : sequence of str
        Router addresses to ask in addition to those learned from routers.
    """

    def __init__(self, pool: urllib3.PoolManager, seeds: Sequence[str]) -> None:
        self._pool = pool
        self._seeds = list(seeds)
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self._tickets: collections.deque[tuple[float, str]] = collections.deque()
        self._lock = threading.Lock()

    def read(self, deadline: float) -> list[str]:
        """Return router addresses, the best first.

        Raises
        ------
        errors.NotRun
            If no router answers before the deadline.
        """
        with self._lock:
            while not self._addresses or time.monotonic() >= self._expires_at:
                if self._refresh():
                    break
                if time.monotonic() + RETRY_SECONDS >= deadline:
                    raise errors.NotRun(
                        f"no router returned addresses; asked {', '.join(self._seeds)}",
                        code="no-router",
                        status=503,
                        step="ask for addresses",
                    )
                time.sleep(RETRY_SECONDS)
            return list(self._addresses)

    def drop(self, address: str) -> None:
        """Leave out an address that failed, until the next refresh."""
        with self._lock:
            if address in self._addresses:
                self._addresses.remove(address)

    def take_ticket(self) -> str:
        """Return a ticket that is still valid; empty if the routers issue none."""
        with self._lock:
            ticket = self._take_valid()
            if not ticket and self._refresh():
                ticket = self._take_valid()
            return ticket

    def _take_valid(self) -> str:
        while self._tickets:
            received, ticket = self._tickets.pop()
            if time.monotonic() - received < TICKET_AGE_SECONDS_MAX:
                return ticket
        return ""

    def _refresh(self) -> bool:
        """Ask the known routers in turn until one answers with addresses."""
        for address in dict.fromkeys([*self._addresses, *self._seeds]):
            try:
                answer = self._pool.request(
                    "GET",
                    f"http://{address}/v1/addresses?tickets={TICKETS_PER_REQUEST}",
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
                content = json.loads(answer.data)
                addresses = [str(item) for item in content["addresses"]]
                keep_seconds = float(content["keep_seconds"])
                tickets = [str(item) for item in content["tickets"]]
            except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
                continue
            if addresses:
                now = time.monotonic()
                self._addresses, self._expires_at = addresses, now + keep_seconds
                self._tickets = collections.deque((now, item) for item in tickets)
                return True
        return False
