"""The kernel service ``objects``: the client of the platform's object store."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryspan import events, ids, kernel, metrics
from celeryspan.platform import objects

if TYPE_CHECKING:
    EraHandler = Callable[[ids.Era], None]


@kernel.register("objects", needs=("metrics",))
class ObjectStore:
    """Holds the store client that all services of this process share.

    Attributes
    ----------
    client : ObjectClient
        Client for services that read or write the store.
    era : Era
        Latest era that the store or another router has stated.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self._metrics: metrics.Metrics = container.find("metrics")
        self.client = objects.ObjectClient(
            container.settings.store_address, self.record_era
        )
        self.era = ids.NO_ERA
        self._handlers: list[EraHandler] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Do nothing: the first call opens a connection."""

    def stop(self) -> None:
        """Close the connections."""
        self.client.close()

    def report(self) -> dict[str, object]:
        """Return the era of the store."""
        return {"era": self.era}

    def subscribe(self, handler: EraHandler) -> None:
        """Call a handler when the store has been restored from a copy."""
        self._handlers.append(handler)

    def record_era(self, era: ids.Era) -> None:
        """Record an era that the store or another router has stated."""
        if era <= self.era:
            return
        with self._lock:
            if era <= self.era:
                return
            before, self.era = self.era, era
        self._metrics.set_store_era(era)
        if before == ids.NO_ERA:
            return
        events.log(
            events.Event.STORE_RESTORED,
            peer=self.client.address,
            before=before,
            era=era,
        )
        for handler in self._handlers:
            handler(era)
