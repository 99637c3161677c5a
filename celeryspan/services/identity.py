"""The kernel service ``identity``: the name and incarnation of this router."""

from __future__ import annotations

import time

from celeryspan import ids, kernel


@kernel.register("identity")
class IdentityService:
    """Identifies this process as one incarnation of a router.

    Attributes
    ----------
    router : RouterId
        Name of the router.
    incarnation : Incarnation
        Wall clock at the start, in microseconds. A VM keeps no state, so only the
        clock distinguishes a restarted router from its predecessor.
    """

    def __init__(self, container: kernel.Kernel) -> None:
        self.router = ids.RouterId(container.settings.router)
        self.incarnation = ids.Incarnation(time.time_ns() // 1000)

    def start(self) -> None:
        """Do nothing; the service has no background work."""

    def stop(self) -> None:
        """Do nothing; the service has no background work."""

    def raise_incarnation(self, other: ids.Incarnation) -> None:
        """Raise the incarnation above another one reported for this router.

        The clock of a VM may be set back between two starts. The other routers then
        treat the new process as an old incarnation and ignore its messages until the
        clock has caught up. Taking the next higher number ends that at once.
        """
        if other >= self.incarnation:
            self.incarnation = ids.Incarnation(other + 1)
