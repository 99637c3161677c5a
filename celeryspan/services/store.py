"""The kernel service ``store``: access to the object API that survives its outages."""

from __future__ import annotations

import collections
import random
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from celeryspan import errors, events, kernel
from celeryspan.adapters import store
from celeryspan.decisions import circuitbreaker

Result = TypeVar("Result")


@kernel.register("store")
class StoreService:
    """The object API behind a breaker and a budget; same methods as the client.

    While the store does not answer, calls raise :class:`errors.StoreNotAsked` at once
    instead of waiting a timeout each; such a call certainly took no effect. Calls of
    the background (``background=True``) are also held to the router's budget.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self.client = store.StoreClient(box.settings.store_address)
        self._breaker = circuitbreaker.CircuitBreaker()
        self._budget = circuitbreaker.CallBudget()
        self._generator = random.Random(box.settings.router + str(time.time_ns()))
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Nothing to begin: the first call opens the first connection."""

    def stop(self) -> None:
        """Close the connections."""
        self.client.close()

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._breaker.failures == 0

    def report(self) -> dict[str, object]:
        """Return the state for ``status``: reachable, failures and calls by kind."""
        with self._lock:
            return {
                "reachable": self.reachable,
                "failures": self._breaker.failures,
                "calls": dict(self._calls),
            }

    def get(self, key: str, *, background: bool = False) -> tuple[bytes, int]:
        """Return value and version; see :meth:`StoreClient.get`."""
        return self._call("get", lambda: self.client.get(key), background)

    def watch(self, key: str, above: int, seconds: float) -> tuple[bytes, int] | None:
        """Wait for a version above a number; see :meth:`StoreClient.watch`."""
        return self._call("watch", lambda: self.client.watch(key, above, seconds), True)

    def create(self, key: str, value: bytes, *, background: bool = False) -> int:
        """Write a new key; see :meth:`StoreClient.create`."""
        return self._call("create", lambda: self.client.create(key, value), background)

    def update(
        self, key: str, value: bytes, version: int, *, background: bool = False
    ) -> int:
        """Replace a value; see :meth:`StoreClient.update`."""
        return self._call(
            "update", lambda: self.client.update(key, value, version), background
        )

    def delete(self, key: str, version: int, *, background: bool = False) -> None:
        """Delete a value; see :meth:`StoreClient.delete`."""
        self._call("delete", lambda: self.client.delete(key, version), background)

    def list_keys(self, prefix: str, *, background: bool = False) -> dict[str, int]:
        """Return keys and versions; see :meth:`StoreClient.list_keys`."""
        return self._call("list", lambda: self.client.list_keys(prefix), background)

    def _call(self, kind: str, call: Callable[[], Result], background: bool) -> Result:
        self._admit(kind, background)
        try:
            result = call()
        except errors.StoreUnavailable as error:
            self._note_failure(error)
            raise
        except errors.StoreError:
            self._note_answer()
            raise
        self._note_answer()
        return result

    def _admit(self, kind: str, background: bool) -> None:
        now = time.monotonic()
        with self._lock:
            if not self._breaker.try_acquire(now):
                reason = "the object API did not answer lately; try again later"
            elif background and not self._budget.take(now):
                reason = "the budget of background calls is used up"
            else:
                self._calls[kind] += 1
                return
        raise errors.StoreNotAsked(reason, step=kind, peer=self.client.address)

    def _note_answer(self) -> None:
        with self._lock:
            ended = self._breaker.record_success()
        if ended:
            events.log(events.Event.STORE_REACHABLE, peer=self.client.address)

    def _note_failure(self, error: errors.StoreUnavailable) -> None:
        with self._lock:
            began = self._breaker.record_failure(time.monotonic(), self._generator)
        if began:
            events.log(
                events.Event.STORE_UNREACHABLE,
                peer=self.client.address,
                error=str(error),
            )
