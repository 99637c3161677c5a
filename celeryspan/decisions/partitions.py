"""Share of a backend server's window for one part of a partitioned fleet.

During a network partition each part of the fleet selects a home for every server, so
that each server has several homes for minutes. If every part used the whole window, a
server would get twice its load; if the smaller parts stopped, their callers would get
nothing.

Each part may use the window in proportion to the routers that it sees. The server's own
load report corrects this: capacity that the other parts leave unused is available.
"""

from __future__ import annotations

import math


def share_window(
    window: int, visible: int, fleet: int, others_running: float | None
) -> int:
    """Return the number of slots of a server that this part of the fleet may use.

    Parameters
    ----------
    window : int
        Slots of the whole server.
    visible, fleet : int
        Routers that this one sees alive, including itself, and routers in total.
    others_running : float or None
        Requests of other parts that run on the server according to its report; None
        without a report.

    Returns
    -------
    int
        At least 1, so that an isolated router still serves its callers.
    """
    if visible >= fleet:
        return window
    share = max(1, math.floor(window * visible / fleet))
    if others_running is None:
        return share
    return max(share, min(window, math.floor(window - others_running)))
