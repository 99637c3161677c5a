"""The kernel service ``objects``: the client of the platform's store."""

from __future__ import annotations

from celeryspan import kernel
from celeryspan.platform import objects


@kernel.register("objects")
class ObjectStore:
    """Holds the one client of this process.

    Attributes
    ----------
    client : ObjectClient
        For all services that read or write the store.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self.client = objects.ObjectClient(box.settings.store_address)

    def start(self) -> None:
        """Nothing to begin: the first call opens the first connection."""

    def stop(self) -> None:
        """Close the connections."""
        self.client.close()
