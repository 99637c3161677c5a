"""The kernel service ``objects``: the client of the platform's object store."""

from __future__ import annotations

from celeryspan import kernel
from celeryspan.platform import objects


@kernel.register("objects")
class ObjectStore:
    """Holds the store client that all services of this process share.

    Attributes
    ----------
    client : ObjectClient
        Client for services that read or write the store.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self.client = objects.ObjectClient(container.settings.store_address)

    def start(self) -> None:
        """Do nothing: the first call opens a connection."""

    def stop(self) -> None:
        """Close the connections."""
        self.client.close()
