"""The kernel service ``identity``: the name and the incarnation of this router."""

from __future__ import annotations

import time

from celeryspan import ids, kernel


@kernel.register("identity")
class IdentityService:
    """Says which life of which router this process is.

    Attributes
    ----------
    router : RouterId
        Name of the router.
    incarnation : Incarnation
        Microseconds of the clock at the start: a VM keeps nothing, so that only the
        clock tells a new life from the one before.
    """

    def __init__(self, box: kernel.Kernel) -> None:
        self.router = ids.RouterId(box.settings.router)
        self.incarnation = ids.Incarnation(time.time_ns() // 1000)

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def outdo(self, other: ids.Incarnation) -> None:
        """Take a higher incarnation than another one of this name.

        The clock of a VM may be set back between two lives. The fleet then holds the
        new life for an old one, whose messages count for nothing, until the clock has
        caught up; taking the next number after the one heard ends that at once.
        """
        if other >= self.incarnation:
            self.incarnation = ids.Incarnation(other + 1)
