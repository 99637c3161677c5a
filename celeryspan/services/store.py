"""The kernel service ``store``: access to the object API that tolerates its outages."""

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
    """The methods of the store client behind a circuit breaker and a call budget.

    While the store does not answer, calls raise :class:`errors.StoreNotAsked` at once
    instead of each waiting for a timeout; such a call has certainly had no effect.
    Background calls (``background=True``) are also limited by the router's budget.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self.client = store.StoreClient(container.settings.store_address)
        self._breaker = circuitbreaker.CircuitBreaker()
        self._budget = circuitbreaker.CallBudget()
        self._random = random.Random(container.settings.router + str(time.time_ns()))
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Do nothing: the first call opens the first connection."""

    def stop(self) -> None:
        """Close the connections to the store."""
        self.client.close()

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._breaker.failures == 0

    def report(self) -> dict[str, object]:
        """Return reachability, failures in a row and calls by kind, for ``status``."""
        with self._lock:
            return {
                "reachable": self.reachable,
                "failures": self._breaker.failures,
                "calls": dict(self._calls),
            }

    def get(self, key: str, *, background: bool = False) -> tuple[bytes, int]:
        """Return the value and version; see :meth:`StoreClient.get`."""
        return self._call("get", lambda: self.client.get(key), background)

    def watch(self, key: str, above: int, seconds: float) -> tuple[bytes, int] | None:
        """Wait for a higher version; see :meth:`StoreClient.watch`."""
        return self._call("watch", lambda: self.client.watch(key, above, seconds), True)

    def create(self, key: str, value: bytes, *, background: bool = False) -> int:
        """Create a key and return its version; see :meth:`StoreClient.create`."""
        return self._call("create", lambda: self.client.create(key, value), background)

    def update(
        self, key: str, value: bytes, version: int, *, background: bool = False
    ) -> int:
        """Replace a value conditionally; see :meth:`StoreClient.update`."""
        return self._call(
            "update", lambda: self.client.update(key, value, version), background
        )

    def delete(self, key: str, version: int, *, background: bool = False) -> None:
        """Delete a value conditionally; see :meth:`StoreClient.delete`."""
        self._call("delete", lambda: self.client.delete(key, version), background)

    def list_keys(self, prefix: str, *, background: bool = False) -> dict[str, int]:
        """Return the keys and their versions; see :meth:`StoreClient.list_keys`."""
        return self._call("list", lambda: self.client.list_keys(prefix), background)

    def _call(self, kind: str, call: Callable[[], Result], background: bool) -> Result:
        self._admit(kind, background)
        try:
            result = call()
        except errors.StoreUnavailable as error:
            self._record_failure(error)
            raise
        except errors.StoreError:
            self._record_success()
            raise
        self._record_success()
        return result

    def _admit(self, kind: str, background: bool) -> None:
        now = time.monotonic()
        with self._lock:
            if not self._breaker.try_acquire(now):
                reason = "the object API is not answering; try again later"
            elif background and not self._budget.take(now):
                reason = "the budget for background store calls is exhausted"
            else:
                self._calls[kind] += 1
                return
        raise errors.StoreNotAsked(reason, step=kind, peer=self.client.address)

    def _record_success(self) -> None:
        with self._lock:
            closed = self._breaker.record_success()
        if closed:
            events.log(events.Event.STORE_REACHABLE, peer=self.client.address)

    def _record_failure(self, error: errors.StoreUnavailable) -> None:
        with self._lock:
            opened = self._breaker.record_failure(time.monotonic(), self._random)
        if opened:
            events.log(
                events.Event.STORE_UNREACHABLE,
                peer=self.client.address,
                error=str(error),
            )
