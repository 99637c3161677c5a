"""Which routers a caller uses, and the tickets that they gave it."""

from __future__ import annotations

import collections
import json
import threading
import time
from collections.abc import Sequence

import urllib3

from celeryspan import errors

# A ticket is used within this time of its receipt, in seconds: half of the time for
# which routers take it, so that a repeat is still in time.
TICKET_SECONDS = 300.0

# Tickets asked for at once.
TICKETS = 16

ANSWER_SECONDS = 5.0
RETRY_SECONDS = 0.2


class AddressBook:
    """Asks routers for addresses and keeps the answer for as long as it may.

    Parameters
    ----------
    seeds : sequence of str
        Addresses to ask when no other is known.
    """

    def __init__(self, pool: urllib3.PoolManager, seeds: Sequence[str]) -> None:
        self._pool = pool
        self._seeds = list(seeds)
        self._listed: list[str] = []
        self._until = 0.0
        self._tickets: collections.deque[tuple[float, str]] = collections.deque()
        self._lock = threading.Lock()

    def read(self, deadline: float) -> list[str]:
        """Return addresses, the best first.

        Raises
        ------
        errors.NotRun
            If no router answers before the deadline.
        """
        with self._lock:
            while not self._listed or time.monotonic() >= self._until:
                if self._refresh():
                    break
                if time.monotonic() + RETRY_SECONDS >= deadline:
                    raise errors.NotRun(
                        f"none of {', '.join(self._seeds)} tells its addresses",
                        code="no-router",
                        status=503,
                        step="ask for addresses",
                    )
                time.sleep(RETRY_SECONDS)
            return list(self._listed)

    def drop(self, address: str) -> None:
        """Leave out an address that failed, until the next answer."""
        with self._lock:
            if address in self._listed:
                self._listed.remove(address)

    def take_ticket(self) -> str:
        """Return a ticket that is not too old; empty if the routers give none."""
        with self._lock:
            ticket = self._take_fresh()
            if not ticket and self._refresh():
                ticket = self._take_fresh()
            return ticket

    def _take_fresh(self) -> str:
        while self._tickets:
            received, ticket = self._tickets.pop()
            if time.monotonic() - received < TICKET_SECONDS:
                return ticket
        return ""

    def _refresh(self) -> bool:
        """Ask the known routers in turn until one answers."""
        for address in dict.fromkeys([*self._listed, *self._seeds]):
            try:
                answer = self._pool.request(
                    "GET",
                    f"http://{address}/v1/addresses?tickets={TICKETS}",
                    timeout=ANSWER_SECONDS,
                )
                found = json.loads(answer.data)
                listed = [str(item) for item in found["addresses"]]
                keep = float(found["keep_seconds"])
                tickets = [str(item) for item in found["tickets"]]
            except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
                continue
            if listed:
                now = time.monotonic()
                self._listed, self._until = listed, now + keep
                self._tickets = collections.deque((now, item) for item in tickets)
                return True
        return False
