"""How much of a backend server's window one part of a split fleet may use.

Load pattern: a partition cuts the fleet in parts that each find a home for every
server, so that each server has several homes at once for minutes.

Without it every part would use the whole window, and a server would get twice its
load; or, were the smaller parts to stop, their callers would starve.

A part may use the window in proportion to the routers that it sees. What the server
itself reports corrects this: capacity that the other parts leave unused is taken.
"""

from __future__ import annotations

import math


def share_window(
    window: int, visible: int, fleet: int, others_running: float | None
) -> int:
    """Return how many slots of a server this part of the fleet may use.

    Parameters
    ----------
    window : int
        Slots of the whole server.
    visible, fleet : int
        Routers that this one sees alive (itself included), and routers in all.
    others_running : float or None
        Requests that the server reports as running beyond those of this part; None
        if there is no report.

    Returns
    -------
    int
        At least 1, so that a router alone still serves its callers.
    """
    if visible >= fleet:
        return window
    share = max(1, math.floor(window * visible / fleet))
    if others_running is None:
        return share
    return max(share, min(window, math.floor(window - others_running)))
